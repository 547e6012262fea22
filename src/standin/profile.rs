//! How fast a stand-in endpoint is and how it behaves.

use std::time::Duration;

use crate::settings::Kind;

/// How a stand-in endpoint behaves; built from a preset of its kind.
#[derive(Clone, Debug)]
pub struct Profile {
    pub(super) generates: bool,
    pub(super) base: Duration,
    pub(super) token_time: Duration,
    pub(super) prefill_time: Duration,
    pub(super) slots: u32,
    pub(super) queue: u32,
    pub(super) cache_blocks: usize,
    pub(super) lag: Duration,
    pub(super) cache_gap: f64,
    pub(super) checks_fencing: bool,
    pub(super) seed: u64,
}

impl Profile {
    /// Returns the preset of a kind of endpoint.
    pub fn of(kind: Kind) -> Self {
        let plain = Self {
            generates: false,
            base: Duration::from_millis(6),
            token_time: Duration::ZERO,
            prefill_time: Duration::ZERO,
            slots: 16,
            queue: 256,
            cache_blocks: 0,
            lag: Duration::from_millis(300),
            cache_gap: 0.05,
            checks_fencing: true,
            seed: 0,
        };
        match kind {
            Kind::Encoder => plain,
            Kind::Retriever => plain.base(Duration::from_millis(12)),
            Kind::Reranker => plain.base(Duration::from_millis(10)),
            Kind::Service => plain.base(Duration::from_millis(8)),
            Kind::Engine => Self {
                generates: true,
                base: Duration::from_millis(10),
                token_time: Duration::from_millis(4),
                prefill_time: Duration::from_micros(50),
                cache_blocks: 4_096,
                ..plain
            },
        }
    }

    /// Sets the time that each call takes besides its tokens.
    pub fn base(mut self, base: Duration) -> Self {
        self.base = base;
        self
    }

    /// Sets the time between tokens of a call that runs alone.
    pub fn token_time(mut self, time: Duration) -> Self {
        self.token_time = time;
        self
    }

    /// Sets the time to compute each prompt token that is not in the prefix cache.
    pub fn prefill_time(mut self, time: Duration) -> Self {
        self.prefill_time = time;
        self
    }

    /// Sets how many calls run at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many calls may wait; more are refused.
    pub fn queue(mut self, queue: u32) -> Self {
        self.queue = queue;
        self
    }

    /// Sets how late load reports and cache events are.
    pub fn lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the share of cache events, from 0 to 1, that are lost.
    pub fn cache_gap(mut self, share: f64) -> Self {
        self.cache_gap = share;
        self
    }

    /// Sets whether orders with an old fencing token are refused.
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Sets the seed of what is drawn.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
