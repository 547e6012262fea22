//! Faults that the unit tests put into the decisions, to see that the checks catch them.
//!
//! Outside unit tests every fault is off, at compile time.

token! {
    /// A fault in a decision.
    pub enum Mutation {
        /// A claim counts as granted once its append was answered.
        SkipReadBack,
        /// A release counts for whichever request holds the key.
        DropReleaseRule,
        /// The first claim of a key counts as the asker's own.
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

/// Says whether a fault is on.
#[cfg(test)]
pub fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// Says whether a fault is on.
#[cfg(not(test))]
pub const fn is_active(_mutation: Mutation) -> bool {
    false
}

/// Switches one fault on for this thread, or all off.
#[cfg(test)]
pub fn activate(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}
