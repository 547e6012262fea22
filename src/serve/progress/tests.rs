//! Tests of watermarks and of records that are passed on.

use super::*;

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

fn position(offset: u64) -> Position {
    Position { epoch: 1, offset }
}

/// Offsets start again when the store returns from a copy.
#[test]
fn position_of_later_epoch_is_ahead() {
    let later = Position {
        epoch: 2,
        offset: 0,
    };
    assert!(later > position(900) && position(900) > position(7));
}

#[test]
fn planner_watermark_expires() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        position: position(7),
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
fn watermark_ages_of_own_reads() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        position: position(7),
        as_of: at(1_000),
    };
    progress.read_succeeded(Topic::Catalog, watermark);
    assert_eq!(
        progress.watermark_ages(at(1_400)),
        [(Topic::Catalog, position(7), at(400))]
    );
}

#[test]
fn watermark_of_failed_topic_missing() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        position: position(7),
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
fn compressed_record_is_newest() {
    let progress = ReadProgress::default();
    let record = Bytes::from("route ".repeat(1_000));
    progress.cache_record(Topic::Catalog, record.clone());
    assert_eq!(
        progress.compressed_record(Topic::Catalog).expect("packed"),
        None,
        "not read yet"
    );
    let watermark = Watermark {
        position: position(7),
        as_of: at(1_000),
    };
    progress.read_succeeded(Topic::Catalog, watermark);
    let compressed = progress
        .compressed_record(Topic::Catalog)
        .expect("packed")
        .expect("a record");
    assert_eq!(compressed.position, position(7));
    assert!(compressed.packed.len() < record.len() / 10);
    assert_eq!(compressed.unpack().expect("a record"), record);
    let next = ReadProgress::default();
    next.cache_compressed(Topic::Catalog, &compressed);
    next.read_succeeded(Topic::Catalog, watermark);
    assert_eq!(
        next.compressed_record(Topic::Catalog).expect("packed"),
        Some(compressed)
    );
}

#[test]
fn compressed_record_damaged_not_unpacked() {
    let compressed = CompressedRecord {
        position: position(1),
        packed: Bytes::from_static(&[0xff; 20]),
        evacuated: None,
    };
    assert!(compressed.unpack().is_err());
}

#[test]
fn compressed_record_of_failed_topic_missing() {
    let progress = ReadProgress::default();
    let watermark = Watermark {
        position: position(7),
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
