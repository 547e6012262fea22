//! Merging what others say into what this daemon knows.

use indexmap::IndexSet;

use super::{Action, ConfigVersion, MAX_HEALTH, Peer, Suspicion, Swim};
use crate::clock::Time;
use crate::id;
use crate::member::{Member, Status};

/// Daemons that are remembered at most.
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
            surveyed: None,
            suspicion,
            changed: now,
            is_listed: false,
            was_listed: false,
        };
        self.peers.insert(member.daemon.clone(), peer);
        actions.push(Action::Changed(member));
    }

    /// Takes in what `by` says of a daemon; none stands for the daemon itself or the platform.
    pub(super) fn merge(
        &mut self,
        news: &Member,
        by: Option<&id::Daemon>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if news.daemon == self.me.daemon {
            self.refute(news);
            return;
        }
        let Some(peer) = self.peers.get_mut(&news.daemon) else {
            self.insert(news.clone(), now, actions);
            self.news.member(news);
            return;
        };
        if news.supersedes(&peer.member) {
            self.replace(news, by, now, actions);
            return;
        }
        let is_confirmation = news.incarnation == peer.member.incarnation
            && news.status == Status::Suspect
            && peer.member.status == Status::Suspect;
        if let (true, Some(by), Some(suspicion)) = (is_confirmation, by, &mut peer.suspicion)
            && suspicion.confirmers.insert(by.clone())
        {
            self.news.member(news);
        }
    }

    fn replace(
        &mut self,
        news: &Member,
        by: Option<&id::Daemon>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(peer) = self.peers.get_mut(&news.daemon) else {
            return;
        };
        let is_change = news.status != peer.member.status;
        if news.status == Status::Suspect {
            peer.suspicion = Some(Suspicion {
                since: now,
                confirmers: by.cloned().into_iter().collect(),
            });
        } else {
            peer.suspicion = None;
        }
        peer.member = news.clone();
        if is_change {
            peer.changed = now;
            actions.push(Action::Changed(news.clone()));
        }
        self.news.member(news);
    }

    /// Says that this daemon lives, with a higher incarnation than those who say otherwise know.
    fn refute(&mut self, news: &Member) {
        if news.status > self.me.status && news.incarnation >= self.me.incarnation {
            self.me.incarnation = news.incarnation.saturating_add(1);
            self.health = (self.health + 1).min(MAX_HEALTH);
            self.news.member(&self.me);
        }
    }
}
