//! Whether an answer that ends with its connection is whole.
//!
//! The kernel closes the connections of a process that ends as the process itself does after an answer. So a close
//! ends an answer without a length only once its endpoint has been found to run still. The daemon that sees the close
//! finds out: it may be the one that has the request, or one that passes the connection on. Where nobody can tell,
//! the answer has broken off. See [the design note](../../docs/design/links.md).

use slog::info;

use super::Node;
use super::dialer::Target;

impl Node {
    /// Returns the start of an endpoint's listed life; zero if it is not listed.
    pub(super) fn listed_birth(&self, endpoint: &str) -> u64 {
        let registry = self.registry.borrow();
        registry.get(endpoint).map_or(0, |listed| listed.born)
    }

    /// Returns whether an endpoint that has just closed a connection, made in its life since `born`, still runs.
    pub(super) async fn confirms_end(&self, target: &Target, born: u64) -> bool {
        let is_running = self.dialer.outlives_close(target).await;
        let listed = self.listed_birth(&target.endpoint);
        let is_same_life = listed == born || listed == 0 || born == 0;
        let is_confirmed = is_running && is_same_life;
        if !is_confirmed {
            self.meter.count("answer.end_not_confirmed");
            info!(self.log, "end of an answer not confirmed";
                "endpoint" => &*target.endpoint, "running" => is_running, "same_life" => is_same_life);
        }
        is_confirmed
    }
}
