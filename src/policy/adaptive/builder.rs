//! Builds an adaptive policy.

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Adaptive, Mechanism};
use crate::id;
use crate::policy::deadline::Forecast;
use crate::policy::knobs::{Knobs, Scope, Sheet};
use crate::retry::Budget;
use crate::route::table::Table;
use crate::route::zone::Board;
use crate::route::{Kind, link};

/// Bytes a second of a 30 Mbit/s link.
const BANDWIDTH: f64 = 3_750_000.0;

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
    off: IndexSet<Mechanism>,
}

impl Builder {
    pub(super) fn new(zone: id::Zone, region: id::Region) -> Self {
        Self {
            zone,
            region,
            bandwidth: BANDWIDTH,
            weights: IndexMap::new(),
            kinds: IndexMap::new(),
            knobs: Knobs::default(),
            seed: 0,
            off: IndexSet::new(),
        }
    }

    /// Sets the bandwidth of the regional link in bytes a second each way.
    #[must_use]
    pub fn bandwidth(mut self, bytes_per_second: f64) -> Self {
        self.bandwidth = bytes_per_second;
        self
    }

    /// Sets the share of a workspace relative to others.
    #[must_use]
    pub fn weight(mut self, workspace: impl Into<id::Workspace>, weight: f64) -> Self {
        self.weights.insert(workspace.into(), weight);
        self
    }

    /// Says what the endpoints of a pool do; a plain service is assumed otherwise.
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

    /// Sets the seed that all random choices follow from.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Leaves a mechanism out.
    #[must_use]
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        self.off.insert(mechanism);
        self
    }

    /// Builds the policy.
    pub fn build(self) -> Adaptive {
        let rate = self.bandwidth * self.knobs.link_share;
        let is_flat = self.off.contains(&Mechanism::Region);
        let mut sheet = Sheet::default();
        sheet.set(&Scope::Fleet, self.knobs);
        Adaptive {
            table: Table::new(self.zone, self.region, is_flat),
            pools: IndexMap::new(),
            kinds: self.kinds,
            sheet,
            weights: self.weights,
            board: Board::default(),
            forecast: Forecast::default(),
            admitted: IndexMap::new(),
            flights: IndexMap::new(),
            reserved: IndexMap::new(),
            shed: IndexMap::new(),
            told: Vec::new(),
            hedges: Budget::new(0.0),
            link: link::Budget::new(rate),
            bandwidth: self.bandwidth,
            off: self.off,
            rng: ChaCha8Rng::seed_from_u64(self.seed),
        }
    }
}
