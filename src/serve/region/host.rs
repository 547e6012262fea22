//! The server side of planning: plans requests of the region's other daemons.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Rc as Capability;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::wire;
use crate::clock::Clock;
use crate::generated::plan_capnp::{planner, seat};
use crate::peer::stream;
use crate::serve::Node;
use crate::serve::budget::Loan;
use crate::serve::dispatcher::{Dispatcher, LocalRequest, PlannedRequest};
use crate::serve::handoff::Load;
use crate::serve::plan::{Grant, Job, Refusal};
use crate::serve::progress::{Position, ReadProgress, Topic};
use crate::serve::residency::Residency;

/// How long a new connection may take to announce its coding.
const CODING_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections of other daemons as long as the process runs.
pub async fn listen(
    listener: TcpListener,
    dispatcher: Rc<Dispatcher>,
    node: Rc<Node>,
    progress: Rc<ReadProgress>,
    clock: Rc<dyn Clock>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let host = Host {
            dispatcher: dispatcher.clone(),
            node: node.clone(),
            progress: progress.clone(),
            clock: clock.clone(),
        };
        spawn_local(serve(stream, host));
    }
}

async fn serve(stream: TcpStream, host: Host) {
    let host: planner::Client = capnp_rpc::new_client(host);
    let accepted = stream::accept(stream, host.client);
    if let Ok(Ok(system)) = timeout(CODING_TIMEOUT, accepted).await {
        drop(system.await);
    }
}

struct Host {
    dispatcher: Rc<Dispatcher>,
    node: Rc<Node>,
    progress: Rc<ReadProgress>,
    clock: Rc<dyn Clock>,
}

impl Host {
    /// Takes the share of the budgets of retries that a daemon of the region lends; daemons of other regions and of
    /// earlier versions lend none.
    fn take_loan(&self, params: planner::ping_params::Reader<'_>) -> capnp::Result<()> {
        let daemon = params.get_daemon()?.to_str()?;
        if daemon.is_empty() {
            return Ok(());
        }
        let loan = Loan {
            arrivals: wire::read_arrivals(params.get_requests()?)?,
            is_new: params.get_is_new(),
        };
        let now = self.clock.now();
        self.node.budget().pool().lend(&daemon.into(), &loan, now);
        Ok(())
    }
}

impl planner::Server for Host {
    async fn place(
        self: Capability<Self>,
        params: planner::PlaceParams,
        mut results: planner::PlaceResults,
    ) -> capnp::Result<()> {
        let sent = params.get()?.get_job()?;
        let mut job = wire::read_job(sent, self.clock.now())?;
        let allowed = wire::read_allowed_regions(sent)?;
        job.residency = Residency::new(&self.node.options.places, &allowed, &[]);
        let request = HostedRequest {
            dispatcher: self.dispatcher.clone(),
            job: RefCell::new(Some(job)),
            request: RefCell::new(None),
            clock: self.clock.clone(),
        };
        results.get().set_seat(capnp_rpc::new_client(request));
        Ok(())
    }

    async fn ping(
        self: Capability<Self>,
        params: planner::PingParams,
        mut results: planner::PingResults,
    ) -> capnp::Result<()> {
        self.take_loan(params.get()?)?;
        let watermarks = self.progress.watermark_ages(self.clock.now());
        let mut answer = results.get();
        answer.set_leaving(self.node.leaving_since().is_some());
        answer.set_is_pooling(true);
        let (known, new): (Vec<_>, Vec<_>) = watermarks
            .into_iter()
            .partition(|(topic, ..)| wire::is_known_to_all(*topic));
        let count = u32::try_from(known.len()).unwrap_or_default();
        wire::write_watermarks(&known, answer.reborrow().init_marks(count));
        let count = u32::try_from(new.len()).unwrap_or_default();
        wire::write_watermarks(&new, answer.init_more_marks(count));
        Ok(())
    }

    async fn follow(
        self: Capability<Self>,
        params: planner::FollowParams,
        _: planner::FollowResults,
    ) -> capnp::Result<()> {
        let daemon = params.get()?.get_daemon()?.to_str()?;
        let now = self.clock.now();
        self.node.limits().cold().follow(&daemon.into(), now);
        Ok(())
    }

    async fn spend(
        self: Capability<Self>,
        params: planner::SpendParams,
        mut results: planner::SpendResults,
    ) -> capnp::Result<()> {
        let service = params.get()?.get_service()?.to_str()?;
        let is_granted = self.node.budget().spend(&service.into(), self.clock.now());
        results.get().set_is_granted(is_granted);
        Ok(())
    }

    async fn keep(
        self: Capability<Self>,
        params: planner::KeepParams,
        mut results: planner::KeepResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let load = Load {
            streams: wire::read_origins(params.get_streams()?)?,
            evidence: wire::read_refused(params.get_evidence()?)?,
        };
        let receipt = self.node.keep(&load).await;
        let mut answer = results.get();
        answer.set_is_written(receipt.is_written);
        answer.set_epoch(receipt.epoch);
        Ok(())
    }

    async fn news(
        self: Capability<Self>,
        params: planner::NewsParams,
        mut results: planner::NewsResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let position = Position {
            epoch: params.get_epoch(),
            offset: params.get_from(),
        };
        let topic = wire::read_topic(params.get_topic()?);
        if let Some(update) = self.progress.news(topic, position) {
            let mut answer = results.get();
            answer.set_is_known(true);
            answer.set_next(update.next.offset);
            let count = u32::try_from(update.records.len()).unwrap_or_default();
            wire::write_records(&update.records, answer.init_records(count));
        }
        Ok(())
    }

    async fn copy(
        self: Capability<Self>,
        params: planner::CopyParams,
        mut results: planner::CopyResults,
    ) -> capnp::Result<()> {
        let topic = wire::read_topic(params.get()?.get_topic()?);
        let record = self.progress.compressed_record(topic);
        let record = record.map_err(|error| capnp::Error::failed(error.to_string()))?;
        if let Some(record) = record {
            let mut answer = results.get();
            answer.set_change(record.position.offset);
            answer.set_epoch(record.position.epoch);
            answer.set_packed(&record.packed);
            if topic == Topic::Catalog {
                answer.set_knows_evacuated(true);
                wire::write_zones(&self.node.evacuated_zones(), |count| {
                    answer.init_evacuated(count)
                });
            }
        }
        Ok(())
    }

    async fn recall(
        self: Capability<Self>,
        params: planner::RecallParams,
        _: planner::RecallResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let now = self.clock.now();
        let parts = wire::read_sent_parts(params.get_uses()?, now)?;
        self.dispatcher
            .update_planner(|planner, _| planner.record_cached(&parts));
        let refused = wire::read_refused(params.get_refused()?)?;
        self.node.quarantine().tell(&refused, now);
        let limits = wire::read_limits(params.get_limits()?)?;
        self.node.limits().tell(&limits, now);
        Ok(())
    }
}

/// A request of another daemon that is planned here.
struct HostedRequest {
    dispatcher: Rc<Dispatcher>,
    job: RefCell<Option<Job>>,
    request: RefCell<Option<LocalRequest>>,
    clock: Rc<dyn Clock>,
}

impl HostedRequest {
    fn not_planned() -> capnp::Error {
        capnp::Error::failed("the request is not planned here".into())
    }

    fn store_request(&self, planned: Result<LocalRequest, Refusal>) -> Result<Grant, Refusal> {
        let request = planned?;
        let grant = request.grant().clone();
        self.request.replace(Some(request));
        Ok(grant)
    }
}

fn record_pace(request: &LocalRequest, percent: u16) {
    if let Some(ratio) = wire::read_pace(percent) {
        request.paced(ratio);
    }
}

impl seat::Server for HostedRequest {
    async fn wait(
        self: Capability<Self>,
        _: seat::WaitParams,
        mut results: seat::WaitResults,
    ) -> capnp::Result<()> {
        let job = self.job.take().ok_or_else(Self::not_planned)?;
        let planned = self.dispatcher.plan(job).await;
        let reply = self.store_request(planned);
        wire::write_reply(&reply, self.clock.now(), results.get().init_reply());
        Ok(())
    }

    async fn started(
        self: Capability<Self>,
        params: seat::StartedParams,
        _: seat::StartedResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let is_final = params.get_is_final();
        if let Some(request) = &*self.request.borrow() {
            record_pace(request, params.get_pace());
            request.started(is_final);
        }
        Ok(())
    }

    async fn limited(
        self: Capability<Self>,
        params: seat::LimitedParams,
        _: seat::LimitedResults,
    ) -> capnp::Result<()> {
        let limit = wire::read_limit(params.get()?.get_limit());
        if let Some(request) = &*self.request.borrow() {
            request.limited(limit);
        }
        Ok(())
    }

    async fn answering(
        self: Capability<Self>,
        _: seat::AnsweringParams,
        _: seat::AnsweringResults,
    ) -> capnp::Result<()> {
        if let Some(request) = &*self.request.borrow() {
            request.answering();
        }
        Ok(())
    }

    async fn ended(
        self: Capability<Self>,
        params: seat::EndedParams,
        _: seat::EndedResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let verdict = wire::read_verdict(params.get_verdict()?);
        if let Some(request) = &*self.request.borrow() {
            record_pace(request, params.get_pace());
            request.ended(verdict);
        }
        Ok(())
    }

    async fn retry(
        self: Capability<Self>,
        params: seat::RetryParams,
        mut results: seat::RetryResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let inputs_lost = params.get_again();
        let release = wire::read_release(params.get_release()?)?;
        let mut request = self.request.take().ok_or_else(Self::not_planned)?;
        let retried = request.request_other_endpoint(inputs_lost, release).await;
        let reply = self.store_request(retried.map(|()| request));
        wire::write_reply(&reply, self.clock.now(), results.get().init_reply());
        Ok(())
    }

    async fn leave(
        self: Capability<Self>,
        _: seat::LeaveParams,
        _: seat::LeaveResults,
    ) -> capnp::Result<()> {
        drop(self.request.take());
        Ok(())
    }
}
