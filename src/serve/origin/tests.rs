//! Tests of what a resumed stream may go on at.

use super::table::STREAM_LIFETIME;
use super::*;
use crate::clock::{Boot, Manual};

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

fn only(table: &Table, now: Time) -> Option<Origin> {
    table.only_release(&"s".into(), now)
}

fn knows(table: &Table, now: Time) -> bool {
    table.knows_releases(&"s".into(), now)
}

/// Returns a table of a daemon that has run for long, with endpoints of these releases.
fn table(releases: &[&str]) -> (Table, Time) {
    let now = STREAM_LIFETIME * 2;
    let mut table = Table::new();
    let listed = || releases.iter().map(|release| origin(release));
    table.observe(listed(), Duration::ZERO);
    table.observe(listed(), now);
    table.confirm(now);
    (table, now)
}

/// Confirms the list of endpoints each second.
fn confirm(table: &mut Table, from: Time, to: Time) {
    let mut now = from;
    while now <= to {
        table.confirm(now);
        now += SECOND;
    }
}

#[test]
fn only_release_while_there_is_one() {
    let (mut table, now) = table(&["v1"]);
    assert_eq!(only(&table, now), Some(origin("v1")));
    assert_eq!(table.only_release(&"other".into(), now), None);
    table.observe([origin("v1"), origin("v2")].into_iter(), now);
    assert_eq!(only(&table, now), None);
    table.observe([origin("v2")].into_iter(), now + SECOND);
    assert_eq!(only(&table, now + 2 * SECOND), None, "v1 may have begun it");
    let later = now + SECOND + STREAM_LIFETIME + SECOND;
    assert_eq!(only(&table, later), Some(origin("v2")));
}

/// Guards against a guess by a daemon that has just started, after all endpoints of a release have left.
#[test]
fn only_release_unknown_after_start_without_log() {
    let mut table = Table::new();
    table.observe([origin("v2")].into_iter(), 101 * SECOND);
    assert!(!knows(&table, 102 * SECOND));
    table.learn_releases([origin("v2")].into_iter(), 102 * SECOND);
    assert!(knows(&table, 102 * SECOND));
    assert_eq!(only(&table, 102 * SECOND), Some(origin("v2")));
    table.learn(record("a", "v1"), 5 * SECOND, 102 * SECOND);
    assert_eq!(only(&table, 102 * SECOND), None, "v1 has served of late");
}

#[test]
fn learn_ignores_what_is_too_old() {
    let (mut table, now) = table(&["v2"]);
    table.learn(record("a", "v1"), STREAM_LIFETIME + SECOND, now);
    assert_eq!(table.find(&"a".into()), None);
    assert_eq!(only(&table, now), Some(origin("v2")));
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
    table.set_sent(unsent.iter());
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
    assert_eq!(only(&table, now), None);
}

/// Guards against a helper that takes a release for announced to the log since all daemons list it.
#[test]
fn kept_announcement_written_in_any_case() {
    let (mut table, now) = table(&["v1"]);
    let announcement = record("", "v1");
    table.keep(announcement.clone(), SECOND, now);
    assert!(!table.is_sent(&announcement));
    let unsent = table.unsent(now);
    assert_eq!(unsent, std::slice::from_ref(&announcement));
    table.set_sent(unsent.iter());
    assert!(table.is_sent(&announcement));
    assert!(!table.has_unsent());
}

/// Guards against a stream that goes on elsewhere, or a release that is hidden, by copies that come late or twice.
#[test]
fn kept_copies_change_no_origin() {
    let (mut table, now) = table(&["v1"]);
    table.keep(record("a", "v2"), SECOND, now);
    table.keep(record("a", "v1"), SECOND, now);
    table.keep(record("b", "v1"), STREAM_LIFETIME + SECOND, now);
    assert_eq!(table.find(&"a".into()), Some(origin("v2")));
    assert_eq!(table.find(&"b".into()), None);
    assert_eq!(only(&table, now), None, "v2 has served");
    assert_eq!(table.unsent(now), [record("a", "v2")]);
    assert!(table.unheld(now).is_empty(), "it is not handed on");
}

/// A log in memory, which may be down.
#[derive(Default)]
struct MemoryLog {
    batches: RefCell<Vec<Batch>>,
    is_down: Cell<bool>,
    /// Whether the list of releases takes longer than a client waits.
    is_slow: Cell<bool>,
    /// Whether the answers to writes of releases are lost.
    loses_answers: Cell<bool>,
    reads: Cell<usize>,
    releases: RefCell<indexmap::IndexSet<Origin>>,
    /// The number of calls that wrote releases.
    release_writes: Cell<usize>,
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

    fn releases(&self) -> LocalBoxFuture<'_, Result<Vec<Origin>, Error>> {
        if self.is_slow.get() {
            return Box::pin(std::future::pending());
        }
        let releases = self.releases.borrow().iter().cloned().collect();
        let checked = self.check("listing the releases of");
        Box::pin(std::future::ready(checked.map(|()| releases)))
    }

    fn write_releases<'a>(
        &'a self,
        changes: &'a [Change],
    ) -> LocalBoxFuture<'a, Result<(), Error>> {
        let checked = self.check("writing releases to");
        if checked.is_ok() {
            self.release_writes.set(self.release_writes.get() + 1);
            for change in changes {
                self.releases.borrow_mut().swap_remove(&change.origin);
                if change.is_serving {
                    self.releases.borrow_mut().insert(change.origin.clone());
                }
            }
        }
        if self.loses_answers.get() {
            let (step, reason) = ("writing releases to", "no answer".to_owned());
            return Box::pin(std::future::ready(Err(Error { step, reason })));
        }
        Box::pin(std::future::ready(checked))
    }
}

fn start(log: &Rc<MemoryLog>) -> Rc<Origins> {
    start_listing(log, &["v1", "v2"])
}

fn start_listing(log: &Rc<MemoryLog>, releases: &[&str]) -> Rc<Origins> {
    start_at(log, releases, Rc::new(Boot::new()))
}

fn start_at(log: &Rc<MemoryLog>, releases: &[&str], clock: Rc<dyn Clock>) -> Rc<Origins> {
    let logger = Logger::root(slog::Discard, slog::o!());
    let health = Health::new(clock.clone());
    let origins = Origins::start(log.clone(), health, clock, logger);
    origins.observe(releases.iter().map(|release| origin(release)));
    origins
}

/// Runs a planner with endpoints of one release until it has written what there is to write.
async fn record_releases(log: &Rc<MemoryLog>, release: &str) -> Rc<Origins> {
    let planner = start_listing(log, &[release]);
    spawn_local(planner.clone().keep_releases(|| true));
    tokio::time::sleep(3 * SECOND).await;
    planner
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
        let (a, b) = ("a".into(), "b".into());
        tokio::join!(first.begin(&a, origin("v1")), first.begin(&b, origin("v2")));
        tokio::time::sleep(SECOND).await;
        assert_eq!(log.batches.borrow().len(), 1, "written together");
        first.begin(&"d".into(), origin("v1")).await;
        first.begin(&"e".into(), origin("v2")).await;
        tokio::time::sleep(SECOND).await;
        assert_eq!(log.batches.borrow().len(), 2, "gathered");
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
        first.begin(&"a".into(), origin("v1")).await;
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
        first.begin(&"a".into(), origin("v1")).await;
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

/// Guards against a join after all daemons have died: the only release that is listed is not the only one
/// that has served.
#[test]
fn find_none_after_the_only_release_was_replaced_unseen() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        record_releases(&log, "v1").await;
        for attempt in [Some(&"a".into()), None] {
            let returned = start_listing(&log, &["v2"]);
            assert_eq!(returned.find(attempt, &"s".into()).await, None);
            let returned = start_listing(&log, &["v1"]);
            let found = returned.find(attempt, &"s".into()).await;
            assert_eq!(found, Some(origin("v1")));
        }
    });
}

/// Guards against a guess while nobody has recorded the release that is listed.
#[test]
fn find_none_after_start_before_the_release_is_recorded() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let daemon = start_listing(&log, &["v1"]);
        assert_eq!(daemon.find(None, &"s".into()).await, None);
        log.is_down.set(true);
        let daemon = start_listing(&log, &["v1"]);
        assert_eq!(daemon.find(None, &"s".into()).await, None);
    });
}

#[test]
fn keep_releases_writes_an_only_release_once() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let first = record_releases(&log, "v1").await;
        first.observe([origin("v1")].into_iter());
        record_releases(&log, "v1").await;
        assert_eq!(log.release_writes.get(), 1);
        let other = start_listing(&log, &["v2"]);
        spawn_local(other.clone().keep_releases(|| false));
        tokio::time::sleep(3 * SECOND).await;
        assert_eq!(log.release_writes.get(), 1, "the planner writes for all");
    });
}

/// Guards against a record that is gone for good with the last seconds of the log.
#[test]
fn keep_releases_writes_again_after_the_log_went_back() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let planner = record_releases(&log, "v1").await;
        log.releases.borrow_mut().clear();
        planner.log_went_back(1);
        tokio::time::sleep(3 * SECOND).await;
        assert!(log.releases.borrow().contains(&origin("v1")));
    });
}

fn change(release: &str, is_serving: bool) -> Change {
    Change {
        origin: origin(release),
        is_serving,
    }
}

#[test]
fn changes_remove_a_release_when_no_stream_of_it_is_left() {
    let (mut table, now) = table(&["v1"]);
    assert_eq!(table.changes(now), [], "not before they are read");
    table.learn_releases(std::iter::empty(), now);
    let first = table.changes(now);
    assert_eq!(first, [change("v1", true)]);
    table.set_recorded(&first);
    table.observe([origin("v2")].into_iter(), now + SECOND);
    let second = table.changes(now + SECOND);
    assert_eq!(second, [change("v2", true)]);
    table.set_recorded(&second);
    assert_eq!(table.changes(now + STREAM_LIFETIME), []);
    let later = now + STREAM_LIFETIME + 2 * SECOND;
    confirm(&mut table, now, later);
    assert_eq!(table.changes(later), [change("v1", false)]);
}

/// Guards against an empty record, which would not tell what has served, after a service has shrunk to none.
#[test]
fn changes_keep_the_last_release() {
    let (mut table, now) = table(&["v1"]);
    table.learn_releases([origin("v1")].into_iter(), now);
    table.observe(std::iter::empty(), now);
    assert_eq!(table.changes(now + 2 * STREAM_LIFETIME), []);
}

/// Guards against a planner that removes a release because it has not seen it itself.
#[test]
fn changes_keep_a_release_that_left_before_the_daemon_started() {
    let mut table = Table::new();
    table.observe([origin("v2")].into_iter(), 101 * SECOND);
    let recorded = || [origin("v1"), origin("v2")].into_iter();
    table.learn_releases(recorded(), 102 * SECOND);
    assert_eq!(table.changes(103 * SECOND), []);
    assert!(table.knows_releases(&"s".into(), 103 * SECOND));
    assert_eq!(only(&table, 103 * SECOND), None);
    let later = 103 * SECOND + STREAM_LIFETIME;
    confirm(&mut table, 103 * SECOND, later);
    assert_eq!(only(&table, later), Some(origin("v2")));
    assert_eq!(table.changes(later), [change("v1", false)]);
}

/// Guards against a join at a daemon that does not list a new release yet, when the client is faster than the
/// record of its stream.
#[test]
fn find_none_while_a_new_release_is_listed_elsewhere_only() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        record_releases(&log, "v1").await;
        let (first, second) = (start(&log), start_listing(&log, &["v1"]));
        first.begin(&"a".into(), origin("v2")).await;
        assert_eq!(second.find(None, &"s".into()).await, None);
        let found = second.find(Some(&"a".into()), &"s".into()).await;
        assert_eq!(found, Some(origin("v2")));
    });
}

/// Guards against streams that wait for a log that is down.
#[test]
fn begin_waits_once_for_a_log_that_is_down() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let daemon = start(&log);
        log.is_down.set(true);
        let began = tokio::time::Instant::now();
        daemon.begin(&"a".into(), origin("v1")).await;
        let waited = began.elapsed();
        assert!(waited <= ANNOUNCE_TIMEOUT + Duration::from_millis(2));
        daemon.begin(&"b".into(), origin("v1")).await;
        assert_eq!(began.elapsed(), waited);
    });
}

/// Guards against a planner that takes a release for recorded, though its removal has landed.
#[test]
fn keep_releases_lists_again_after_a_lost_answer() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        log.loses_answers.set(true);
        let planner = record_releases(&log, "v1").await;
        log.loses_answers.set(false);
        planner.observe([origin("v1")].into_iter());
        tokio::time::sleep(3 * SECOND).await;
        assert_eq!(log.release_writes.get(), 1, "it had landed");
    });
}

/// Guards against a client that leaves while it waits for the releases: others may still ask for them.
#[test]
fn find_reads_releases_again_after_a_client_left() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        record_releases(&log, "v1").await;
        let daemon = start_listing(&log, &["v1"]);
        log.is_slow.set(true);
        let service = "s".into();
        let left = timeout(Duration::from_millis(10), daemon.find(None, &service)).await;
        assert!(left.is_err(), "the client has left");
        log.is_slow.set(false);
        assert_eq!(daemon.find(None, &service).await, Some(origin("v1")));
    });
}

/// Guards against a planner that waits with the record, since a client was told just now that there is none.
#[test]
fn keep_releases_reads_at_once_when_it_begins_to_plan() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let planner = start_listing(&log, &["v1"]);
        assert_eq!(planner.find(None, &"s".into()).await, None);
        spawn_local(planner.clone().keep_releases(|| true));
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(log.release_writes.get(), 1);
    });
}

/// Guards against a planner that was frozen, or did not get the list, while a release came back.
#[test]
fn changes_keep_a_release_that_may_have_served_unseen() {
    let (mut table, now) = table(&["v1", "v2"]);
    let recorded = || [origin("v1"), origin("v2")].into_iter();
    table.learn_releases(recorded(), now);
    table.observe([origin("v2")].into_iter(), now);
    let later = now + 2 * STREAM_LIFETIME;
    assert_eq!(table.changes(later), [], "the list is not confirmed");
    table.confirm(later);
    assert!(!table.has_recorded(), "it is listed again");
    table.learn_releases(recorded(), later);
    assert_eq!(table.changes(later), [], "it may have served until now");
    let last = later + STREAM_LIFETIME + SECOND;
    confirm(&mut table, later, last);
    assert_eq!(table.changes(last), [change("v1", false)]);
}

/// Guards against a guess from an old list: a daemon that stood still has not seen which releases have come.
#[test]
fn only_release_unknown_with_old_list() {
    let (mut table, now) = table(&["v1"]);
    assert!(knows(&table, now));
    let later = now + 10 * SECOND;
    assert!(!knows(&table, later));
    table.confirm(later);
    assert!(knows(&table, later));
}

/// Guards against a guess by a daemon that the store turns away: its list was the current one a moment ago, and a
/// release that has come since is known to the others only.
#[test]
fn find_none_without_the_log() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let clock = Rc::new(Manual::default());
        let daemon = start_at(&log, &["v1"], clock.clone());
        clock.advance(STREAM_LIFETIME + SECOND);
        daemon.confirm();
        log.is_down.set(true);
        assert_eq!(daemon.find(Some(&"a".into()), &"s".into()).await, None);
        log.is_down.set(false);
        clock.advance(READ_RETRY_DELAY);
        let found = daemon.find(Some(&"a".into()), &"s".into()).await;
        assert_eq!(found, Some(origin("v1")));
    });
}

/// Guards against a daemon whose first list comes late: it has not seen which releases have left before.
#[test]
fn only_release_unknown_after_late_first_list() {
    let mut table = Table::new();
    table.observe(std::iter::empty(), Duration::ZERO);
    table.observe([origin("v2")].into_iter(), 100 * SECOND);
    table.confirm(100 * SECOND);
    assert!(!table.knows_releases(&"s".into(), 101 * SECOND));
}

/// Guards against a first event that does not wait, since its release was announced long ago.
#[test]
fn observe_forgets_announcement_of_a_release_that_returns_late() {
    let (mut table, now) = table(&["v1", "v2"]);
    table.learn(record("a", "v1"), Duration::ZERO, now);
    assert!(!table.is_unannounced(&origin("v1")));
    table.observe([origin("v2")].into_iter(), now);
    let later = now + STREAM_LIFETIME + SECOND;
    table.observe([origin("v1"), origin("v2")].into_iter(), later);
    assert!(table.is_unannounced(&origin("v1")));
}

/// Guards against streams of an old release that wait, though all daemons list it.
#[test]
fn observe_counts_the_only_release_as_announced() {
    let (mut table, now) = table(&["v1"]);
    table.observe([origin("v1"), origin("v2")].into_iter(), now);
    assert!(!table.is_unannounced(&origin("v1")));
    assert!(table.is_unannounced(&origin("v2")));
    let mut table = Table::new();
    table.observe([origin("v1"), origin("v2")].into_iter(), now);
    assert!(table.is_unannounced(&origin("v1")), "listed together");
}

/// An attempt that is sent may bring no event, and its stream begin at another release.
#[test]
fn announce_records_no_stream() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let (first, second) = (start(&log), start_listing(&log, &["v1"]));
        first.announce(&origin("v2"));
        tokio::time::sleep(Duration::from_millis(10)).await;
        assert_eq!(log.batches.borrow().len(), 1, "at once");
        assert_eq!(second.find(None, &"s".into()).await, None);
        let began = tokio::time::Instant::now();
        first.begin(&"a".into(), origin("v2")).await;
        assert_eq!(began.elapsed(), Duration::ZERO, "it is announced");
        let unnamed = second.find(Some(&"".into()), &"s".into()).await;
        assert_eq!(unnamed, None);
    });
}

/// Guards against a second stream that waits on after the first one has given up.
#[test]
fn begin_gives_up_for_all_streams_of_a_release() {
    on_paused_time(|| async {
        let log = Rc::new(MemoryLog::default());
        let daemon = start(&log);
        log.is_down.set(true);
        let later = async {
            tokio::time::sleep(ANNOUNCE_TIMEOUT / 2).await;
            let began = tokio::time::Instant::now();
            daemon.begin(&"b".into(), origin("v1")).await;
            began.elapsed()
        };
        let first = "a".into();
        let (_, waited) = tokio::join!(daemon.begin(&first, origin("v1")), later);
        assert!(waited <= ANNOUNCE_TIMEOUT / 2 + Duration::from_millis(2));
    });
}

/// Guards against ids of one client that make a batch longer than the log takes, so that no stream is recorded.
#[test]
fn long_attempts_leave_room_for_others() {
    /// What a store takes as one record, on all deployments.
    const RECORD_BYTES: usize = 262_144;
    let (mut table, now) = table(&["v1", "v2"]);
    let attempts = (0..2_000).map(|number| match number % 2 {
        0 => format!("{number:015000}"),
        _ => format!("{number:016}"),
    });
    let attempts: Vec<id::Name> = attempts.map(|attempt| attempt.as_str().into()).collect();
    for attempt in &attempts {
        table.begin(record(attempt, "v1"), now);
    }
    let mut reader = Table::new();
    let mut batches = 0;
    loop {
        let unsent = table.unsent(now);
        if unsent.is_empty() {
            break;
        }
        let names = unsent.iter().map(|record| record.attempt.len());
        assert!(names.sum::<usize>() < RECORD_BYTES / 2);
        for record in &unsent {
            reader.learn(record.clone(), SECOND, now);
        }
        table.set_sent(unsent.iter());
        batches += 1;
        assert!(batches < 10, "few batches are enough");
    }
    for attempt in &attempts {
        assert_eq!(reader.find(attempt), Some(origin("v1")));
    }
    assert_eq!(reader.find(&format!("{:015000}", 1).as_str().into()), None);
}
