//! Tests of what a resumed stream may go on at.

use super::table::STREAM_LIFETIME;
use super::*;
use crate::clock::Boot;

const SECOND: Duration = Duration::from_secs(1);

fn origin(release: &str) -> Origin {
    Origin {
        service: "s".into(),
        release: release.into(),
    }
}

fn record(attempt: &str, release: &str) -> Record {
    Record {
        attempt: attempt.into(),
        origin: origin(release),
    }
}

fn only(table: &Table, is_log_read: bool, now: Time) -> Option<Origin> {
    table.only_release(&"s".into(), is_log_read, now)
}

/// Returns a table of a daemon that has run for long, with endpoints of these releases.
fn table(releases: &[&str]) -> (Table, Time) {
    let now = STREAM_LIFETIME * 2;
    let mut table = Table::new(Duration::ZERO);
    table.observe(releases.iter().map(|release| origin(release)), now);
    (table, now)
}

#[test]
fn only_release_while_there_is_one() {
    let (mut table, now) = table(&["v1"]);
    assert_eq!(only(&table, false, now), Some(origin("v1")));
    assert_eq!(table.only_release(&"other".into(), true, now), None);
    table.observe([origin("v1"), origin("v2")].into_iter(), now);
    assert_eq!(only(&table, true, now), None);
    table.observe([origin("v2")].into_iter(), now + SECOND);
    assert_eq!(
        only(&table, true, now + 2 * SECOND),
        None,
        "v1 may have begun it"
    );
    let later = now + SECOND + STREAM_LIFETIME + SECOND;
    assert_eq!(only(&table, true, later), Some(origin("v2")));
}

/// Guards against a guess by a daemon that has just started, after all endpoints of a release have left.
#[test]
fn only_release_unknown_after_start_without_log() {
    let mut table = Table::new(100 * SECOND);
    table.observe([origin("v2")].into_iter(), 101 * SECOND);
    assert_eq!(only(&table, false, 102 * SECOND), None);
    assert_eq!(only(&table, true, 102 * SECOND), Some(origin("v2")));
    table.learn(record("a", "v1"), 5 * SECOND, 102 * SECOND);
    assert_eq!(
        only(&table, true, 102 * SECOND),
        None,
        "v1 has served of late"
    );
}

#[test]
fn learn_ignores_what_is_too_old() {
    let (mut table, now) = table(&["v2"]);
    table.learn(record("a", "v1"), STREAM_LIFETIME + SECOND, now);
    assert_eq!(table.find(&"a".into()), None);
    assert_eq!(only(&table, true, now), Some(origin("v2")));
}

#[test]
fn unsent_only_with_several_releases() {
    let (mut table, now) = table(&["v1"]);
    table.begin(record("a", "v1"), now);
    assert!(!table.has_unsent());
    table.observe([origin("v1"), origin("v2")].into_iter(), now + SECOND);
    assert!(table.has_unsent(), "what began before is shared, too");
    let unsent = table.unsent(now + SECOND);
    assert_eq!(unsent, [record("a", "v1")]);
    table.set_sent(&unsent);
    table.learn(record("b", "v2"), SECOND, now + SECOND);
    assert!(!table.has_unsent());
    assert_eq!(table.find(&"a".into()), Some(origin("v1")));
    table.log_went_back();
    assert_eq!(
        table.unsent(now + SECOND),
        unsent,
        "those of others are theirs to write"
    );
}

/// A release that is granted before its entry has been read counts as one that serves.
#[test]
fn unsent_after_grant_of_unlisted_release() {
    let (mut table, now) = table(&["v1"]);
    table.begin(record("a", "v2"), now);
    assert!(table.has_unsent());
    assert_eq!(only(&table, true, now), None);
}

/// A log in memory, which may be down.
#[derive(Default)]
struct MemoryLog {
    batches: RefCell<Vec<Batch>>,
    is_down: Cell<bool>,
    reads: Cell<usize>,
}

impl MemoryLog {
    fn check(&self, step: &'static str) -> Result<(), Error> {
        let reason = "it is down".to_owned();
        if self.is_down.get() {
            return Err(Error { step, reason });
        }
        Ok(())
    }
}

impl Log for MemoryLog {
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<(), Error>> {
        let checked = self.check("appending to");
        if checked.is_ok() {
            self.batches.borrow_mut().push(batch.clone());
        }
        Box::pin(std::future::ready(checked))
    }

    fn read(&self, from: id::Offset) -> LocalBoxFuture<'_, Result<Page, Error>> {
        self.reads.set(self.reads.get() + 1);
        let batches = self.batches.borrow();
        let page = Page {
            batches: batches.iter().skip(from as usize).cloned().collect(),
            next_offset: batches.len() as u64,
        };
        Box::pin(std::future::ready(self.check("reading").map(|()| page)))
    }
}

fn start(log: &Rc<MemoryLog>) -> Rc<Origins> {
    let clock: Rc<dyn Clock> = Rc::new(Boot::new());
    let logger = Logger::root(slog::Discard, slog::o!());
    let origins = Origins::start(log.clone(), clock, logger);
    origins.observe([origin("v1"), origin("v2")].into_iter());
    origins
}

/// Runs a test on paused time, so that its delays take none.
fn on_paused_time<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async { test().await });
}

#[test]
fn find_stream_of_a_daemon_that_is_gone() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let first = start(&log);
        first.begin(&"a".into(), origin("v1"));
        first.begin(&"b".into(), origin("v2"));
        tokio::time::sleep(SECOND).await;
        assert_eq!(log.batches.borrow().len(), 1, "written together");
        let second = start(&log);
        for (attempt, release) in [("a", "v1"), ("b", "v2")] {
            let found = second.find(Some(&attempt.into()), &"s".into()).await;
            assert_eq!(found, Some(origin(release)));
        }
        assert_eq!(log.reads.get(), 1);
        assert_eq!(second.find(Some(&"c".into()), &"s".into()).await, None);
        assert_eq!(second.find(None, &"s".into()).await, None);
    });
}

/// A client comes back faster than the record of its stream is written.
#[test]
fn find_waits_for_a_record_on_its_way() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let (first, second) = (start(&log), start(&log));
        first.begin(&"a".into(), origin("v1"));
        let found = second.find(Some(&"a".into()), &"s".into()).await;
        assert_eq!(found, Some(origin("v1")));
    });
}

#[test]
fn find_after_outage_of_the_log() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let (first, second) = (start(&log), start(&log));
        log.is_down.set(true);
        first.begin(&"a".into(), origin("v1"));
        assert_eq!(
            first.find(Some(&"a".into()), &"s".into()).await,
            Some(origin("v1"))
        );
        tokio::time::sleep(3 * SECOND).await;
        assert_eq!(second.find(Some(&"a".into()), &"s".into()).await, None);
        let reads = log.reads.get();
        assert_eq!(second.find(Some(&"a".into()), &"s".into()).await, None);
        assert_eq!(
            log.reads.get(),
            reads,
            "a log that is down is not read for each stream"
        );
        log.is_down.set(false);
        tokio::time::sleep(3 * SECOND).await;
        assert_eq!(log.batches.borrow().len(), 1, "written again");
    });
}
