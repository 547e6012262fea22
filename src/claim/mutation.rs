//! Faults that unit tests inject into the decisions, to verify that the checks catch them.
//!
//! Outside unit tests every fault is disabled at compile time.

token! {
    /// A fault in a decision.
    pub enum Mutation {
        /// A claim counts as granted once its append succeeded.
        SkipReadBack,
        /// A release frees the key, whichever request holds it.
        DropReleaseRule,
        /// The id of an entry's request is ignored: the first claim of a key counts as every request's own.
        IgnoreAttemptId,
        /// A key counts as unclaimed when it is older than the window.
        TrustExpiredWindow,
        /// A released request may claim again when its late claim appears.
        ForgetRelease,
        /// A key that may have been trimmed unread counts as unclaimed.
        TrustTrimmed,
    }
}

#[cfg(test)]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Returns whether a fault is active.
#[cfg(test)]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// Returns whether a fault is active.
#[cfg(not(test))]
pub const fn is_active(_mutation: Mutation) -> bool {
    false
}

/// Activates one fault for this thread, or none.
#[cfg(test)]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}
