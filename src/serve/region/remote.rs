//! A request that another daemon plans.

use std::cell::Cell;
use std::rc::Rc;

use capnp::Result;
use futures::future::LocalBoxFuture;
use tokio::task::spawn_local;

use super::{PlannerConnection, wire};
use crate::clock::{Clock, Time};
use crate::generated::plan_capnp::{reply, seat};
use crate::id;
use crate::serve::dispatcher::PlannedRequest;
use crate::serve::health::Verdict;
use crate::serve::pace::Ratio;
use crate::serve::plan::{Grant, Job, Refusal};
use crate::serve::rate::Rate;

/// A request at another daemon's planner, which removes it when this is dropped.
pub struct RemoteRequest {
    connection: Rc<PlannerConnection>,
    client: seat::Client,
    grant: Grant,
    /// The planner answered a call of this time before it sent the grant, on the same connection.
    granted_after: Time,
    /// What the planner is told with the next message.
    pace: Cell<Option<Ratio>>,
    clock: Rc<dyn Clock>,
}

fn read_grant(
    reply: Result<reply::Reader<'_>>,
    clock: &dyn Clock,
) -> Result<std::result::Result<Grant, Refusal>> {
    wire::read_reply(reply?, clock.now())
}

impl RemoteRequest {
    /// Has a request planned; fails when the connection to the planner was lost.
    pub async fn plan(
        connection: Rc<PlannerConnection>,
        job: &Job,
        clock: &Rc<dyn Clock>,
    ) -> Result<std::result::Result<Box<dyn PlannedRequest>, Refusal>> {
        let mut request = connection.client.place_request();
        wire::write_job(job, clock.now(), request.get().init_job());
        let client = request.send().pipeline.get_seat();
        let mut remote = Self {
            connection,
            client,
            grant: Grant::default(),
            granted_after: Time::ZERO,
            pace: Cell::new(None),
            clock: clock.clone(),
        };
        let waiting = remote.client.wait_request().send().promise;
        let waiting = remote.connection.wait_response(waiting).await?;
        Ok(match read_grant(waiting.get()?.get_reply(), &**clock)? {
            Ok(grant) => {
                remote.grant = grant;
                remote.granted_after = remote.connection.confirmed_at.get();
                Ok(Box::new(remote))
            }
            Err(refusal) => Err(refusal),
        })
    }

    async fn request_other_endpoint(
        &mut self,
        inputs_lost: bool,
        release: Option<id::Release>,
    ) -> std::result::Result<(), Refusal> {
        let mut request = self.client.retry_request();
        request.get().set_again(inputs_lost);
        request
            .get()
            .set_release(release.as_deref().unwrap_or_default());
        let replied = match self.connection.wait_response(request.send().promise).await {
            Ok(answer) => answer
                .get()
                .and_then(|answer| read_grant(answer.get_reply(), &*self.clock)),
            Err(error) => Err(error),
        };
        self.grant = replied.unwrap_or_else(|_| Err(Refusal::planner_gone()))?;
        self.granted_after = self.connection.confirmed_at.get();
        Ok(())
    }
}

/// Sends a message without waiting for its empty answer; a planner that is lost needs no message.
fn send_one_way<T: 'static>(promise: impl Future<Output = Result<T>> + 'static) {
    spawn_local(async move { drop(promise.await) });
}

impl PlannedRequest for RemoteRequest {
    fn grant(&self) -> &Grant {
        &self.grant
    }

    fn granted_after(&self) -> Option<Time> {
        Some(self.granted_after)
    }

    fn started(&self, is_final: bool) {
        let mut request = self.client.started_request();
        request.get().set_is_final(is_final);
        request.get().set_pace(wire::write_pace(self.pace.take()));
        send_one_way(request.send().promise);
    }

    fn limited(&self, limit: Option<Rate>) {
        let mut request = self.client.limited_request();
        request.get().set_limit(wire::write_limit(limit));
        send_one_way(request.send().promise);
    }

    fn paced(&self, ratio: Ratio) {
        self.pace.set(Some(ratio));
    }

    fn answering(&self) {
        send_one_way(self.client.answering_request().send().promise);
    }

    fn ended(&self, verdict: Verdict) {
        let mut request = self.client.ended_request();
        request.get().set_verdict(wire::write_verdict(verdict));
        request.get().set_pace(wire::write_pace(self.pace.take()));
        send_one_way(request.send().promise);
    }

    fn retry(
        &mut self,
        inputs_lost: bool,
        release: Option<id::Release>,
    ) -> LocalBoxFuture<'_, std::result::Result<(), Refusal>> {
        Box::pin(self.request_other_endpoint(inputs_lost, release))
    }
}

impl Drop for RemoteRequest {
    fn drop(&mut self) {
        // Keeps the connection open until the message was sent.
        let connection = self.connection.clone();
        let leaving = self.client.leave_request().send().promise;
        send_one_way(async move {
            let left = leaving.await;
            drop(connection);
            left
        });
    }
}
