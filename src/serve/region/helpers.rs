//! Daemons of all regions that write to the log for this one.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, Member, PlannerConnection, Region, Regions, connect, wire};
use crate::serve::handoff::{Candidate, Error, Helpers, Load, Receipt};

/// Returns a hash that orders the daemons to ask, so that not all ask the same one.
fn turn(own: &str, name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own, name).hash(&mut hasher);
    hasher.finish()
}

impl Region {
    /// Returns the connection to a daemon, if it plans for this region.
    fn connection_to(&self, member: &Member) -> Option<Rc<PlannerConnection>> {
        let connection = self.connection.borrow().clone();
        connection.filter(|connection| connection.member == *member)
    }

    /// Returns the other daemons of the region: the planner, those that have it plan for them if that is this
    /// daemon, and all others.
    fn candidates(&self, own: &str) -> Vec<Candidate> {
        let now = self.clock.now();
        let ranking = self.ranking.borrow();
        let is_heard = |member: &Member| {
            let is_planner = self.connection_to(member).is_some();
            let pool = self.knowledge.budget.pool();
            is_planner || (self.local.is_some() && pool.has_lender(&member.name, now))
        };
        let candidate = |member: &Member| Candidate {
            member: member.clone(),
            is_heard: is_heard(member),
        };
        let mut candidates: Vec<Candidate> = ranking.others().map(candidate).collect();
        candidates.sort_by_cached_key(|candidate| {
            let is_planner = self.connection_to(&candidate.member).is_some();
            (!is_planner, turn(own, &candidate.member.name))
        });
        candidates
    }
}

impl Regions {
    /// Returns the connection to a daemon that plans for this one, or a new one, which ends with its last use.
    async fn connection_to(&self, member: &Member) -> Result<Rc<PlannerConnection>, Error> {
        let connection = self.all().find_map(|region| region.connection_to(member));
        if let Some(connection) = connection {
            return Ok(connection);
        }
        let error = |reason: String| Error {
            step: "connecting to",
            daemon: member.name.clone(),
            reason,
        };
        match timeout(CONNECT_TIMEOUT, connect(member.address)).await {
            Ok(Ok((client, rpc_task))) => {
                Ok(PlannerConnection::new(member.clone(), client, rpc_task))
            }
            Ok(Err(reason)) => Err(error(reason.to_string())),
            Err(_) => Err(error("no connection in time".to_owned())),
        }
    }

    async fn hand_over(&self, member: &Member, load: &Load) -> Result<Receipt, Error> {
        let error = |reason: capnp::Error| Error {
            step: "handing over to",
            daemon: member.name.clone(),
            reason: reason.to_string(),
        };
        let connection = self.connection_to(member).await?;
        let mut request = connection.client.keep_request();
        let count = u32::try_from(load.streams.len()).unwrap_or_default();
        wire::write_origins(&load.streams, request.get().init_streams(count));
        let count = u32::try_from(load.evidence.len()).unwrap_or_default();
        wire::write_refused(&load.evidence, request.get().init_evidence(count));
        let answer = connection.wait_response(request.send().promise).await;
        let answer = answer.map_err(error)?;
        let answer = answer.get().map_err(error)?;
        Ok(Receipt {
            is_written: answer.get_is_written(),
            epoch: answer.get_epoch(),
        })
    }
}

impl Helpers for Regions {
    fn candidates(&self) -> Vec<Candidate> {
        let ranking = self.own.ranking.borrow();
        let own = ranking.own_name().map(|name| &**name).unwrap_or_default();
        let all = self.all();
        all.flat_map(|region| region.candidates(own)).collect()
    }

    fn keep<'a>(
        &'a self,
        member: &'a Member,
        load: &'a Load,
    ) -> LocalBoxFuture<'a, Result<Receipt, Error>> {
        Box::pin(self.hand_over(member, load))
    }
}
