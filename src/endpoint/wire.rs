//! Message bodies of the endpoint protocol. See [the protocol](../../docs/ENDPOINTS.md).

use super::{Answer, Token};

/// The header that tells whether a refused or failed call began; `no` or `yes`.
pub const BEGAN: &str = "Stage-Began";

value! {
    /// A line of a streamed answer; the last line is `Answer` or `Failed`.
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

    /// The target of a KV cache copy.
    pub struct Target {
        /// Address and port of the engine that receives the copy.
        pub address: String,
    }

    /// The result of a KV cache copy.
    pub struct Copied {
        /// Bytes copied.
        pub bytes: u64,
    }
}
