//! The region in which a prompt is kept, so that engines of one region read its shared parts, not those
//! of each: a request and its answer take some kilobytes of the link between regions, and reading
//! a long part again takes an engine some hundred milliseconds.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;

use crate::id;
use crate::serve::plan::PromptPart;
use crate::serve::residency::Residency;

/// The least number of shared tokens for which a request goes to another region.
const MIN_SHARED_TOKENS: u64 = 1_000;

/// The regions, each with the number of its availability zones, which have similar numbers of engines.
pub struct Homes {
    zone_counts: IndexMap<id::Region, u32>,
}

impl Homes {
    /// Makes the homes from the region of each availability zone.
    pub fn new<'a>(regions: impl IntoIterator<Item = &'a id::Region>) -> Self {
        let mut zone_counts: IndexMap<id::Region, u32> = IndexMap::new();
        for region in regions {
            *zone_counts.entry(region.clone()).or_default() += 1;
        }
        Self { zone_counts }
    }

    /// Returns the region that keeps a prompt, one of those in which it may be and the same in all daemons; none
    /// when its shared parts are short.
    pub fn region(&self, parts: &[PromptPart], residency: &Residency) -> Option<&id::Region> {
        let (_, shared) = parts.split_last()?;
        let tokens: u64 = shared.iter().map(|part| part.tokens).sum();
        let subject = shared.last().filter(|_| tokens >= MIN_SHARED_TOKENS)?;
        // Weighted rendezvous hashing: few prompts move when the number of zones changes.
        let score = |region: &id::Region, zones: u32| {
            let mut hasher = DefaultHasher::new();
            (&*subject.id, &**region).hash(&mut hasher);
            let fraction = ((hasher.finish() >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            -f64::from(zones) / fraction.ln()
        };
        let allowed = self.zone_counts.iter();
        let scores = allowed.filter(|(region, _)| residency.allows(region));
        let scores = scores.map(|(region, zones)| (region, score(region, *zones)));
        let best = scores.max_by(|(_, a), (_, b)| a.total_cmp(b));
        best.map(|(region, _)| region)
    }
}

#[cfg(test)]
mod tests;
