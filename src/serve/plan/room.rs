//! Which results are given up when stage endpoints run out of room.

use super::Planner;
use super::request::{Request, StoredResult};

impl Planner {
    /// Frees the results of requests whose answers have begun at endpoints that run out of room: their
    /// engines have fetched them, and only a stream that breaks off needs them again. Returns whether
    /// there were any.
    pub(super) fn reclaim_room(&mut self) -> bool {
        if !self.stage_endpoints.is_room_scarce() {
            return false;
        }
        let endpoints = &self.stage_endpoints;
        let begun = self.requests.values_mut();
        let begun = begun.filter(|request| request.answer_began.is_some());
        let spare: Vec<StoredResult> = begun
            .filter(|request| {
                let mut results = request.final_results();
                results.any(|result| endpoints.is_room_scarce_at(&result.endpoint))
            })
            .flat_map(Request::release_results)
            .collect();
        let has_spare = !spare.is_empty();
        self.free(spare);
        has_spare
    }
}
