//! Tests of planning at another daemon.

use capnp::capability::Rc as Capability;
use capnp::message;

use super::*;
use crate::clock::Boot;
use crate::generated::plan_capnp::{job as wire_job, reply, seat as wire_seat, use_};
use crate::serve::plan::{Grant, PromptPart, Tokens, TransferredResult};

/// A planner that takes requests and never answers, as one that has been frozen.
struct Frozen;

struct Stuck;

impl planner::Server for Frozen {
    async fn place(
        self: Capability<Self>,
        _: planner::PlaceParams,
        mut results: planner::PlaceResults,
    ) -> capnp::Result<()> {
        results.get().set_seat(capnp_rpc::new_client(Stuck));
        Ok(())
    }
}

impl wire_seat::Server for Stuck {
    async fn wait(
        self: Capability<Self>,
        _: wire_seat::WaitParams,
        _: wire_seat::WaitResults,
    ) -> capnp::Result<()> {
        std::future::pending().await
    }
}

fn job() -> Job {
    Job {
        request: "r".into(),
        piece_key: "k".into(),
        stages: Vec::new(),
        service: "s".into(),
        priority: 0,
        target: Duration::from_secs(1),
        deadline: Duration::from_secs(5),
        target_latency: Duration::from_secs(1),
        weight: 1.0,
        digest: "d".into(),
        prompt_parts: Vec::new(),
        tokens: Tokens::default(),
        zone: "z".into(),
        transferred_results: Vec::new(),
    }
}

fn line() -> Rc<PlannerConnection> {
    let member = Member {
        name: "n".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        born: 1,
        cpu_millicores: 1,
    };
    PlannerConnection::new(member, capnp_rpc::new_client(Frozen), spawn_local(async {}))
}

async fn take(line: &Rc<PlannerConnection>) -> bool {
    let clock: Rc<dyn Clock> = Rc::new(Boot::new());
    let taken = remote::RemoteRequest::plan(line.clone(), &job(), &clock).await;
    taken.is_err()
}

#[test]
fn request_at_a_frozen_planner_given_back() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let line = line();
        let waiting = {
            let line = line.clone();
            spawn_local(async move { take(&line).await })
        };
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        assert!(!waiting.is_finished());
        line.mark_lost();
        assert!(waiting.await.expect("it ends"));
        assert!(take(&line).await, "and nothing more is sent there");
    });
}

fn given(until: Duration) -> TransferredResult {
    TransferredResult {
        stage: 2,
        piece: 3,
        handle: "10.1.0.1:80/h".into(),
        endpoint: "m".into(),
        zone: "z".into(),
        bytes: 3_000_000,
        expires_at: until,
    }
}

#[test]
fn moved_job_with_results_read_as_written() {
    let (here, there) = (Duration::from_secs(100), Duration::from_secs(7));
    let mut job = job();
    job.target += here;
    job.deadline += here;
    job.transferred_results
        .push(given(here + Duration::from_millis(900)));
    let mut message = message::Builder::new_default();
    wire::write_job(&job, here, message.init_root());
    let read: wire_job::Reader<'_> = message.get_root_as_reader().expect("a job");
    let read = wire::read_job(read, there).expect("it is read");
    assert_eq!(
        read.transferred_results,
        [given(there + Duration::from_millis(900))]
    );
    assert_eq!(read.deadline, there + Duration::from_secs(5));
}

#[test]
fn refusal_with_results_read_as_written() {
    let (here, there) = (Duration::from_secs(100), Duration::from_secs(7));
    let mut refusal = Refusal::new("leaving", Duration::from_millis(300));
    refusal.is_transferred = true;
    refusal
        .transferred_results
        .push(given(here + Duration::from_millis(900)));
    let mut message = message::Builder::new_default();
    wire::write_reply(&Err(refusal), here, message.init_root());
    let read: reply::Reader<'_> = message.get_root_as_reader().expect("a reply");
    let read = wire::read_reply(read, there).expect("it is read");
    let refusal = read.expect_err("a refusal");
    assert!(refusal.is_transferred);
    assert_eq!(
        refusal.transferred_results,
        [given(there + Duration::from_millis(900))]
    );
}

/// Load pattern: a planner is lost while prompts are shared; its successor has to know where.
#[test]
fn uses_told_with_their_ages() {
    let at = Duration::from_secs;
    let mut job = job();
    let part = |id: &str| PromptPart {
        id: id.into(),
        tokens: 100,
    };
    job.prompt_parts = vec![part("shared"), part("own")];
    let mut uses = SentParts::default();
    uses.record(&"e".into(), &job, at(100));
    uses.record(&"f".into(), &job, at(103));
    assert_eq!(
        uses.cached_parts(at(113)).len(),
        1,
        "the older one is not cached any more"
    );
    let ages = uses.ages_by_endpoint(at(105));
    let mut message = message::Builder::new_default();
    let list = message.initn_root::<capnp::struct_list::Builder<'_, use_::Owned>>(2);
    wire::write_sent_parts(&ages, list);
    let list = message.get_root_as_reader().expect("a list");
    let read = wire::read_sent_parts(list, at(8)).expect("it is read");
    assert_eq!(read.len(), 2);
    assert_eq!(
        (&*read[0].endpoint, &*read[0].part, read[0].sent_at),
        ("e", "shared", at(3))
    );
    assert_eq!((&*read[1].endpoint, read[1].sent_at), ("f", at(6)));
}

#[test]
fn uses_bounded() {
    let mut uses = SentParts::default();
    for number in 0..3_000 {
        let mut job = job();
        let part = |id: String| PromptPart {
            id: id.into(),
            tokens: 100,
        };
        job.prompt_parts = vec![part(format!("p{number}")), part("own".to_owned())];
        uses.record(&"e".into(), &job, Duration::from_millis(number));
    }
    let list = uses.cached_parts(Duration::from_secs(3));
    assert!(list.len() <= 500);
    assert!(
        list.iter().any(|one| &*one.part == "p2999"),
        "the newest stay"
    );
}

/// A planner that hands the first requests over and grants the others.
struct Leaving(Rc<Cell<usize>>);

impl planner::Server for Leaving {
    async fn place(
        self: Capability<Self>,
        _: planner::PlaceParams,
        mut results: planner::PlaceResults,
    ) -> capnp::Result<()> {
        let seat = Moving(self.0.clone());
        results.get().set_seat(capnp_rpc::new_client(seat));
        Ok(())
    }
}

struct Moving(Rc<Cell<usize>>);

impl wire_seat::Server for Moving {
    async fn wait(
        self: Capability<Self>,
        _: wire_seat::WaitParams,
        mut results: wire_seat::WaitResults,
    ) -> capnp::Result<()> {
        let left = self.0.get();
        let reply = if left > 0 {
            self.0.set(left - 1);
            let mut refusal = Refusal::new("leaving", Duration::ZERO);
            refusal.is_transferred = true;
            Err(refusal)
        } else {
            Ok(Grant {
                endpoint: "e".into(),
                ..Grant::default()
            })
        };
        wire::write_reply(&reply, Duration::ZERO, results.get().init_reply());
        Ok(())
    }

    async fn leave(
        self: Capability<Self>,
        _: wire_seat::LeaveParams,
        _: wire_seat::LeaveResults,
    ) -> capnp::Result<()> {
        Ok(())
    }
}

/// Load pattern: all daemons of a region are stopped in turn while a request waits.
#[test]
fn request_moved_more_often_than_planners_may_be_lost() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let left = Rc::new(Cell::new(MAX_LOST_PLANNERS + 1));
        let log = Logger::root(slog::Discard, slog::o!());
        let region = Region::other(Rc::new(Boot::new()), log);
        let client = capnp_rpc::new_client(Leaving(left.clone()));
        let line = PlannerConnection::new(line().member.clone(), client, spawn_local(async {}));
        region.connection.replace(Some(line));
        let planned = region.plan(&job()).await;
        assert_eq!(left.get(), 0);
        assert_eq!(&*planned.expect("it is granted").grant().endpoint, "e");
    });
}
