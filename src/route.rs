//! Routing: the choice of an endpoint for a stage.
//!
//! See [the design note](../docs/design/policy.md).

pub mod affinity;
pub mod choice;
pub mod entry;
pub mod health;
pub mod link;
pub mod subset;
pub mod table;
pub mod zone;

token! {
    /// What a pool's endpoints do, which decides how calls are routed.
    pub enum Kind {
        /// Computes embeddings, in short calls of even length.
        Encoder,
        /// Finds passages.
        Retriever,
        /// Orders passages.
        Reranker,
        /// Generates tokens; keeps prompt prefixes in its cache.
        Engine,
        /// A plain service.
        Service,
    }
}

impl Kind {
    /// Returns whether endpoints cache prompt prefixes.
    pub fn has_prefix_cache(self) -> bool {
        self == Self::Engine
    }
}
