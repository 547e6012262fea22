//! Pings the daemons that are behind a revision, to learn theirs while an operator waits for it.

use std::time::Duration;

use super::{Action, Swim};
use crate::clock::Time;
use crate::config::edit;
use crate::id;
use crate::member::Member;
use crate::member::wire::Kind;

/// The time from one ping to the next to the same daemon.
const PING_INTERVAL: Duration = Duration::from_millis(1_500);
/// The most pings of a tick.
const MAX_PINGS_PER_TICK: usize = 4;

impl Swim {
    /// Starts to ping daemons until every live one is known to have `revision`.
    pub fn start_survey(&mut self, revision: id::Revision) {
        self.survey_target = self.survey_target.max(revision);
    }

    /// The live daemons that are not known to have `revision`.
    pub fn behind(&self, revision: id::Revision) -> Vec<id::Daemon> {
        edit::behind(self.live().map(|(m, c)| (&m.daemon, c.revision)), revision)
    }

    pub(super) fn survey(&mut self, now: Time, actions: &mut Vec<Action>) {
        // This daemon must have the revision itself first.
        if self.survey_target == 0 || self.config.revision < self.survey_target {
            return;
        }
        let behind: Vec<Member> = self
            .live()
            .filter(|(_, c)| c.revision < self.survey_target)
            .map(|(m, _)| m.clone())
            .collect();
        if behind.is_empty() {
            self.survey_target = 0;
        }
        let due: Vec<Member> = behind
            .into_iter()
            .filter(|m| self.is_due(&m.daemon, now))
            .take(MAX_PINGS_PER_TICK)
            .collect();
        for member in due {
            if let Some(peer) = self.peers.get_mut(&member.daemon) {
                peer.last_survey = Some(now);
            }
            let sequence = self.next_sequence();
            let packet = Box::new(self.packet(Kind::Ping, sequence));
            actions.push(Action::Send {
                address: member.address,
                packet,
            });
        }
    }

    fn is_due(&self, daemon: &str, now: Time) -> bool {
        let last_survey = self.peers.get(daemon).and_then(|p| p.last_survey);
        last_survey.is_none_or(|at| now.saturating_sub(at) >= PING_INTERVAL)
    }
}
