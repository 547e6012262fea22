//! One caller of the demo: sends, and sends again with the same key as long as it may.

use std::thread;
use std::time::{Duration, Instant};

use super::site::Site;
use super::task::{self, Task};
use crate::id;
use crate::load::call::{self, Outcome, Reply, Submission};
use crate::standin::text::{self, Flaw};

/// Times that a caller sends one request at most.
const MAX_SENDS: usize = 8;
/// Time between sending and sending again.
const SEND_AGAIN: Duration = Duration::from_millis(150);
/// The least time that a caller gives the daemon when it sends again.
const LEAST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// One sending and what came of it.
#[derive(Clone, Debug)]
pub struct Send {
    /// What the caller was told.
    pub outcome: Outcome,
    /// The request, if the daemon named it.
    pub request: Option<id::Request>,
}

/// What a caller lived through.
#[derive(Clone, Debug)]
pub struct Story {
    /// The pipeline.
    pub pipeline: &'static str,
    /// The marker in its body.
    pub marker: String,
    /// All sendings.
    pub sends: Vec<Send>,
    /// The last outcome.
    pub outcome: Outcome,
    /// What is wrong with the answer.
    pub flaw: Option<Flaw>,
    /// Whether a token was repeated or left out.
    pub is_disordered: bool,
    /// Time from the intended start to the last outcome.
    pub latency: Duration,
    /// Time to the first token, if streamed at the first try.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Why there is no answer.
    pub reason: Option<String>,
}

/// A caller at work.
struct Caller<'a> {
    site: &'a Site,
    task: &'a Task,
    key: String,
    deadline: Duration,
    is_repeatable: bool,
    start: Instant,
}

/// Plays one task.
pub fn run(site: &Site, task: &Task) -> Story {
    let deadline = site.pipeline(task.pipeline).map_or(0, |p| p.deadline_ms);
    let caller = Caller {
        site,
        task,
        key: call::idempotency_key(task.nonce),
        deadline: Duration::from_millis(deadline),
        is_repeatable: task::is_repeatable(site, task.pipeline),
        start: Instant::now(),
    };
    caller.play()
}

impl Caller<'_> {
    fn play(&self) -> Story {
        let mut sends = Vec::new();
        loop {
            let reply = self.send(sends.len());
            sends.push(Send {
                outcome: reply.outcome,
                request: reply.request,
            });
            if sends.len() == MAX_SENDS || !self.sends_again(&sends, &reply) {
                return self.tell(sends, reply);
            }
            thread::sleep(SEND_AGAIN);
        }
    }

    fn send(&self, number: usize) -> Reply {
        let members = self.site.crew.members();
        let member = &members[(self.task.daemon + number) % members.len()];
        let left = self.deadline.saturating_sub(self.start.elapsed());
        let submission = Submission::new(&member.address, self.task.pipeline, &self.task.key)
            .body(&self.task.body)
            .timeout(left.max(LEAST_TIMEOUT))
            .idempotency_key(&self.key)
            .stream(self.task.stream);
        match self.task.hang_up {
            Some(patience) if number == 0 => submission.hang_up(patience).send(),
            _ => submission.send(),
        }
    }

    /// A caller sends again what did not run, and finds out what became of the rest by its key.
    fn sends_again(&self, sends: &[Send], reply: &Reply) -> bool {
        let has_time = self.start.elapsed() < self.deadline;
        let unknowns = sends.iter().filter(|s| s.outcome == Outcome::Unknown);
        match reply.outcome {
            Outcome::Answered => false,
            Outcome::NotRun | Outcome::NotSent => has_time,
            Outcome::Cut => true,
            Outcome::Unknown => unknowns.count() < 2,
            Outcome::Failed => has_time && (self.is_repeatable || reply.may_send_again),
        }
    }

    fn tell(&self, sends: Vec<Send>, reply: Reply) -> Story {
        let is_answered = reply.outcome == Outcome::Answered;
        Story {
            pipeline: self.task.pipeline,
            marker: self.task.marker.clone(),
            outcome: reply.outcome,
            flaw: is_answered.then(|| self.flaw(&reply)).flatten(),
            is_disordered: !reply.is_ordered,
            latency: self.start.elapsed(),
            first_token: reply.first_token.filter(|_| sends.len() == 1),
            reason: reply.reason(),
            gaps: reply.gaps,
            sends,
        }
    }

    fn flaw(&self, reply: &Reply) -> Option<Flaw> {
        let stages = task::stages(self.site, self.task.pipeline);
        let checked = text::check(&reply.text, &self.task.marker, &stages);
        let streamed = text::check_tokens(
            &reply.tokens,
            &self.task.marker,
            &stages,
            &self.site.versions,
        );
        checked.and(streamed).err()
    }
}
