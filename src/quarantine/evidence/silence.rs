//! Requests that endpoints have not answered. An endpoint that ends without closing its connections looks like
//! one that is slow or cut off, until its entry ends.

use std::time::Duration;

use super::{Blame, Evidence, Life, Subject, Suspects, verdict};
use crate::clock::Time;
use crate::id;

/// How long an endpoint may be silent although it runs; what it answers earlier was ready before the request
/// in question ended it.
const RUN_TIME: Duration = Duration::from_secs(1);
/// How long after an answer the entry of a process that has just started under the same id may come.
const ENTRY_DELAY: Duration = Duration::from_secs(3);
/// How long a request without an answer is remembered; the entry of an endpoint that has ended is gone by then.
const RETENTION: Duration = Duration::from_secs(60);
/// The most requests that are remembered.
const MAX_UNANSWERED: usize = 1_024;

/// What the list of endpoints says of one life of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It is listed.
    Present,
    /// It is about to leave.
    Leaving,
    /// It is gone, or its endpoint has started again.
    Ended,
}

/// A request that its endpoint has not answered.
#[derive(Debug)]
pub struct Unanswered {
    content: id::Digest,
    life: Life,
    sent_at: Time,
    /// When the endpoint answered something else that it cannot have begun before.
    heard_at: Option<Time>,
}

impl Unanswered {
    fn is_alive(&self, now: Time) -> bool {
        self.heard_at
            .is_some_and(|heard_at| now >= heard_at + ENTRY_DELAY)
    }
}

impl Evidence {
    /// Records a request that was given up on before its endpoint answered it.
    pub fn unanswered(&mut self, suspects: &Suspects, life: Life, sent_at: Time) {
        self.unanswered.push(Unanswered {
            content: suspects.content.clone(),
            life,
            sent_at,
            heard_at: None,
        });
        if self.unanswered.len() > MAX_UNANSWERED {
            self.unanswered.remove(0);
        }
    }

    /// Records that an endpoint has answered something.
    pub fn heard(&mut self, endpoint: &id::Endpoint, now: Time) {
        let waiting = self.unanswered.iter_mut();
        let waiting = waiting.filter(|request| request.life.endpoint == *endpoint);
        for request in waiting.filter(|request| now >= request.sent_at + RUN_TIME) {
            request.heard_at.get_or_insert(now);
        }
    }

    /// Blames the requests whose endpoints have ended without an answer; returns their contents and endpoints.
    /// Only the whole content is blamed: whatever runs at an endpoint without power stays unanswered.
    pub fn observe(
        &mut self,
        listing: impl Fn(&Life) -> Listing,
        now: Time,
    ) -> Vec<(id::Digest, id::Endpoint)> {
        let is_over = |request: &mut Unanswered| {
            listing(&request.life) != Listing::Present
                || request.is_alive(now)
                || now >= request.sent_at + RETENTION
        };
        let over: Vec<Unanswered> = self.unanswered.extract_if(.., is_over).collect();
        let ended = over
            .into_iter()
            .filter(|request| listing(&request.life) == Listing::Ended && !request.is_alive(now));
        let ended: Vec<Unanswered> = ended.collect();
        for request in &ended {
            self.blame_silent(request, now);
        }
        let ended = ended.into_iter();
        ended
            .map(|request| (request.content, request.life.endpoint))
            .collect()
    }

    fn blame_silent(&mut self, request: &Unanswered, now: Time) {
        let subject = Subject::Content(request.content.clone());
        self.trials.take();
        let traces = &mut self.traces;
        let entry = self.entries.entry(subject);
        let entry = entry.or_insert_with_key(|subject| traces.take(subject));
        let blame = Blame {
            at: now,
            has_begun: false,
        };
        entry.blames.entry(request.life.clone()).or_insert(blame);
        entry.is_silent = true;
        self.expect_verdict(now + verdict::SETTLE_TIME);
        self.evict(now);
    }
}

#[cfg(test)]
mod tests;
