//! Asking the daemons that are behind a revision for theirs, while an operator waits for it.

use std::time::Duration;

use super::{Action, Swim};
use crate::clock::Time;
use crate::config::edit;
use crate::id;
use crate::member::Member;
use crate::member::wire::Kind;

/// The time from one question to the next to the same daemon.
const REPEAT: Duration = Duration::from_millis(1_500);
/// Questions in one tick.
const QUESTIONS: usize = 4;

impl Swim {
    /// Asks until every live daemon is known to have `revision`.
    pub fn start_survey(&mut self, revision: id::Revision) {
        self.target = self.target.max(revision);
    }

    /// The live daemons that are not known to have `revision`.
    pub fn behind(&self, revision: id::Revision) -> Vec<id::Daemon> {
        edit::behind(self.live().map(|(m, c)| (&m.daemon, c.revision)), revision)
    }

    pub(super) fn survey(&mut self, now: Time, actions: &mut Vec<Action>) {
        // Nobody is asked before this daemon itself has the revision.
        if self.target == 0 || self.config.revision < self.target {
            return;
        }
        let behind: Vec<Member> = self
            .live()
            .filter(|(_, c)| c.revision < self.target)
            .map(|(m, _)| m.clone())
            .collect();
        if behind.is_empty() {
            self.target = 0;
        }
        let due: Vec<Member> = behind
            .into_iter()
            .filter(|m| self.is_due(&m.daemon, now))
            .take(QUESTIONS)
            .collect();
        for member in due {
            if let Some(peer) = self.peers.get_mut(&member.daemon) {
                peer.surveyed = Some(now);
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
        let asked = self.peers.get(daemon).and_then(|p| p.surveyed);
        asked.is_none_or(|at| now.saturating_sub(at) >= REPEAT)
    }
}
