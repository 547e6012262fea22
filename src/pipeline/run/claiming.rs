//! The claim of a run: its verdict, in time or late.

use super::{ClaimState, Run, finish};
use crate::claim;
use crate::clock::Time;
use crate::pipeline::{Action, Finish};
use crate::policy::Policy;

impl Run {
    pub(super) fn on_claimed(
        &mut self,
        verdict: claim::Verdict,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        if self.claim != ClaimState::Pending {
            return;
        }
        self.claim = ClaimState::Closed;
        match verdict {
            claim::Verdict::Granted => self.on_granted(now, policy),
            claim::Verdict::Resume(stage_results) => self.resume(stage_results, now, policy),
            claim::Verdict::Answered(body) => self.conclude(Finish::Answer(body), now, policy),
            claim::Verdict::Conflict => self.conclude(Finish::Conflict, now, policy),
            claim::Verdict::Unknown => self.conclude(finish::earlier_unknown(), now, policy),
            claim::Verdict::NotRun {
                reason,
                retry_after,
            } => self.conclude(finish::not_run(reason, retry_after), now, policy),
        }
    }

    fn on_granted(&mut self, now: Time, policy: &mut dyn Policy) {
        self.claim = ClaimState::Granted;
        self.advance(now, policy);
    }

    /// Continues from the results of an earlier request with the same key.
    fn resume(
        &mut self,
        stage_results: Vec<claim::StageResult>,
        now: Time,
        policy: &mut dyn Policy,
    ) {
        self.stage_results = stage_results;
        self.advance(now, policy);
    }

    pub(super) fn on_late_claim(&mut self, verdict: &claim::Verdict) {
        if self.claim != ClaimState::Pending {
            return;
        }
        self.claim = ClaimState::Closed;
        if *verdict == claim::Verdict::Granted {
            self.actions.push(Action::Settle(claim::Outcome::Released));
        }
    }
}
