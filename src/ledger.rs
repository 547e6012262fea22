//! The ledger: what each stage and workspace spends.
//!
//! See [the design note](../docs/design/ledger.md).

use crate::{endpoint, id};

token! {
    /// What became of work that was paid for.
    pub enum Fate {
        /// Its result was used.
        Won,
        /// It failed, and was or would have been tried again.
        Retried,
        /// Another attempt beside it was faster.
        Hedged,
        /// It was cancelled with its request.
        Cancelled,
        /// Its answer came after it had been given up.
        Late,
    }
}

event! {
    /// What one attempt of a stage spent.
    pub struct Spend {
        /// The stage.
        pub stage: id::Stage,
        /// What was spent.
        pub usage: endpoint::Usage,
        /// What became of it.
        pub fate: Fate,
    }
}
