//! Tests of planning at another daemon.

use capnp::capability::Rc as Capability;

use super::*;
use crate::clock::Boot;
use crate::generated::plan_capnp::seat as wire_seat;
use crate::serve::plan::Tokens;

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
        key: "k".into(),
        needs: Vec::new(),
        service: "s".into(),
        priority: 0,
        target: Duration::from_secs(1),
        end: Duration::from_secs(5),
        span: Duration::from_secs(1),
        weight: 1.0,
        digest: "d".into(),
        parts: Vec::new(),
        tokens: Tokens::default(),
        zone: "z".into(),
    }
}

fn line() -> Rc<Line> {
    let member = Member {
        name: "n".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        born: 1,
        power: 1,
    };
    Line::new(member, capnp_rpc::new_client(Frozen), spawn_local(async {}))
}

async fn take(line: &Rc<Line>) -> bool {
    let taken = seat::Distant::take(line.clone(), &job(), &Boot::new()).await;
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
        line.lose();
        assert!(waiting.await.expect("it ends"));
        assert!(take(&line).await, "and nothing more is sent there");
    });
}
