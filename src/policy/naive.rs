//! The naive policy that others are measured against: random choice, fixed timeout,
//! three retries, no limit.

use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::{
    Admission, Arrival, Attempt, Candidate, Observation, Pick, Placement, Policy, Retry, Ticket,
};
use crate::clock::Time;
use crate::endpoint;

/// How long a call may take.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Retries after the first attempt.
const RETRIES: usize = 3;

/// The naive policy.
#[derive(Debug)]
pub struct Naive {
    timeout: Duration,
    candidates: Vec<Candidate>,
    rng: ChaCha8Rng,
}

impl Naive {
    /// Makes a policy whose choices follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            timeout: TIMEOUT,
            candidates: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets how long a call may take.
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

    fn place(&mut self, ask: &Attempt, _now: Time) -> Placement {
        let fit: Vec<&Candidate> = self
            .candidates
            .iter()
            .filter(|c| c.pool == ask.pool && !c.leaving)
            .collect();
        match fit.choose(&mut self.rng) {
            Some(c) => Placement::Send(Pick {
                endpoint: c.endpoint.clone(),
                address: c.address.clone(),
                zone: c.zone.clone(),
                timeout: self.timeout,
                hedge_after: None,
            }),
            None => Placement::Refuse {
                reason: "no endpoint in the pool",
                retry_after: TIMEOUT,
            },
        }
    }

    fn ready(&mut self, _now: Time) -> Vec<Ticket> {
        Vec::new()
    }

    fn abandon(&mut self, _ticket: &Ticket, _now: Time) {}

    fn retry(&mut self, ask: &Attempt, _error: &endpoint::Error, _now: Time) -> Retry {
        if ask.exclude.len() > RETRIES {
            Retry::Stop
        } else {
            Retry::After(Duration::ZERO)
        }
    }

    fn hedge(&mut self, _ask: &Attempt, _now: Time) -> Option<Pick> {
        None
    }

    fn is_hopeless(&self, ask: &Attempt, now: Time) -> bool {
        now >= ask.deadline
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
