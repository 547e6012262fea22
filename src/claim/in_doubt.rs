//! What a daemon must remember while it seeks the verdict of one of its requests.

use indexmap::IndexSet;

use super::Verdict;

event! {
    /// The verdict of a request, at the daemon that would run it.
    pub struct Decision {
        /// The verdict.
        pub verdict: Verdict,
        /// Whether a claim may stand in the log, now or later, although it was not granted;
        /// then it must be released.
        pub is_in_doubt: bool,
    }
}

/// The writers that were asked and have not said what became of the claim.
///
/// Such a writer may append the claim long after it was given up, so that only a release
/// keeps the key from staying claimed by a request that never runs.
#[derive(Debug, Default)]
pub struct Writers {
    addresses: IndexSet<String>,
}

impl Writers {
    /// Notes that a message leaves for the writer at `address`.
    pub fn sent(&mut self, address: &str) {
        self.addresses.insert(address.to_owned());
    }

    /// Notes that the writer at `address` decided, or never got a message.
    pub fn resolved(&mut self, address: &str) {
        self.addresses.swap_remove(address);
    }

    /// Makes the decision from a verdict, and from what its giver says of the claim.
    pub fn decide(&self, verdict: Verdict, stands: bool) -> Decision {
        let is_open = matches!(verdict, Verdict::NotRun { .. } | Verdict::Conflict);
        Decision {
            is_in_doubt: is_open && (stands || !self.addresses.is_empty()),
            verdict,
        }
    }
}
