//! Merges the events of several daemons and filters them.

use super::{Event, Kind};
use crate::id;

event! {
    /// Criteria for events; an empty filter matches all.
    #[derive(Default)]
    pub struct Filter {
        /// Only events of this request.
        pub request: Option<id::Request>,
        /// Only events of this endpoint.
        pub endpoint: Option<id::Endpoint>,
        /// Only events of this kind.
        pub kind: Option<Kind>,
    }
}

impl Filter {
    /// Returns whether an event matches.
    pub fn matches(&self, event: &Event) -> bool {
        let request = self.request.is_none() || self.request == event.request;
        let endpoint = self.endpoint.is_none() || self.endpoint == event.endpoint;
        let kind = self.kind.is_none_or(|kind| kind == event.kind);
        request && endpoint && kind
    }
}

/// Merges the matching events of several daemons in causal order.
///
/// An event that several lists hold is kept once. Events with the same stamp have no causal
/// order; they are sorted by daemon, so that every reader sees the same order.
pub fn merge(lists: impl IntoIterator<Item = Vec<Event>>, filter: &Filter) -> Vec<Event> {
    let mut all: Vec<Event> = lists
        .into_iter()
        .flatten()
        .filter(|event| filter.matches(event))
        .collect();
    all.sort_by(|a, b| (a.at, &a.daemon, &a.what).cmp(&(b.at, &b.daemon, &b.what)));
    all.dedup();
    all
}
