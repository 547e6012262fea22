//! Drives one request: passes events to its state machine and performs the resulting actions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use indexmap::IndexMap;

use super::call;
use super::core::Core;
use crate::claim::Verdict;
use crate::endpoint::{Token, Usage};
use crate::entry::Transcript;
use crate::peer::Relayed;
use crate::pipeline::run::Run;
use crate::pipeline::{Action, Event, Finish, Remote};
use crate::timeline::Kind;
use crate::{claim, id};

/// Time to reconnect to a broken event stream before its request is cancelled.
pub const RECONNECT_GRACE: Duration = Duration::from_secs(1);
/// Maximum sleep of a request that has no timer.
const MAX_SLEEP: Duration = Duration::from_secs(60);
/// Maximum number of events in one step; pending tokens in them share one write.
const MAX_BATCH_EVENTS: usize = 64;

/// Channel for the tokens and the end of a request that another daemon relocated here.
pub type Relay = flume::Sender<Relayed<Remote>>;

/// One request in progress.
pub struct Driver {
    core: Arc<Core>,
    run: Run,
    transcript: Arc<Transcript>,
    /// The channel to the daemon that relocated the request, if one did.
    relay: Option<Relay>,
    sender: flume::Sender<Event>,
    receiver: flume::Receiver<Event>,
    verdict: Option<flume::Receiver<Verdict>>,
    /// Flags that end a running call, by attempt.
    stops: IndexMap<id::Attempt, Arc<AtomicBool>>,
    tokens: Vec<Token>,
    spent: Usage,
    is_disconnected: bool,
}

impl Driver {
    /// Creates the driver of a request and registers it.
    pub fn new(
        core: Arc<Core>,
        run: Run,
        transcript: Arc<Transcript>,
        relay: Option<Relay>,
    ) -> Self {
        let (sender, receiver) = flume::unbounded();
        let request = run.request().id;
        core.requests.lock().insert(request, sender.clone());
        Self {
            core,
            run,
            transcript,
            relay,
            sender,
            receiver,
            verdict: None,
            stops: IndexMap::new(),
            tokens: Vec::new(),
            spent: Usage::default(),
            is_disconnected: false,
        }
    }

    /// Drives the request to its end.
    pub async fn run(mut self) {
        let mut event = Event::Start;
        loop {
            self.wait_for_gate().await;
            self.step(event);
            if self.run.is_done() {
                break;
            }
            event = self.next().await;
        }
    }

    async fn wait_for_gate(&self) {
        while let Some(remaining) = self.core.gate.remaining() {
            tokio::time::sleep(remaining).await;
        }
    }

    /// Steps the run through an event and those that are already pending.
    fn step(&mut self, event: Event) {
        let core = self.core.clone();
        let now = core.clock.now();
        let mut actions = Vec::new();
        let mut tickets = Vec::new();
        {
            let mut policy = core.policy.lock();
            let pending = self.receiver.try_iter().take(MAX_BATCH_EVENTS);
            let mut only_tokens = true;
            for event in std::iter::once(event).chain(pending) {
                only_tokens &= matches!(event, Event::Token(..));
                actions.append(&mut self.run.step(event, now, &mut **policy));
            }
            // A continuous stream of tokens must not delay timers.
            if self.run.next_wake().is_some_and(|at| now >= at) {
                actions.append(&mut self.run.step(Event::Wake, now, &mut **policy));
            }
            if !only_tokens {
                tickets = policy.ready(now);
            }
        }
        core.wake(tickets);
        for action in actions {
            self.perform(action);
        }
        self.flush_tokens();
    }

    fn flush_tokens(&mut self) {
        if self.tokens.is_empty() {
            return;
        }
        let tokens = std::mem::take(&mut self.tokens);
        match &self.relay {
            None => self.transcript.push(&tokens),
            // If the other daemon is gone, its reader is dropped, which is detected separately.
            Some(relay) => drop(relay.send(Relayed::Tokens(tokens))),
        }
    }

    async fn next(&mut self) -> Event {
        let wait = match self.run.next_wake() {
            Some(at) => at.saturating_sub(self.core.clock.now()),
            None => MAX_SLEEP,
        };
        let is_finished = self.transcript.ended().is_some();
        let watches_caller = !self.is_disconnected && !is_finished;
        let may_reconnect = self.run.request().stream && self.relay.is_none();
        tokio::select! {
            biased;
            event = self.receiver.recv_async() => event.unwrap_or(Event::Wake),
            verdict = claim_verdict(self.verdict.as_ref()) => {
                self.verdict = None;
                Event::Claimed(verdict)
            }
            () = tokio::time::sleep(wait) => Event::Wake,
            () = disconnected(&self.transcript, may_reconnect), if watches_caller => {
                self.is_disconnected = true;
                Event::CallerDisconnected
            }
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Claim(claim) => self.claim(claim),
            Action::Settle(outcome) => self.settle(outcome),
            Action::Call(pick, call) => {
                let stop = self.stop_flag(call.attempt);
                let what = format!("call of {} attempt {}", call.stage, call.attempt);
                self.record(Kind::Call, Some(pick.endpoint.clone()), what);
                call::start(&self.core, &self.sender, stop, pick, call);
            }
            Action::Cancel(pick, attempt) => {
                self.stop_call(attempt);
                let what = format!("cancel of attempt {attempt}");
                self.record(Kind::Call, Some(pick.endpoint.clone()), what);
                call::cancel(&self.core, self.run.request().id, pick, attempt);
            }
            Action::Relocate(region, remainder) => {
                let stop = self.stop_flag(remainder.attempt);
                self.record(Kind::Request, None, format!("moved to {region}"));
                call::relocate(&self.core, &self.sender, stop, &region, *remainder);
            }
            Action::CancelRelocation(attempt) => {
                self.stop_call(attempt);
                call::cancel_remote(&self.core, self.run.request().id, attempt);
            }
            Action::Token(token) => self.tokens.push(token),
            Action::Finish(finish) => self.finish(finish),
            Action::Blame(digest, endpoint) => {
                self.record(Kind::Quarantine, Some(endpoint.clone()), "blamed".into());
                if let Some(quarantine) = &self.core.quarantine {
                    quarantine.blame(&digest, &endpoint, self.core.clock.now());
                }
            }
        }
    }

    fn stop_flag(&mut self, attempt: id::Attempt) -> Arc<AtomicBool> {
        self.stops.entry(attempt).or_default().clone()
    }

    fn stop_call(&mut self, attempt: id::Attempt) {
        if let Some(stop) = self.stops.swap_remove(&attempt) {
            stop.store(true, Ordering::Release);
        }
    }

    fn claim(&mut self, claim: claim::Claim) {
        self.record(Kind::Claim, None, "asked".into());
        let (sender, receiver) = flume::bounded(1);
        self.verdict = Some(receiver);
        self.core.coordinator.claim(claim, sender);
    }

    fn settle(&mut self, outcome: claim::Outcome) {
        self.record(
            Kind::Claim,
            None,
            format!("settled {}", outcome_name(&outcome)),
        );
        self.core.coordinator.settle(self.run.request().id, outcome);
    }

    fn finish(&mut self, finish: Finish) {
        self.flush_tokens();
        let core = &self.core;
        let is_answered = matches!(finish, Finish::Answer(_));
        let is_in_time = core.clock.now() <= self.run.deadline();
        core.ledger
            .lock()
            .record_end(self.run.plan(), &finish, is_in_time);
        if let (true, Some(quarantine)) = (is_answered, &core.quarantine) {
            quarantine.clear(&self.run.request().digest, core.clock.now());
        }
        self.record(Kind::Request, None, summary(&finish));
        self.record_usage();
        if let (Some(relay), Some(remote)) = (&self.relay, self.run.remote(self.spent.clone())) {
            drop(relay.send(Relayed::End(remote)));
        }
        self.transcript.finish(finish);
    }

    fn record_usage(&mut self) {
        let usages = self.run.take_usages();
        for attempt in &usages {
            self.spent.add(&attempt.usage);
        }
        let mut ledger = self.core.ledger.lock();
        ledger.record_usage(self.run.plan(), self.run.request(), &usages);
    }

    fn record(&self, kind: Kind, endpoint: Option<id::Endpoint>, what: String) {
        let request = Some(self.run.request().id);
        self.core.recorder.record(kind, request, endpoint, what);
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        self.record_usage();
        let core = &self.core;
        core.requests.lock().swap_remove(&self.run.request().id);
        core.counts.add(self.run.tally());
        core.active.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Waits for the verdict on a claim; if the coordinator stopped, nothing was claimed.
async fn claim_verdict(verdict: Option<&flume::Receiver<Verdict>>) -> Verdict {
    let Some(receiver) = verdict else {
        return std::future::pending().await;
    };
    let received = receiver.recv_async().await;
    received.unwrap_or_else(|_| Verdict::NotRun {
        reason: "the claim coordinator stopped".into(),
        retry_after: None,
    })
}

/// Waits until the caller is disconnected and the reconnect grace period is over.
async fn disconnected(transcript: &Transcript, may_reconnect: bool) {
    loop {
        transcript.wait_unread().await;
        if may_reconnect {
            tokio::time::sleep(RECONNECT_GRACE).await;
        }
        if !transcript.has_reader() {
            return;
        }
    }
}

fn outcome_name(outcome: &claim::Outcome) -> &'static str {
    match outcome {
        claim::Outcome::Answered(_) => "answered",
        claim::Outcome::Partial(_) => "partial",
        claim::Outcome::Unknown => "unknown",
        claim::Outcome::Released => "released",
    }
}

fn summary(finish: &Finish) -> String {
    match finish {
        Finish::Answer(_) => "answered".into(),
        Finish::NotRun { reason, .. } => format!("not run: {reason}"),
        Finish::Unknown { reason } => format!("unknown: {reason}"),
        Finish::Failed { reason, .. } => format!("failed: {reason}"),
        Finish::Conflict => "conflict".into(),
    }
}
