//! Bodies of the endpoints' protocol. See [the protocol](../../docs/ENDPOINTS.md).

use super::{Answer, Token};

/// The header that says whether a refused or failed call began; `no` or `yes`.
pub const BEGAN: &str = "Stage-Began";

value! {
    /// A line of a streamed answer; the last is `Answer` or `Failed`.
    pub enum Line {
        /// A token, as soon as it is generated.
        Token(Token),
        /// The whole answer.
        Answer(Answer),
        /// The stage ran and failed.
        Failed(Problem),
    }

    /// Why a call was refused or failed.
    pub struct Problem {
        /// What went wrong.
        pub reason: String,
        /// Whether the endpoint is leaving the fleet.
        pub leaving: bool,
    }

    /// Where a copy of a KV cache is to go.
    pub struct Target {
        /// Address and port of the engine that takes it.
        pub address: String,
    }

    /// How much of a KV cache was copied.
    pub struct Copied {
        /// Bytes.
        pub bytes: u64,
    }
}
