//! Tests of planning at another daemon.

use capnp::capability::Rc as Capability;
use capnp::message;

use super::*;
use crate::clock::Boot;
use crate::generated::plan_capnp::{job as wire_job, reply, seat as wire_seat, use_};
use crate::serve::closure::Closure;
use crate::serve::plan::{Grant, PromptPart, Tokens, TransferredResult};
use crate::serve::residency::Residency;

/// A planner that accepts requests and never answers, like a frozen one.
struct Frozen;

/// A request at a frozen planner.
struct FrozenRequest;

impl planner::Server for Frozen {
    async fn place(
        self: Capability<Self>,
        _: planner::PlaceParams,
        mut results: planner::PlaceResults,
    ) -> capnp::Result<()> {
        results.get().set_seat(capnp_rpc::new_client(FrozenRequest));
        Ok(())
    }
}

impl wire_seat::Server for FrozenRequest {
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
        release: None,
        closures: Vec::new(),
        residency: Residency::default(),
    }
}

fn connection() -> Rc<PlannerConnection> {
    let member = Member {
        name: "n".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        tunnel_address: None,
        born: 1,
        cpu_millicores: 1,
    };
    PlannerConnection::new(member, capnp_rpc::new_client(Frozen), spawn_local(async {}))
}

async fn fails_to_plan(connection: &Rc<PlannerConnection>) -> bool {
    let clock: Rc<dyn Clock> = Rc::new(Boot::new());
    let planned = remote::RemoteRequest::plan(connection.clone(), &job(), &clock).await;
    planned.is_err()
}

#[test]
fn plan_fails_when_planner_is_lost() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let connection = connection();
        let waiting = {
            let connection = connection.clone();
            spawn_local(async move { fails_to_plan(&connection).await })
        };
        for _ in 0..10 {
            tokio::task::yield_now().await;
        }
        assert!(!waiting.is_finished());
        connection.mark_lost();
        assert!(waiting.await.expect("the task ends"));
        assert!(
            fails_to_plan(&connection).await,
            "nothing more is sent to a lost planner"
        );
    });
}

fn transferred_result(expires_at: Duration) -> TransferredResult {
    TransferredResult {
        stage: 2,
        piece: 3,
        handle: "10.1.0.1:80/h".into(),
        endpoint: "m".into(),
        zone: "z".into(),
        bytes: 3_000_000,
        expires_at,
    }
}

#[test]
fn job_with_transferred_results_round_trip() {
    let (here, there) = (Duration::from_secs(100), Duration::from_secs(7));
    let mut job = job();
    job.target += here;
    job.deadline += here;
    job.transferred_results
        .push(transferred_result(here + Duration::from_millis(900)));
    let mut message = message::Builder::new_default();
    wire::write_job(&job, here, message.init_root());
    let read: wire_job::Reader<'_> = message.get_root_as_reader().expect("a job");
    let read = wire::read_job(read, there).expect("a valid message");
    assert_eq!(
        read.transferred_results,
        [transferred_result(there + Duration::from_millis(900))]
    );
    assert_eq!(read.deadline, there + Duration::from_secs(5));
}

#[test]
fn refusal_with_transferred_results_round_trip() {
    let (here, there) = (Duration::from_secs(100), Duration::from_secs(7));
    let mut refusal = Refusal::new("leaving", Duration::from_millis(300));
    refusal.is_transferred = true;
    refusal
        .transferred_results
        .push(transferred_result(here + Duration::from_millis(900)));
    let mut message = message::Builder::new_default();
    wire::write_reply(&Err(refusal), here, message.init_root());
    let read: reply::Reader<'_> = message.get_root_as_reader().expect("a reply");
    let read = wire::read_reply(read, there).expect("a valid message");
    let refusal = read.expect_err("a refusal");
    assert!(refusal.is_transferred);
    assert_eq!(
        refusal.transferred_results,
        [transferred_result(there + Duration::from_millis(900))]
    );
}

#[test]
fn closures_round_trip() {
    let closure = |endpoint: &str, remaining| Closure {
        endpoint: endpoint.into(),
        remaining,
    };
    let sent = Job {
        closures: vec![
            closure("e", Some(Duration::from_secs(5))),
            closure("f", None),
        ],
        ..job()
    };
    let mut message = message::Builder::new_default();
    wire::write_job(&sent, Duration::ZERO, message.init_root());
    let read: wire_job::Reader<'_> = message.get_root_as_reader().expect("a job");
    let read = wire::read_job(read, Duration::ZERO).expect("a valid message");
    assert_eq!(read.closures, sent.closures);
}

/// Guards against numbers of clients that a daemon of an earlier version passes on unchecked.
#[test]
fn odd_numbers_of_job_bounded() {
    let most = u64::from(u32::MAX);
    let sent = Job {
        weight: f32::NAN,
        tokens: Tokens {
            prompt: u64::MAX,
            output: 1 << 63,
        },
        prompt_parts: vec![PromptPart {
            id: "p".into(),
            tokens: u64::MAX,
        }],
        ..job()
    };
    let mut message = message::Builder::new_default();
    wire::write_job(&sent, Duration::ZERO, message.init_root());
    let read: wire_job::Reader<'_> = message.get_root_as_reader().expect("a job");
    let read = wire::read_job(read, Duration::ZERO).expect("a valid message");
    assert_eq!((read.tokens.prompt, read.tokens.output), (most, most));
    assert_eq!(read.prompt_parts[0].tokens, most);
    assert!(read.weight.is_finite());
}

/// Guards against a planner that is not told where a request may be; none are sent where it may be everywhere.
#[test]
fn allowed_regions_round_trip() {
    let places = [("a".into(), "r".into()), ("b".into(), "q".into())].into();
    let cases: [(&[_], &[_]); 3] = [
        (&[], &[]),
        (&["q".into()], &[]),
        (&["q".into()], &["r".into()]),
    ];
    for (route, workspace) in cases {
        let sent = Job {
            residency: Residency::new(&places, route, workspace),
            ..job()
        };
        let mut message = message::Builder::new_default();
        wire::write_job(&sent, Duration::ZERO, message.init_root());
        let read: wire_job::Reader<'_> = message.get_root_as_reader().expect("a job");
        let read = wire::read_allowed_regions(read).expect("a valid message");
        assert_eq!(Residency::new(&places, &read, &[]), sent.residency);
    }
}

/// A daemon of an earlier version sends no release, which is none rather than an empty one.
#[test]
fn release_and_source_round_trip() {
    for release in [None, Some(id::Release::from("v1.1"))] {
        let mut message = message::Builder::new_default();
        let sent = Job {
            release: release.clone(),
            ..job()
        };
        wire::write_job(&sent, Duration::ZERO, message.init_root());
        let read: wire_job::Reader<'_> = message.get_root_as_reader().expect("a job");
        let read = wire::read_job(read, Duration::ZERO).expect("a valid message");
        assert_eq!(read.release, release);
        let grant = Grant {
            release: release.clone(),
            fetch_from: release.is_some().then(|| ([10, 0, 0, 2], 80).into()),
            ..Grant::default()
        };
        let mut message = message::Builder::new_default();
        wire::write_reply(&Ok(grant.clone()), Duration::ZERO, message.init_root());
        let read: reply::Reader<'_> = message.get_root_as_reader().expect("a reply");
        let read = wire::read_reply(read, Duration::ZERO).expect("a valid message");
        assert_eq!(read, Ok(grant));
    }
}

/// Load pattern: a planner is lost while prompts are shared; the next one has to know where.
#[test]
fn sent_parts_round_trip_with_ages() {
    let seconds = Duration::from_secs;
    let mut job = job();
    let part = |id: &str| PromptPart {
        id: id.into(),
        tokens: 100,
    };
    job.prompt_parts = vec![part("shared"), part("own")];
    let mut sent_parts = SentParts::default();
    sent_parts.record(&"e".into(), &job, seconds(100));
    sent_parts.record(&"f".into(), &job, seconds(103));
    assert_eq!(
        sent_parts.cached_parts(seconds(113)).len(),
        1,
        "the older part is not cached any more"
    );
    let ages = sent_parts.ages_by_endpoint(seconds(105));
    let mut message = message::Builder::new_default();
    let list = message.initn_root::<capnp::struct_list::Builder<'_, use_::Owned>>(2);
    wire::write_sent_parts(&ages, list);
    let list = message.get_root_as_reader().expect("a list");
    let read = wire::read_sent_parts(list, seconds(8)).expect("a valid message");
    assert_eq!(read.len(), 2);
    assert_eq!(
        (&*read[0].endpoint, &*read[0].part, read[0].sent_at),
        ("e", "shared", seconds(3))
    );
    assert_eq!((&*read[1].endpoint, read[1].sent_at), ("f", seconds(6)));
}

#[test]
fn sent_parts_bounded() {
    let mut sent_parts = SentParts::default();
    for number in 0..3_000 {
        let mut job = job();
        let part = |id: String| PromptPart {
            id: id.into(),
            tokens: 100,
        };
        job.prompt_parts = vec![part(format!("p{number}")), part("own".to_owned())];
        sent_parts.record(&"e".into(), &job, Duration::from_millis(number));
    }
    let list = sent_parts.cached_parts(Duration::from_secs(3));
    assert!(list.len() <= 500);
    assert!(
        list.iter().any(|cached| &*cached.part == "p2999"),
        "the newest parts are kept"
    );
}

/// A planner that hands over this number of requests and grants the others.
struct Leaving(Rc<Cell<usize>>);

impl planner::Server for Leaving {
    async fn place(
        self: Capability<Self>,
        _: planner::PlaceParams,
        mut results: planner::PlaceResults,
    ) -> capnp::Result<()> {
        let request = LeavingRequest(self.0.clone());
        results.get().set_seat(capnp_rpc::new_client(request));
        Ok(())
    }
}

/// A request at a leaving planner.
struct LeavingRequest(Rc<Cell<usize>>);

impl wire_seat::Server for LeavingRequest {
    async fn wait(
        self: Capability<Self>,
        _: wire_seat::WaitParams,
        mut results: wire_seat::WaitResults,
    ) -> capnp::Result<()> {
        let remaining = self.0.get();
        let reply = if remaining > 0 {
            self.0.set(remaining - 1);
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
fn plan_transferred_more_often_than_lost() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), async {
        let remaining = Rc::new(Cell::new(MAX_LOST_PLANNERS + 1));
        let log = Logger::root(slog::Discard, slog::o!());
        let knowledge = Knowledge::new(&"f".into(), &log);
        let region = Region::other(knowledge, Rc::new(Boot::new()), log);
        let client = capnp_rpc::new_client(Leaving(remaining.clone()));
        let connection =
            PlannerConnection::new(connection().member.clone(), client, spawn_local(async {}));
        region.connection.replace(Some(connection));
        let planned = region.plan(&job(), false).await;
        assert_eq!(remaining.get(), 0);
        assert_eq!(&*planned.expect("a grant").grant().endpoint, "e");
    });
}

#[test]
fn pace_round_trip_and_none_of_an_earlier_release() {
    use crate::generated::plan_capnp::seat;
    for pace in [None, Some(2.5), Some(0.4), Some(20.0)] {
        assert_eq!(wire::read_pace(wire::write_pace(pace)), pace);
    }
    let mut message = message::Builder::new_default();
    let mut params = message.init_root::<seat::started_params::Builder<'_>>();
    params.set_is_final(true);
    let params = params.into_reader();
    assert_eq!(wire::read_pace(params.get_pace()), None);
    assert_eq!(wire::write_pace(Some(0.001)), 1, "not taken for none");
}
