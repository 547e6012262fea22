//! Tests of vouching.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

#[test]
fn vouched_while_fresh() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        offset: 7,
        as_of: at(1_000),
    };
    progress.set_planner_watermarks([(Topic::Endpoints, watermark)]);
    assert_eq!(
        progress.planner_watermark(Topic::Endpoints, at(2_400)),
        Some(watermark)
    );
    assert_eq!(
        progress.planner_watermark(Topic::Endpoints, at(2_401)),
        None
    );
    assert_eq!(progress.planner_watermark(Topic::Catalog, at(1_000)), None);
}

#[test]
fn ages_of_own_reads() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        offset: 7,
        as_of: at(1_000),
    };
    progress.read_succeeded(Topic::Catalog, watermark);
    assert_eq!(
        progress.watermark_ages(at(1_400)),
        [(Topic::Catalog, 7, at(400))]
    );
}

#[test]
fn lost_topic_not_vouched_for() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        offset: 7,
        as_of: at(1_000),
    };
    progress.read_succeeded(Topic::Catalog, watermark);
    progress.read_succeeded(Topic::Endpoints, watermark);
    progress.read_failed(Topic::Catalog);
    assert_eq!(progress.watermark_ages(at(1_000)).len(), 1);
    progress.set_planner_watermarks([(Topic::Catalog, watermark)]);
    progress.set_planner_watermarks([(Topic::Endpoints, watermark)]);
    assert_eq!(progress.planner_watermark(Topic::Catalog, at(1_000)), None);
}

#[test]
fn copy_of_the_newest_record() {
    let progress = ReadProgress::default();
    let record = Bytes::from("route ".repeat(1_000));
    progress.cache_record(Topic::Catalog, record.clone());
    assert_eq!(
        progress.compressed_record(Topic::Catalog).expect("packed"),
        None,
        "not read yet"
    );
    let watermark = Watermark {
        offset: 7,
        as_of: at(1_000),
    };
    progress.read_succeeded(Topic::Catalog, watermark);
    let copy = progress
        .compressed_record(Topic::Catalog)
        .expect("packed")
        .expect("a copy");
    assert_eq!(copy.offset, 7);
    assert!(copy.packed.len() < record.len() / 10);
    assert_eq!(copy.unpack().expect("a record"), record);
    let next = ReadProgress::default();
    next.cache_compressed(Topic::Catalog, &copy);
    next.read_succeeded(Topic::Catalog, watermark);
    assert_eq!(
        next.compressed_record(Topic::Catalog).expect("packed"),
        Some(copy)
    );
}

#[test]
fn damaged_copy_not_taken() {
    let copy = CompressedRecord {
        offset: 1,
        packed: Bytes::from_static(&[0xff; 20]),
    };
    assert!(copy.unpack().is_err());
}

#[test]
fn copy_of_a_lost_topic_not_handed_on() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        offset: 7,
        as_of: at(1_000),
    };
    progress.cache_record(Topic::Catalog, Bytes::from_static(b"record"));
    progress.read_succeeded(Topic::Catalog, watermark);
    progress.read_failed(Topic::Catalog);
    assert_eq!(
        progress.compressed_record(Topic::Catalog).expect("packed"),
        None
    );
}
