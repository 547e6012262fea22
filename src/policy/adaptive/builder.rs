//! Builds an adaptive policy.

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Adaptive, Mechanism};
use crate::id;
use crate::policy::deadline::Forecast;
use crate::policy::knobs::{Knobs, Resolver, Scope};
use crate::retry::Budget;
use crate::route::table::Table;
use crate::route::zone::Loads;
use crate::route::{Kind, link};

/// Bandwidth of a regional link of 30 Mbit/s.
const DEFAULT_BYTES_PER_SECOND: f64 = 3_750_000.0;

/// Settings of a policy, with defaults.
#[derive(Clone, Debug)]
pub struct Builder {
    zone: id::Zone,
    region: id::Region,
    bandwidth: f64,
    weights: IndexMap<id::Workspace, f64>,
    kinds: IndexMap<id::Pool, Kind>,
    knobs: Knobs,
    seed: u64,
    disabled: IndexSet<Mechanism>,
}

impl Builder {
    pub(super) fn new(zone: id::Zone, region: id::Region) -> Self {
        Self {
            zone,
            region,
            bandwidth: DEFAULT_BYTES_PER_SECOND,
            weights: IndexMap::new(),
            kinds: IndexMap::new(),
            knobs: Knobs::default(),
            seed: 0,
            disabled: IndexSet::new(),
        }
    }

    /// Sets the bandwidth of the regional link in bytes a second each way.
    #[must_use]
    pub fn bandwidth(mut self, bytes_per_second: f64) -> Self {
        self.bandwidth = bytes_per_second;
        self
    }

    /// Sets the share of a workspace relative to other workspaces.
    #[must_use]
    pub fn weight(mut self, workspace: impl Into<id::Workspace>, weight: f64) -> Self {
        self.weights.insert(workspace.into(), weight);
        self
    }

    /// Sets the kind of a pool; [`Kind::Service`] by default.
    #[must_use]
    pub fn kind(mut self, pool: impl Into<id::Pool>, kind: Kind) -> Self {
        self.kinds.insert(pool.into(), kind);
        self
    }

    /// Sets the fleet-wide knobs.
    #[must_use]
    pub fn knobs(mut self, knobs: Knobs) -> Self {
        self.knobs = knobs;
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Turns a mechanism off.
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        self.disabled.insert(mechanism);
        self
    }

    /// Builds the policy.
    pub fn build(self) -> Adaptive {
        let rate = self.bandwidth * self.knobs.link_share;
        let is_single_region = self.disabled.contains(&Mechanism::Region);
        let mut resolver = Resolver::default();
        resolver.set(&Scope::Fleet, self.knobs);
        Adaptive {
            table: Table::new(self.zone, self.region, is_single_region),
            pools: IndexMap::new(),
            kinds: self.kinds,
            knobs: resolver,
            weights: self.weights,
            zone_loads: Loads::default(),
            forecast: Forecast::default(),
            admitted: IndexMap::new(),
            flights: IndexMap::new(),
            reserved: IndexMap::new(),
            shed: IndexMap::new(),
            evicted: Vec::new(),
            hedge_budget: Budget::new(0.0),
            link_budget: link::Budget::new(rate),
            link_bandwidth: self.bandwidth,
            disabled: self.disabled,
            rng: ChaCha8Rng::seed_from_u64(self.seed),
        }
    }
}
