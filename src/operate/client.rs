//! The client of the operators' port.

use std::time::Duration;

use attohttpc::{RequestBuilder, body};
use serde::de::DeserializeOwned;

use super::port::{Problem, RolloutStatus};
use super::{AcceptedChange, Collection, ConfigSnapshot, Edit, Error, Result, Verdict};
use crate::id;

/// The timeout of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for a response beyond the requested wait.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(10);

/// A client of one daemon.
pub struct Client {
    address: String,
    key: String,
}

impl Client {
    /// Returns a client of the port at `address` that presents `key`.
    pub fn new(address: &str, key: &str) -> Self {
        Self {
            address: address.to_owned(),
            key: key.to_owned(),
        }
    }

    /// Returns the status of one daemon or of the fleet.
    pub fn status(&self, fleet: bool) -> Result<Collection> {
        self.get(
            "asking for the status",
            &format!("/v1/status?fleet={fleet}"),
        )
    }

    /// Returns the report of one daemon or of the fleet.
    pub fn report(&self, fleet: bool) -> Result<Collection> {
        self.get(
            "asking for the report",
            &format!("/v1/report?fleet={fleet}"),
        )
    }

    /// Returns the events after `since`, in microseconds since the Unix epoch.
    pub fn events(&self, fleet: bool, since: u64) -> Result<Collection> {
        let path = format!("/v1/timeline?fleet={fleet}&since={since}");
        self.get("asking for the time line", &path)
    }

    /// Starts a graceful shutdown.
    pub fn drain(&self) -> Result<String> {
        let request = attohttpc::post(self.url("/v1/drain"));
        self.send("draining", request, Duration::ZERO)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Result<ConfigSnapshot> {
        self.get("asking for the configuration", "/v1/config")
    }

    /// Returns the accepted changes, oldest first.
    pub fn history(&self) -> Result<Vec<AcceptedChange>> {
        self.get("asking for the history", "/v1/config/history")
    }

    /// Publishes a change and waits for its verdict.
    pub fn edit(&self, edit: &Edit, wait: Duration) -> Result<Verdict> {
        let url = self.url(&format!("/v1/config?wait-ms={}", wait.as_millis()));
        let text = serde_json::to_vec(edit).map_err(|e| Error::Input {
            reason: e.to_string(),
        })?;
        let request = attohttpc::post(url)
            .header("Content-Type", "application/json")
            .body(body::Bytes(text));
        self.send("changing the configuration", request, wait)
    }

    /// Waits until every live daemon has reached a revision.
    pub fn await_in_force(&self, revision: id::Revision, wait: Duration) -> Result<RolloutStatus> {
        let millis = wait.as_millis();
        let path = format!("/v1/config/reach?revision={revision}&wait-ms={millis}");
        let request = attohttpc::get(self.url(&path));
        self.send("waiting for the revision", request, wait)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T> {
        self.send(step, attohttpc::get(self.url(path)), Duration::ZERO)
    }

    fn send<B: body::Body, T: DeserializeOwned>(
        &self,
        step: &'static str,
        request: RequestBuilder<B>,
        wait: Duration,
    ) -> Result<T> {
        let unreachable = |reason: String| Error::Unreachable {
            step,
            peer: self.address.clone(),
            reason,
        };
        let response = request
            .bearer_auth(&self.key)
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(wait + TIMEOUT_MARGIN)
            .send()
            .map_err(|e| unreachable(e.to_string()))?;
        let is_success = response.is_success();
        let bytes = response.bytes().map_err(|e| unreachable(e.to_string()))?;
        if is_success {
            return serde_json::from_slice(&bytes).map_err(|e| unreachable(e.to_string()));
        }
        let reason = serde_json::from_slice::<Problem>(&bytes).map_or_else(
            |_| String::from_utf8_lossy(&bytes).into_owned(),
            |problem| problem.title,
        );
        Err(Error::Refused {
            step,
            peer: self.address.clone(),
            reason,
        })
    }
}
