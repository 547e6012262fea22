use super::*;

fn at(offset: id::Offset) -> Position {
    Position { epoch: 1, offset }
}

fn record(key: &str, value: &'static str) -> Record {
    let value = Bytes::from_static(value.as_bytes());
    Record {
        key: key.into(),
        value: Some(value).filter(|value| !value.is_empty()),
    }
}

#[test]
fn news_newest_of_each_key() {
    let mut news = News::default();
    news.reset(at(10));
    news.add(&[record("a", "1"), record("b", "1")], at(12));
    news.add(&[record("a", "2"), record("c", "")], at(14));
    let update = news.since(at(10)).expect("complete from 10 on");
    assert_eq!(update.next, at(14));
    assert_eq!(
        update.records,
        [record("b", "1"), record("a", "2"), record("c", "")]
    );
    let later = news.since(at(12)).expect("complete from 12 on");
    assert_eq!(later.records, [record("a", "2"), record("c", "")]);
    assert_eq!(news.since(at(14)).expect("nothing new").records, []);
}

/// Guards against daemons that miss records: those before the list, of another epoch, or dropped.
#[test]
fn news_incomplete_not_passed_on() {
    let mut news = News::default();
    news.reset(at(10));
    news.add(&[record("a", "1")], at(11));
    let ahead = Position {
        epoch: 2,
        offset: 0,
    };
    for position in [at(9), at(12), ahead, Position::default()] {
        assert_eq!(news.since(position), None, "{position:?}");
    }
    for index in 0..3_000 {
        let key = format!("k{index}");
        news.add(&[record(&key, "v")], at(12 + index));
    }
    assert_eq!(news.since(at(10)), None);
    assert_eq!(
        news.since(at(3_009)).expect("the last ones").records.len(),
        2
    );
}
