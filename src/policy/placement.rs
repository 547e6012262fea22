//! Placement of KV cache: recompute a prefix, or copy it from an engine that holds it.
//!
//! See [the design note](../../docs/design/policy.md).

use std::time::Duration;

/// Share of the remaining time that a copy may take, because a late copy costs the answer.
const TIME_SHARE: f64 = 0.3;

event! {
    /// What a copy of a prefix is weighed by.
    pub struct Offer {
        /// Tokens of the prefix that the other engine holds.
        pub tokens: u64,
        /// Bytes of KV cache per token.
        pub token_bytes: u64,
        /// Engine time to compute one token of a prompt.
        pub prefill: Duration,
        /// Bytes a second that the way between the engines can give now.
        pub bandwidth: f64,
        /// Price of one byte on that way; 0 within a region.
        pub byte_price: f64,
        /// Price of one second of engine time, in the same currency.
        pub engine_price: f64,
        /// Time left for the stage.
        pub remaining: Duration,
    }

    /// What to do about a prefix.
    pub enum Choice {
        /// Compute it again.
        Recompute,
        /// Copy this many bytes.
        Copy(u64),
    }
}

impl Offer {
    /// Bytes that a copy would send.
    pub fn bytes(&self) -> u64 {
        self.tokens.saturating_mul(self.token_bytes)
    }

    /// Decides by time first and then by price: a copy has to be both faster and cheaper, because
    /// computing again has no failures of its own.
    pub fn choose(&self) -> Choice {
        let bytes = self.bytes();
        if bytes == 0 || self.bandwidth <= 0.0 {
            return Choice::Recompute;
        }
        let copy = bytes as f64 / self.bandwidth;
        let compute = self.prefill.as_secs_f64() * self.tokens as f64;
        let is_fast = copy < compute && copy <= self.remaining.as_secs_f64() * TIME_SHARE;
        let is_cheap = bytes as f64 * self.byte_price < compute * self.engine_price;
        if is_fast && (is_cheap || self.byte_price <= 0.0) {
            Choice::Copy(bytes)
        } else {
            Choice::Recompute
        }
    }
}

#[cfg(test)]
mod tests;
