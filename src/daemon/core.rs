//! The state that all requests of a daemon share.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::drive::{Driver, Relay};
use super::gate::Gate;
use super::pool::ThreadPool;
use super::{CallObserver, Quarantine};
use crate::clock::{Clock, Time};
use crate::endpoint::{Answer, Call, Sink};
use crate::entry::{Host, Reader, Submission, Transcript, Transcripts};
use crate::ledger::Ledger;
use crate::pipeline::run::{Run, Tally};
use crate::pipeline::{Event, Finish, Plan, Remainder};
use crate::policy::{Admission, Arrival, Observation, Policy, Ticket};
use crate::timeline::{Kind, Recorder};
use crate::{claim, endpoint, id, peer, pipeline, quarantine};

/// Delay before a retry at another daemon, because this one is full or stops.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);

/// Another daemon on the list of VMs.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address and port for other daemons.
    pub address: String,
    /// Its region.
    pub region: id::Region,
}

/// Counts since the daemon started.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests admitted.
    pub admitted: AtomicU64,
    /// Requests refused on arrival.
    pub refused: AtomicU64,
    /// Answers and tokens dropped because their attempt had been abandoned.
    pub late: AtomicU64,
    /// Answers dropped as those of another request, stage, attempt or model version.
    pub crossed: AtomicU64,
    /// Tokens dropped because they had already been received.
    pub doubled: AtomicU64,
    /// Attempts after a failed one.
    pub retries: AtomicU64,
    /// Second attempts beside a slow one.
    pub hedges: AtomicU64,
    /// Generations that resumed on another engine.
    pub resumes: AtomicU64,
}

impl Counts {
    pub(super) fn add(&self, tally: Tally) {
        let pairs = [
            (&self.late, tally.late),
            (&self.crossed, tally.crossed),
            (&self.doubled, tally.doubled),
            (&self.retries, tally.retries),
            (&self.hedges, tally.hedges),
            (&self.resumes, tally.resumes),
        ];
        for (count, by) in pairs {
            count.fetch_add(u64::from(by), Ordering::Relaxed);
        }
    }

    /// Returns the counts by name.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        let pairs = [
            ("requests-admitted", &self.admitted),
            ("requests-refused", &self.refused),
            ("answers-late", &self.late),
            ("answers-crossed", &self.crossed),
            ("tokens-doubled", &self.doubled),
            ("retries", &self.retries),
            ("hedges", &self.hedges),
            ("resumes", &self.resumes),
        ];
        let load =
            |(name, count): (&'static str, &AtomicU64)| (name, count.load(Ordering::Relaxed));
        pairs.into_iter().map(load).collect()
    }
}

/// Fleet-wide configuration of a pipeline, which restricts or replaces its settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PipelineConfig {
    /// Maximum time of a request.
    pub timeout: Duration,
    /// 0 is the most important, 7 the least; none keeps that of the settings.
    pub priority: Option<u8>,
}

/// What a daemon takes from its settings, fixed while it runs.
pub struct Site {
    /// The daemon.
    pub daemon: id::Daemon,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Its region.
    pub region: id::Region,
    /// The region of each availability zone.
    pub regions: Arc<IndexMap<id::Zone, id::Region>>,
    /// The pipelines.
    pub plans: IndexMap<id::Pipeline, Arc<Plan>>,
    /// Maximum number of requests in progress.
    pub max_requests: usize,
}

/// The state that the requests and threads of a daemon share.
pub struct Core {
    pub(super) this: Weak<Core>,
    pub(super) site: Site,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) engine: Arc<dyn endpoint::Engine>,
    pub(super) coordinator: Arc<dyn claim::Coordinator>,
    pub(super) link: Arc<dyn peer::Link>,
    pub(super) recorder: Arc<Recorder>,
    pub(super) quarantine: Option<Arc<dyn Quarantine>>,
    pub(super) call_observer: Option<Arc<dyn CallObserver>>,
    pub(super) policy: Mutex<Box<dyn Policy>>,
    pub(super) ledger: Mutex<Ledger>,
    pub(super) transcripts: Arc<Transcripts>,
    pub(super) pool: ThreadPool,
    pub(super) gate: Gate,
    pub(super) counts: Counts,
    /// The plans of the pipelines that were configured.
    pub(super) configured_plans: Mutex<IndexMap<id::Pipeline, Arc<Plan>>>,
    pub(super) peers: Mutex<Vec<Peer>>,
    pub(super) requests: Mutex<IndexMap<id::Request, flume::Sender<Event>>>,
    pub(super) active: AtomicUsize,
    pub(super) is_draining: AtomicBool,
    /// Whether a list with endpoints was read.
    pub(super) has_endpoints: AtomicBool,
}

impl Core {
    /// Sets the configuration of a pipeline; its plan is computed once, not for each request.
    pub(super) fn set_pipeline_config(&self, pipeline: id::Pipeline, config: PipelineConfig) {
        let Some(plan) = self.site.plans.get(&pipeline) else {
            return;
        };
        let configured = Plan {
            deadline: plan.deadline.min(config.timeout),
            priority: config.priority.unwrap_or(plan.priority),
            ..Plan::clone(plan)
        };
        self.configured_plans
            .lock()
            .insert(pipeline, Arc::new(configured));
    }

    /// Sends `Ready` to the requests whose waiting stages may ask the policy again.
    pub(super) fn wake(&self, tickets: Vec<Ticket>) {
        if tickets.is_empty() {
            return;
        }
        let requests = self.requests.lock();
        for ticket in tickets {
            if let Some(sender) = requests.get(&ticket.request) {
                drop(sender.send(Event::Ready(ticket.attempt)));
            }
        }
    }

    /// Wakes the waiting stages that the policy reports as ready.
    pub(super) fn wake_ready(&self) {
        let tickets = self.policy.lock().ready(self.clock.now());
        self.wake(tickets);
    }

    /// Returns whether the endpoints of a pool generate tokens.
    pub(super) fn generates(&self, pool: &str) -> bool {
        let mut stages = self.site.plans.values().flat_map(|p| &p.stages);
        stages.any(|s| s.generates && *s.pool == *pool)
    }

    /// Returns the address of a daemon in `region`, selected by `choice`.
    pub(super) fn peer_in(&self, region: &str, choice: u64) -> Option<String> {
        let peers = self.peers.lock();
        let in_region: Vec<&Peer> = peers.iter().filter(|p| *p.region == *region).collect();
        let index = usize::try_from(choice).unwrap_or(0) % in_region.len().max(1);
        in_region.get(index).map(|p| p.address.clone())
    }

    fn start(
        &self,
        run: Run,
        transcript: Arc<Transcript>,
        relay: Option<Relay>,
    ) -> Result<(), Finish> {
        let Some(core) = self.this.upgrade() else {
            return Err(refusal("the daemon stops", Some(RETRY_ELSEWHERE)));
        };
        // A shutdown sets `is_draining` and then reads `active`; the order here is reversed, so that
        // one of the two sees the other.
        let active = self.active.fetch_add(1, Ordering::SeqCst);
        let reason = if self.is_draining.load(Ordering::SeqCst) {
            Some("the daemon stops")
        } else if active >= self.site.max_requests {
            Some("the daemon is full")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.active.fetch_sub(1, Ordering::SeqCst);
            return Err(refusal(reason, Some(RETRY_ELSEWHERE)));
        }
        let run = run.with_regions(self.site.regions.clone());
        tokio::spawn(Driver::new(core, run, transcript, relay).run());
        Ok(())
    }

    fn admit(&self, submission: &Submission, deadline: Time, now: Time) -> Result<bool, Finish> {
        if self.is_draining.load(Ordering::Acquire) {
            return Err(refusal("the daemon stops", Some(RETRY_ELSEWHERE)));
        }
        let request = &submission.request;
        let status = self
            .quarantine
            .as_ref()
            .map(|q| q.status(&request.digest, now));
        if let Some(quarantine::Status::Refused { until }) = status {
            let remaining = until.saturating_sub(now);
            return Err(refusal("its content crashed endpoints", Some(remaining)));
        }
        let plan = &submission.plan;
        let arrival = Arrival {
            request: request.id,
            workspace: request.workspace.clone(),
            pipeline: plan.name.clone(),
            pools: plan.pools_from(0),
            deadline,
            priority: plan.priority,
            cost: request.body.len() as u64,
        };
        match self.policy.lock().admit(&arrival, now) {
            Admission::Admit => Ok(status == Some(quarantine::Status::Suspect)),
            Admission::Refuse {
                reason,
                retry_after,
            } => Err(refusal(reason, Some(retry_after))),
        }
    }

    fn try_submit(&self, submission: Submission) -> Result<Arc<Transcript>, Finish> {
        let now = self.clock.now();
        let deadline = now + submission.timeout;
        let is_suspect = self.admit(&submission, deadline, now)?;
        let request = submission.request;
        let id = request.id;
        let transcript = Transcript::new(id, request.workspace.clone());
        let run = Run::new(submission.plan, request, deadline).with_suspect(is_suspect);
        if let Err(finish) = self.start(run, transcript.clone(), None) {
            // The policy has admitted the request and counts it.
            let ended = Observation::RequestEnded {
                request: id,
                attained: false,
            };
            self.policy.lock().observe(&ended, now);
            return Err(finish);
        }
        self.transcripts.add(transcript.clone(), now);
        Ok(transcript)
    }
}

impl Host for Core {
    fn is_ready(&self) -> bool {
        self.has_endpoints.load(Ordering::Acquire) && !self.is_draining.load(Ordering::Acquire)
    }

    fn plan(&self, name: &str) -> Option<Arc<Plan>> {
        let configured = self.configured_plans.lock().get(name).cloned();
        configured.or_else(|| self.site.plans.get(name).cloned())
    }

    fn submit(&self, submission: Submission) -> Result<Arc<Transcript>, Finish> {
        let id = submission.request.id;
        let result = self.try_submit(submission);
        match &result {
            Ok(_) => {
                self.counts.admitted.fetch_add(1, Ordering::Relaxed);
                self.recorder
                    .record(Kind::Request, Some(id), None, "arrived");
            }
            Err(finish) => {
                self.counts.refused.fetch_add(1, Ordering::Relaxed);
                let what = format!("refused: {finish:?}");
                self.recorder.record(Kind::Request, Some(id), None, what);
            }
        }
        result
    }

    fn pause_left(&self) -> Option<Duration> {
        self.gate.remaining()
    }
}

impl peer::Host for Core {
    fn forward(&self, address: &str, call: &Call, sink: Sink<'_>) -> endpoint::Result<Answer> {
        if self.is_draining.load(Ordering::Acquire) {
            return Err(endpoint::Error::Refused {
                step: "forwarded call",
                peer: self.site.daemon.to_string(),
                reason: "the daemon stops".into(),
                leaving: false,
            });
        }
        self.gate.wait();
        self.engine.call(address, call, sink)
    }

    fn cancel(&self, address: &str, request: id::Request, attempt: id::Attempt) {
        // If the cancel is lost, the endpoint runs the call to its end for nothing.
        drop(self.engine.cancel(address, request, attempt));
    }

    fn start_remainder(&self, remainder: &Remainder, relay: Relay) -> Result<Reader, Finish> {
        if self.is_draining.load(Ordering::Acquire) {
            return Err(refusal("the daemon stops", Some(RETRY_ELSEWHERE)));
        }
        let Some(plan) = self.plan(&remainder.pipeline) else {
            return Err(refusal("the other daemon has no such pipeline", None));
        };
        let digest = pipeline::digest(&remainder.pipeline, &remainder.body);
        let run = Run::from_remainder(plan, remainder, digest, self.clock.now());
        let transcript = Transcript::new(remainder.request, remainder.workspace.clone());
        let reader = transcript.read(0);
        self.start(run, transcript, Some(relay))?;
        Ok(reader)
    }
}

fn refusal(reason: &str, retry_after: Option<Duration>) -> Finish {
    Finish::NotRun {
        reason: reason.to_owned(),
        retry_after,
    }
}
