//! Content that ends the endpoints that run it: one place in each daemon that decides whether a request
//! may be sent, for its planners and for what they granted before.
//!
//! See [the design note](../../docs/design/quarantine.md).

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, warn};

use crate::clock::Time;
use crate::id;
use crate::quarantine::evidence::{Evidence, Life, Subject, Suspects};

/// The evidence of one daemon.
pub struct Quarantine {
    evidence: RefCell<Evidence>,
    logger: Logger,
}

impl Quarantine {
    /// Makes the quarantine of a daemon that knows nothing.
    pub fn new(logger: Logger) -> Rc<Self> {
        Rc::new(Self {
            evidence: RefCell::new(Evidence::default()),
            logger,
        })
    }

    /// Records that an endpoint ended while it began to answer a request.
    pub fn blame(&self, suspects: &Suspects, life: &Life, now: Time) {
        self.evidence.borrow_mut().blame(suspects, life, now);
    }

    /// Records that an endpoint of a service has been answering a request for a while.
    pub fn answering(&self, suspects: &Suspects, service: &id::Pool, now: Time) {
        self.evidence.borrow_mut().clear(suspects, service, now);
    }

    /// Records an answer that began at `began` and is complete.
    pub fn answered(&self, suspects: Suspects, life: Life, began: Time, now: Time) {
        let mut evidence = self.evidence.borrow_mut();
        if !evidence.is_empty() || !suspects.parts.is_empty() {
            evidence.answered(suspects, life, began, now);
        }
    }

    /// Decides what is refused; has it written to the log.
    pub fn update(&self, now: Time) {
        let refused = self.evidence.borrow_mut().update(now);
        for subject in &refused {
            self.log_refused(subject);
        }
    }

    fn log_refused(&self, subject: &Subject) {
        let endpoints = self.evidence.borrow().endpoints(subject);
        let endpoints: Vec<&str> = endpoints.iter().map(|endpoint| &**endpoint).collect();
        let (kind, name) = match subject {
            Subject::Content(digest) => ("content", digest),
            Subject::Part(part) => ("part", part),
        };
        warn!(self.logger, "content refused"; "kind" => kind, "name" => &**name,
            "endpoints" => endpoints.join(","));
    }

    /// Returns for how long a request is refused, if it is.
    pub fn refusal(&self, suspects: &Suspects, now: Time) -> Option<Duration> {
        self.evidence.borrow().refusal(suspects, now)
    }

    /// Returns whether anything may be refused, so that requests have to be checked.
    pub fn has_refused(&self) -> bool {
        self.evidence.borrow().has_refused()
    }

    /// Returns whether a request shares something with one under which an endpoint ended.
    pub fn is_suspect(&self, suspects: &Suspects) -> bool {
        self.evidence.borrow().is_suspect(suspects)
    }
}
