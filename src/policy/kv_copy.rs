//! KV cache of a prefix: recompute it, or copy it from an engine that holds it.
//!
//! See [the design note](../../docs/design/policy.md).

use std::time::Duration;

/// Share of the remaining time that a copy may take, because a late copy costs the answer.
const MAX_COPY_TIME_SHARE: f64 = 0.3;

event! {
    /// The cost of copying a prefix and of recomputing it.
    pub struct Estimate {
        /// Tokens of the prefix that the other engine holds.
        pub tokens: u64,
        /// Bytes of KV cache per token.
        pub token_bytes: u64,
        /// Engine time to compute one token of a prompt.
        pub prefill: Duration,
        /// Free bandwidth between the engines in bytes a second.
        pub bandwidth: f64,
        /// Price of sending one byte between them; 0 within a region.
        pub byte_price: f64,
        /// Price of one second of engine time, in the same currency.
        pub engine_price: f64,
        /// Time left for the stage.
        pub remaining: Duration,
    }

    /// How an engine gets a prefix.
    pub enum Decision {
        /// Recompute it.
        Recompute,
        /// Copy this many bytes.
        Copy(u64),
    }
}

impl Estimate {
    /// Bytes that a copy would send.
    pub fn bytes(&self) -> u64 {
        self.tokens.saturating_mul(self.token_bytes)
    }

    /// Decides by time and price: a copy has to be both faster and cheaper, because recomputing has
    /// no failures of its own.
    pub fn decide(&self) -> Decision {
        let bytes = self.bytes();
        if bytes == 0 || self.bandwidth <= 0.0 {
            return Decision::Recompute;
        }
        let copy = bytes as f64 / self.bandwidth;
        let compute = self.prefill.as_secs_f64() * self.tokens as f64;
        let is_fast = copy < compute && copy <= self.remaining.as_secs_f64() * MAX_COPY_TIME_SHARE;
        let is_cheap = bytes as f64 * self.byte_price < compute * self.engine_price;
        if is_fast && (is_cheap || self.byte_price <= 0.0) {
            Decision::Copy(bytes)
        } else {
            Decision::Recompute
        }
    }
}

#[cfg(test)]
mod tests;
