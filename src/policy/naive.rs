//! The naive policy, a baseline for benchmarks: random choice, fixed timeout, three retries, no
//! limit.

use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::{
    Admission, Arrival, Attempt, Candidate, Observation, Pick, Placement, Policy, Retry, Ticket,
};
use crate::clock::Time;
use crate::endpoint;

/// The default timeout of a call.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);
/// The most retries of a stage.
const MAX_RETRIES: usize = 3;

/// The naive policy.
#[derive(Debug)]
pub struct Naive {
    timeout: Duration,
    candidates: Vec<Candidate>,
    rng: ChaCha8Rng,
}

impl Naive {
    /// Makes a policy whose random choices are seeded with `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            timeout: DEFAULT_TIMEOUT,
            candidates: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the timeout of a call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

impl Policy for Naive {
    fn admit(&mut self, _arrival: &Arrival, _now: Time) -> Admission {
        Admission::Admit
    }

    fn place(&mut self, attempt: &Attempt, _now: Time) -> Placement {
        let usable: Vec<&Candidate> = self
            .candidates
            .iter()
            .filter(|c| c.pool == attempt.pool && !c.leaving)
            .collect();
        match usable.choose(&mut self.rng) {
            Some(c) => Placement::Send(Pick {
                endpoint: c.endpoint.clone(),
                address: c.address.clone(),
                zone: c.zone.clone(),
                timeout: self.timeout,
                hedge_after: None,
            }),
            None => Placement::Refuse {
                reason: "no endpoint in the pool",
                retry_after: DEFAULT_TIMEOUT,
            },
        }
    }

    fn ready(&mut self, _now: Time) -> Vec<Ticket> {
        Vec::new()
    }

    fn abandon(&mut self, _ticket: &Ticket, _now: Time) {}

    fn retry(&mut self, attempt: &Attempt, _error: &endpoint::Error, _now: Time) -> Retry {
        if attempt.exclude.len() > MAX_RETRIES {
            Retry::Stop
        } else {
            Retry::After(Duration::ZERO)
        }
    }

    fn hedge(&mut self, _attempt: &Attempt, _now: Time) -> Option<Pick> {
        None
    }

    fn is_hopeless(&self, attempt: &Attempt, now: Time) -> bool {
        now >= attempt.deadline
    }

    fn observe(&mut self, observation: &Observation, _now: Time) {
        match observation {
            Observation::Candidates(list) => self.candidates.clone_from(list),
            Observation::Leaving(endpoint) => {
                for c in &mut self.candidates {
                    c.leaving |= c.endpoint == *endpoint;
                }
            }
            _ => {}
        }
    }

    fn next_wake(&self) -> Option<Time> {
        None
    }
}
