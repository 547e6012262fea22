//! Tests of what daemons without the log hand over: several daemons in paused time, with one log.

use std::cell::Cell;
use std::time::{SystemTime, UNIX_EPOCH};

use slog::o;

use super::*;
use crate::clock::{Clock, Time};
use crate::quarantine::evidence::{Life, Subject, Suspects};
use crate::serve::origin::{self, Batch, Change, Log, Origin, Page};
use crate::serve::quarantine;

const SECOND: Duration = Duration::from_secs(1);
const HALF_SECOND: Duration = Duration::from_millis(500);
/// How long the log takes from another region.
const CALM: Reach = Reach::After(Duration::from_millis(60));

/// What becomes of a daemon's calls to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// They are answered after a time.
    After(Duration),
    /// They are turned away at once.
    Refused,
    /// They hang.
    Cut,
}

/// The paused time of a test.
struct PausedClock(tokio::time::Instant);

impl Clock for PausedClock {
    fn now(&self) -> Time {
        // A daemon whose time begins at zero has not yet run long enough to remember anything.
        1_000 * SECOND + self.0.elapsed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + self.now()
    }
}

/// One log for all daemons.
#[derive(Default)]
struct Shared {
    batches: RefCell<Vec<Batch>>,
    evidence: RefCell<Vec<evidence::Record>>,
    epoch: Cell<id::Epoch>,
    appends: Cell<usize>,
    /// What daemons hand over: the number of times, and of records.
    messages: Cell<usize>,
    records: Cell<usize>,
}

/// The log as one daemon reaches it.
struct View {
    shared: Rc<Shared>,
    reach: Cell<Reach>,
}

impl View {
    async fn call(&self, step: &'static str) -> Result<(), origin::Error> {
        match self.reach.get() {
            Reach::After(time) => tokio::time::sleep(time).await,
            Reach::Cut => tokio::time::sleep(SECOND * 3 / 2).await,
            Reach::Refused => {}
        }
        match self.reach.get() {
            Reach::After(_) => Ok(()),
            reach => Err(origin::Error {
                step,
                reason: format!("{reach:?}"),
            }),
        }
    }
}

impl Log for View {
    fn append<'a>(&'a self, batch: &'a Batch) -> LocalBoxFuture<'a, Result<(), origin::Error>> {
        Box::pin(async move {
            let epoch = self.shared.epoch.get();
            self.call("appending to").await?;
            if epoch == self.shared.epoch.get() {
                self.shared.appends.set(self.shared.appends.get() + 1);
                self.shared.batches.borrow_mut().push(batch.clone());
            }
            Ok(())
        })
    }

    fn read(&self, from: id::Offset) -> LocalBoxFuture<'_, Result<Page, origin::Error>> {
        Box::pin(async move {
            self.call("reading").await?;
            let batches = self.shared.batches.borrow();
            let first = usize::try_from(from).expect("an offset").min(batches.len());
            Ok(Page {
                batches: batches[first..].to_vec(),
                next_offset: batches.len() as u64,
            })
        })
    }

    fn releases(&self) -> LocalBoxFuture<'_, Result<Vec<Origin>, origin::Error>> {
        Box::pin(async { Ok(Vec::new()) })
    }

    fn write_releases<'a>(
        &'a self,
        _: &'a [Change],
    ) -> LocalBoxFuture<'a, Result<(), origin::Error>> {
        unimplemented!("no planner records releases")
    }
}

impl quarantine::Log for View {
    fn write<'a>(
        &'a self,
        records: &'a [evidence::Record],
    ) -> LocalBoxFuture<'a, Result<(), quarantine::Error>> {
        Box::pin(async move {
            let step = "writing";
            let written = self.call(step).await;
            let error = |origin::Error { reason, .. }| quarantine::Error { step, reason };
            written.map_err(error)?;
            self.shared.evidence.borrow_mut().extend(records.to_vec());
            Ok(())
        })
    }
}

/// One daemon; when it is dead nothing of it is seen by others.
struct Daemon {
    view: Rc<View>,
    origins: Rc<Origins>,
    quarantine: Rc<Quarantine>,
    health: Rc<Health>,
    clock: Rc<dyn Clock>,
    is_dead: Cell<bool>,
    /// Whether it is of an earlier release, which knows no handoff.
    is_old: Cell<bool>,
}

impl Daemon {
    fn kill(&self) {
        self.is_dead.set(true);
        self.view.reach.set(Reach::Cut);
    }
}

fn origin(release: &str) -> Origin {
    Origin {
        service: "s".into(),
        release: release.into(),
    }
}

fn logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

type Daemons = Rc<Vec<Daemon>>;

/// The other daemons, as one of them sees them.
struct Others {
    daemons: Daemons,
    own: usize,
}

impl Helpers for Others {
    fn candidates(&self) -> Vec<Candidate> {
        let others = (0..self.daemons.len()).filter(|index| *index != self.own);
        let candidate = |index: usize| Candidate {
            member: Member {
                name: index.to_string().into(),
                address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
                tunnel_address: None,
                born: 1,
                cpu_millicores: 1,
            },
            is_heard: false,
        };
        others.map(candidate).collect()
    }

    fn keep<'a>(
        &'a self,
        member: &'a Member,
        load: &'a Load,
    ) -> LocalBoxFuture<'a, Result<Receipt, Error>> {
        let index: usize = member.name.parse().expect("a number");
        let (asker, helper) = (&self.daemons[self.own], &self.daemons[index]);
        Box::pin(async move {
            let shared = &asker.view.shared;
            shared.messages.set(shared.messages.get() + 1);
            shared
                .records
                .set(shared.records.get() + load.streams.len());
            tokio::time::sleep(Duration::from_millis(2)).await;
            if helper.is_dead.get() || asker.is_dead.get() {
                std::future::pending::<()>().await;
            }
            if helper.is_old.get() {
                return Err(Error {
                    step: "handing over to",
                    daemon: member.name.clone(),
                    reason: "not implemented".to_owned(),
                });
            }
            let now = helper.clock.now();
            let receipt = keep(&helper.origins, &helper.quarantine, load, now).await;
            if helper.is_dead.get() {
                std::future::pending::<()>().await;
            }
            Ok(receipt)
        })
    }
}

/// Starts daemons that list two releases of a service.
fn start(count: usize) -> (Daemons, Rc<Shared>) {
    let shared = Rc::new(Shared::default());
    let clock: Rc<dyn Clock> = Rc::new(PausedClock(tokio::time::Instant::now()));
    let daemon = |index: usize| {
        let view = Rc::new(View {
            shared: shared.clone(),
            reach: Cell::new(CALM),
        });
        let health = Health::new(clock.clone());
        let origins = Origins::start(view.clone(), health.clone(), clock.clone(), logger());
        origins.observe(["v1", "v2"].map(origin).into_iter());
        let quarantine = Quarantine::new(&index.to_string().into(), logger());
        spawn_local(
            quarantine
                .clone()
                .share(view.clone(), health.clone(), clock.clone()),
        );
        Daemon {
            view,
            origins,
            quarantine,
            health,
            clock: clock.clone(),
            is_dead: Cell::new(false),
            is_old: Cell::new(false),
        }
    };
    let daemons: Daemons = Rc::new((0..count).map(daemon).collect());
    for (own, daemon) in daemons.iter().enumerate() {
        Handoff::start(Dependencies {
            helpers: Rc::new(Others {
                daemons: daemons.clone(),
                own,
            }),
            holders: 2,
            origins: daemon.origins.clone(),
            quarantine: daemon.quarantine.clone(),
            health: daemon.health.clone(),
            clock: clock.clone(),
            meter: Meter::new("test"),
            log: logger(),
        });
    }
    (daemons, shared)
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

/// Begins streams of both releases at a daemon, and returns their attempts.
async fn begin(daemon: &Daemon, name: &str, count: usize) -> Vec<(id::Name, Origin)> {
    let mut begun = Vec::new();
    for number in 0..count {
        let attempt: id::Name = format!("{name}-{number}").into();
        let origin = origin(["v1", "v2"][number % 2]);
        daemon.origins.announce(&origin);
        daemon.origins.begin(&attempt, origin.clone()).await;
        begun.push((attempt, origin));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    begun
}

/// Returns how many streams a daemon finds; none may have another origin.
async fn found(daemon: &Daemon, begun: &[(id::Name, Origin)]) -> usize {
    let mut count = 0;
    for (attempt, origin) in begun {
        let found = daemon.origins.find(Some(attempt), &"s".into()).await;
        assert!(found.as_ref().is_none_or(|found| found == origin));
        count += usize::from(found.is_some());
    }
    count
}

/// Guards against streams that are lost with the daemon that began them, since the log did not take its records.
#[test]
fn streams_of_daemon_without_log_lost_with_it() {
    let slow = Reach::After(SECOND * 6 / 5);
    for reach in [Reach::Cut, Reach::Refused, slow] {
        on_paused_time(|| async move {
            let (daemons, _) = start(3);
            daemons[0].view.reach.set(reach);
            tokio::time::sleep(HALF_SECOND).await;
            let begun = begin(&daemons[0], "a", 8).await;
            tokio::time::sleep(HALF_SECOND).await;
            daemons[0].kill();
            daemons[1].kill();
            assert_eq!(found(&daemons[2], &begun).await, 8, "{reach:?}");
        });
    }
}

/// Guards against helpers that are chosen among daemons that do not reach the log either, are dead, or of an earlier
/// release.
#[test]
fn streams_handed_to_daemons_without_log_lost() {
    on_paused_time(|| async {
        let (daemons, _) = start(9);
        for cut in &daemons[0..4] {
            cut.view.reach.set(Reach::Cut);
        }
        daemons[4].kill();
        daemons[5].is_old.set(true);
        let begun = begin(&daemons[0], "a", 8).await;
        tokio::time::sleep(SECOND).await;
        daemons[0].kill();
        daemons[1].kill();
        assert_eq!(found(&daemons[8], &begun).await, 8);
    });
}

/// Guards against streams that are lost with a daemon that was killed while nobody could write.
#[test]
fn streams_begun_without_any_log_lost() {
    on_paused_time(|| async {
        let (daemons, shared) = start(5);
        let set_all = |reach| {
            daemons
                .iter()
                .for_each(|daemon| daemon.view.reach.set(reach))
        };
        set_all(Reach::Cut);
        let begun = begin(&daemons[0], "a", 8).await;
        tokio::time::sleep(SECOND).await;
        let messages = shared.messages.get();
        tokio::time::sleep(3 * SECOND).await;
        assert_eq!(
            shared.messages.get(),
            messages,
            "nobody hands on what it keeps"
        );
        set_all(CALM);
        daemons[0].kill();
        daemons[1].kill();
        tokio::time::sleep(2 * SECOND).await;
        assert_eq!(found(&daemons[4], &begun).await, 8);
    });
}

/// Guards against streams that stay with daemons that cannot write, though one that can is found later.
#[test]
fn streams_kept_by_daemons_without_log_lost() {
    on_paused_time(|| async {
        let (daemons, _) = start(12);
        let (last, cut) = daemons.split_last().expect("daemons");
        cut.iter()
            .for_each(|daemon| daemon.view.reach.set(Reach::Cut));
        let mut begun = begin(&daemons[0], "a", 4).await;
        tokio::time::sleep(SECOND).await;
        begun.extend(begin(&daemons[0], "b", 1).await);
        tokio::time::sleep(SECOND).await;
        cut.iter().for_each(Daemon::kill);
        assert_eq!(found(last, &begun).await, 5);
    });
}

/// Guards against records that are gone with the daemon that wrote them for another one when the log goes back.
#[test]
fn kept_streams_lost_when_log_goes_back() {
    on_paused_time(|| async {
        let (daemons, shared) = start(3);
        daemons[0].view.reach.set(Reach::Refused);
        // So fast that nobody else is asked.
        let fast = Reach::After(Duration::from_millis(4));
        daemons[1].view.reach.set(fast);
        let begun = begin(&daemons[0], "a", 4).await;
        tokio::time::sleep(SECOND).await;
        daemons[0].kill();
        shared.batches.borrow_mut().clear();
        shared.epoch.set(1);
        daemons[1].origins.log_went_back(1);
        tokio::time::sleep(SECOND).await;
        daemons[1].kill();
        assert_eq!(found(&daemons[2], &begun).await, 4);
    });
}

/// Guards against a helper that takes for written what the log has lost since.
#[test]
fn receipt_of_earlier_epoch_taken_for_written() {
    on_paused_time(|| async {
        let (daemons, shared) = start(2);
        daemons[0].view.reach.set(Reach::Refused);
        let begun = begin(&daemons[0], "a", 2).await;
        tokio::time::sleep(SECOND).await;
        shared.batches.borrow_mut().clear();
        shared.epoch.set(1);
        daemons[0].origins.log_went_back(1);
        tokio::time::sleep(SECOND).await;
        // The helper has not noticed; what it answered left the records with their daemon, which writes them now.
        daemons[0].view.reach.set(CALM);
        begin(&daemons[0], "b", 1).await;
        tokio::time::sleep(2 * SECOND).await;
        let records = shared.batches.borrow();
        let records = records.iter().flat_map(|batch| &batch.records);
        let attempts: Vec<&id::Name> = records.map(|record| &record.attempt).collect();
        assert!(begun.iter().all(|(attempt, _)| attempts.contains(&attempt)));
    });
}

/// Has endpoints end under requests with one part, as one daemon sees them.
fn crash(daemon: &Daemon, endpoints: std::ops::Range<usize>) {
    for endpoint in endpoints {
        let suspects = Suspects {
            content: format!("content-{endpoint}").into(),
            parts: vec!["fatal".into()],
        };
        let life = Life {
            endpoint: format!("e-{endpoint}").into(),
            born: 1,
            service: "s".into(),
        };
        let now = daemon.clock.now();
        daemon.quarantine.blame(&suspects, &life, true, now);
    }
}

/// Guards against evidence that is lost with the daemon that gathered it, since the log did not take its records.
#[test]
fn evidence_of_daemon_without_log_lost_with_it() {
    let slow = Reach::After(SECOND * 6 / 5);
    for reach in [Reach::Cut, Reach::Refused, slow] {
        on_paused_time(|| async move {
            let (daemons, shared) = start(3);
            daemons[0].view.reach.set(reach);
            crash(&daemons[0], 0..2);
            tokio::time::sleep(HALF_SECOND / 2).await;
            daemons[0].quarantine.update(daemons[0].clock.now());
            tokio::time::sleep(HALF_SECOND).await;
            daemons[0].kill();
            daemons[1].kill();
            let log = shared.evidence.borrow();
            let fatal = Subject::Part("fatal".into());
            let record = log.iter().find(|record| record.subject == fatal);
            let record = record.expect("a record");
            assert_eq!(record.blames.len(), 2, "{reach:?}");
            assert!(!record.is_refused);
            let messages = shared.messages.get();
            assert!(messages <= 2, "{messages} messages");
        });
    }
}

/// Guards against calls between daemons whose log takes what it is given.
#[test]
fn calm_daemons_hand_nothing_over() {
    on_paused_time(|| async {
        let (daemons, shared) = start(9);
        for round in 0..20 {
            for (index, daemon) in daemons.iter().enumerate() {
                begin(daemon, &format!("{round}-{index}"), 2).await;
            }
        }
        assert_eq!(shared.messages.get(), 0);
    });
}

/// Guards against daemons that flood each other while the log is slow for all of them.
#[test]
fn slow_log_messages_bounded() {
    for count in [9, 100] {
        on_paused_time(|| async move {
            let (daemons, shared) = start(count);
            for daemon in daemons.iter() {
                daemon.view.reach.set(Reach::After(4 * HALF_SECOND / 8));
            }
            let streams = daemons
                .iter()
                .enumerate()
                .map(|(index, daemon)| async move { begin(daemon, &index.to_string(), 100).await });
            let begun: usize = futures::future::join_all(streams)
                .await
                .iter()
                .map(Vec::len)
                .sum();
            tokio::time::sleep(5 * SECOND).await;
            let (messages, records) = (shared.messages.get(), shared.records.get());
            let appends = shared.appends.get();
            println!(
                "{count} daemons, {begun} streams: {messages} messages, {records} records, {appends} appends"
            );
            assert!(records <= 3 * begun, "{records} records of {begun} streams");
        });
    }
}

mod history;
