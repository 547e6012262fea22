//! Merging updates from other daemons into the table of peers.

use indexmap::IndexSet;

use super::{Action, ConfigVersion, MAX_HEALTH_SCORE, Peer, Suspicion, Swim};
use crate::clock::Time;
use crate::id;
use crate::member::{Member, Status};

/// The most other daemons that are remembered.
const MAX_PEERS: usize = 2_048;

impl Swim {
    pub(super) fn insert(&mut self, member: Member, now: Time, actions: &mut Vec<Action>) {
        if member.status == Status::Dead || self.peers.len() >= MAX_PEERS {
            return;
        }
        let is_suspect = member.status == Status::Suspect;
        let suspicion = is_suspect.then(|| Suspicion {
            since: now,
            confirmers: IndexSet::new(),
        });
        let peer = Peer {
            member: member.clone(),
            config: ConfigVersion::default(),
            last_survey: None,
            suspicion,
            status_changed: now,
            is_listed: false,
            was_listed: false,
        };
        self.peers.insert(member.daemon.clone(), peer);
        actions.push(Action::Changed(member));
    }

    /// Merges an update that `reporter` sent; none stands for the daemon itself or the platform.
    pub(super) fn merge(
        &mut self,
        update: &Member,
        reporter: Option<&id::Daemon>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if update.daemon == self.me.daemon {
            self.refute(update);
            return;
        }
        let Some(peer) = self.peers.get_mut(&update.daemon) else {
            self.insert(update.clone(), now, actions);
            self.queue.push_member(update);
            return;
        };
        if update.supersedes(&peer.member) {
            self.replace(update, reporter, now, actions);
            return;
        }
        let is_confirmation = update.incarnation == peer.member.incarnation
            && update.status == Status::Suspect
            && peer.member.status == Status::Suspect;
        if let (true, Some(reporter), Some(suspicion)) =
            (is_confirmation, reporter, &mut peer.suspicion)
            && suspicion.confirmers.insert(reporter.clone())
        {
            self.queue.push_member(update);
        }
    }

    fn replace(
        &mut self,
        update: &Member,
        reporter: Option<&id::Daemon>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&update.daemon) else {
            return;
        };
        let is_change = update.status != peer.member.status;
        if update.status == Status::Suspect {
            peer.suspicion = Some(Suspicion {
                since: now,
                confirmers: reporter.cloned().into_iter().collect(),
            });
        } else {
            peer.suspicion = None;
        }
        peer.member = update.clone();
        if is_change {
            peer.status_changed = now;
            actions.push(Action::Changed(update.clone()));
        }
        self.queue.push_member(update);
    }

    /// Refutes a worse status of this daemon by an incarnation higher than the update has.
    fn refute(&mut self, update: &Member) {
        if update.status > self.me.status && update.incarnation >= self.me.incarnation {
            self.me.incarnation = update.incarnation.saturating_add(1);
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
            self.queue.push_member(&self.me);
        }
    }
}
