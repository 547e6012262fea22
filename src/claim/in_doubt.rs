//! Tracks the writers that may still append a claim after its request was refused.

use indexmap::IndexSet;

use super::Verdict;

event! {
    /// The verdict on a claim, for the daemon that would run the request.
    pub struct Decision {
        /// The verdict.
        pub verdict: Verdict,
        /// Whether the claim may be in the log, now or later, although it was not granted;
        /// it must then be released.
        pub is_in_doubt: bool,
    }
}

/// The writers that were sent a claim and have not replied with a decision.
///
/// Such a writer may append the claim long after the request was refused; only a release then
/// frees the key from a request that never runs.
#[derive(Debug, Default)]
pub struct Writers {
    addresses: IndexSet<String>,
}

impl Writers {
    /// Notes that the claim is sent to the writer at `address`.
    pub fn sent(&mut self, address: &str) {
        self.addresses.insert(address.to_owned());
    }

    /// Notes that the writer at `address` decided, or never received the claim.
    pub fn resolved(&mut self, address: &str) {
        self.addresses.swap_remove(address);
    }

    /// Returns the decision for a verdict; `is_in_doubt` is what the deciding daemon reports.
    pub fn decide(&self, verdict: Verdict, is_in_doubt: bool) -> Decision {
        let is_refused = matches!(verdict, Verdict::NotRun { .. } | Verdict::Conflict);
        Decision {
            is_in_doubt: is_refused && (is_in_doubt || !self.addresses.is_empty()),
            verdict,
        }
    }
}
