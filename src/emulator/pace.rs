//! The pace of VMs, which other work on them slows for a moment, from a seed.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use crate::clock::Time;

event! {
    /// How often, how long and how much VMs are slowed.
    pub struct Spells {
        /// The share of VMs that is slow at a time.
        pub share: f64,
        /// The time that work takes on a slow VM, as a multiple of the usual one.
        pub ratio: f64,
        /// How long a VM is slow.
        pub length: Duration,
        /// The seed.
        pub seed: u64,
    }
}

/// The pace of one VM.
#[derive(Clone, Debug)]
pub struct Pace {
    name: String,
    spells: Option<Spells>,
}

impl Pace {
    /// Makes the pace of a VM; without spells it is always the usual one.
    pub fn new(name: &str, spells: Option<Spells>) -> Self {
        let name = name.to_owned();
        Self { name, spells }
    }

    /// Returns when the pace may change next, and what it is until then.
    fn at(&self, spells: &Spells, now: Time) -> (Time, f64) {
        let mut hasher = DefaultHasher::new();
        (&self.name, spells.seed).hash(&mut hasher);
        // Spells of different VMs begin at different times.
        let offset = Duration::from_millis(hasher.finish() % 997);
        let spell = (now + offset).as_nanos() / spells.length.as_nanos();
        spell.hash(&mut hasher);
        let drawn = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
        let ratio = if drawn < spells.share {
            spells.ratio
        } else {
            1.0
        };
        let next = u32::try_from(spell + 1).unwrap_or(u32::MAX);
        ((spells.length * next).saturating_sub(offset), ratio)
    }

    /// Returns the time that work takes at this moment as a multiple of the usual one; none without spells.
    pub fn ratio(&self, now: Time) -> Option<f64> {
        let spells = self.spells.as_ref()?;
        Some(self.at(spells, now).1)
    }

    /// Returns when work ends that begins now and takes `usual` at the usual pace.
    pub fn end(&self, mut now: Time, mut usual: Duration) -> Time {
        let Some(spells) = &self.spells else {
            return now + usual;
        };
        loop {
            let (until, ratio) = self.at(spells, now);
            let done = until.saturating_sub(now).div_f64(ratio);
            if done >= usual || until <= now {
                return now + usual.mul_f64(ratio);
            }
            usual -= done;
            now = until;
        }
    }
}
