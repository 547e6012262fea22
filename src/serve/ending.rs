//! Whether an answer that ends with its connection is whole.
//!
//! The kernel closes the connections of a process that ends as the process itself does after an answer. So a close
//! ends an answer without a length only once the process that wrote it has been found to run still. The daemon that
//! sees the close finds out: it may be the one that has the request, or one that passes the connection on. Where
//! nobody can tell, the answer has broken off. See [the design note](../../docs/design/fleet.md#whole-answers).

use std::rc::Rc;

use slog::info;
use tokio::task::spawn_local;

use super::Node;
use super::dialer::Target;
use super::witness::{Account, RESTART_TIME, Witness};
use crate::clock::Time;

token! {
    /// A request that was sent to an endpoint.
    pub(super) struct Sent {
        /// When it was sent.
        pub at: Time,
        /// The start of the endpoint's life that was listed then; zero if none was.
        pub born: u64,
    }
}

impl Sent {
    /// Returns whether the process that gave an account is the one that took the request. Lives of an endpoint follow
    /// each other: it is no other one if it was there before the request was sent, or so soon after that nobody would have
    /// been back.
    pub fn is_taken_by(self, account: &Account) -> bool {
        let is_listed_life = self.born != 0 && account.born == Some(self.born);
        let was_there = account.since <= self.at;
        let is_no_other = account.since <= self.at + RESTART_TIME && !account.is_after_loss;
        account.is_expected && (was_there || is_no_other || is_listed_life)
    }
}

/// An answer that will end with its connection.
pub(super) struct Ending {
    sent: Sent,
    witness: Rc<Witness>,
}

impl Node {
    /// Returns the start of an endpoint's listed life; zero if it is not listed.
    pub(super) fn listed_birth(&self, endpoint: &str) -> u64 {
        let registry = self.registry.borrow();
        registry.get(endpoint).map_or(0, |listed| listed.born)
    }

    /// Prepares to find out whether the process that has begun an answer still runs at its end.
    pub(super) fn expect_end(self: &Rc<Self>, target: &Target, sent: Sent) -> Ending {
        let witness = self.witnesses.get(target, self.clock.now());
        spawn_local(witness.clone().keep(self.clone()));
        Ending { sent, witness }
    }

    /// Returns whether the process that wrote an answer still runs, now that its connection has been closed.
    pub(super) async fn confirms_end(self: &Rc<Self>, ending: &Ending) -> bool {
        let Ending { sent, witness } = ending;
        let account = witness.account_since(self, self.clock.now()).await;
        let is_same_process = account.as_ref().is_some_and(|one| sent.is_taken_by(one));
        let endpoint = witness.endpoint();
        let listed = self.listed_birth(endpoint);
        let is_replaced = sent.born != 0 && listed > sent.born;
        let is_confirmed = is_same_process && !is_replaced;
        if !is_confirmed {
            self.meter.count("answer.end_not_confirmed");
            info!(self.log, "end of an answer not confirmed";
                "endpoint" => &**endpoint, "answers" => account.is_some(),
                "expected" => account.as_ref().map(|one| one.is_expected),
                "born" => account.as_ref().and_then(|one| one.born), "sent_to" => sent.born, "listed" => listed);
        }
        is_confirmed
    }
}

#[cfg(test)]
mod tests;
