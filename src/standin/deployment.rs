//! The deployments that the stand-ins can play: pools and how many endpoints each has.

use snafu::{OptionExt, ResultExt, Snafu};

use crate::id;
use crate::platform::Manifest;
use crate::settings::{self, Kind, Pool, Settings};

/// Bytes of the weights of one version.
const WEIGHT_BYTES: u64 = 4_000_000_000;
/// Bytes a second that the weight store gives.
const WEIGHT_RATE: u64 = 2_000_000_000;
/// Endpoints of a pool whose number is not given.
const DEFAULT_ENDPOINTS: usize = 3;

const POLDMAA: &str = include_str!("../../samples/poldmaa.toml");
const VIJESTI: &str = include_str!("../../samples/vijesti.toml");

/// Why a deployment cannot be played.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nobody knows it.
    #[snafu(display("no deployment `{name}`: use poldmaa, vijesti or both"))]
    Unknown {
        /// What was asked for.
        name: String,
    },
    /// Its sample settings are not right.
    #[snafu(display("the settings of `{name}` cannot be read: {source}"))]
    Unreadable {
        /// The deployment.
        name: String,
        /// What is wrong.
        source: settings::Error,
    },
}

/// A deployment, with the settings that its daemons share.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Settings of one daemon, whose `daemon` and `platform` are to be replaced.
    pub settings: Settings,
}

impl Deployment {
    /// Finds a deployment by name: `poldmaa`, `vijesti` or `both`.
    pub fn find(name: &str) -> Result<Self, Error> {
        match name {
            "poldmaa" => read(name, POLDMAA),
            "vijesti" => read(name, VIJESTI),
            "both" => Ok(read("poldmaa", POLDMAA)?.join(read("vijesti", VIJESTI)?)),
            _ => None.context(UnknownSnafu { name }),
        }
    }

    /// Joins two deployments, so that one fleet serves both; shared pools are kept once.
    fn join(mut self, other: Self) -> Self {
        let mine = &mut self.settings;
        let other = other.settings;
        mine.zones.extend(other.zones);
        mine.workspaces.extend(other.workspaces);
        mine.pipelines.extend(other.pipelines);
        for pool in other.pools {
            if mine.pools.iter().all(|p| p.name != pool.name) {
                mine.pools.push(pool);
            }
        }
        self
    }

    /// Keeps only the named availability zones; a workspace at home elsewhere gets a new home.
    pub fn within(mut self, zones: &[&str]) -> Self {
        let settings = &mut self.settings;
        settings.zones.retain(|z| zones.contains(&z.name.as_str()));
        let regions: Vec<String> = settings.zones.iter().map(|z| z.region.clone()).collect();
        let homes = regions.iter().cycle();
        for (workspace, home) in settings.workspaces.iter_mut().zip(homes) {
            let is_gone = |region: &String| !regions.contains(region);
            if workspace.home_region.as_ref().is_some_and(is_gone) {
                workspace.home_region = Some(home.clone());
            }
        }
        self
    }

    /// Returns what the weight store has: two versions of each model.
    pub fn manifests(&self) -> Vec<Manifest> {
        let models = self.settings.pools.iter().filter_map(|p| p.model.as_ref());
        let versions = models.flat_map(|m| [(m, 1), (m, 2)]);
        versions
            .map(|(model, number)| Manifest {
                model: model.as_str().into(),
                version: version(model, number),
                bytes: WEIGHT_BYTES,
                rate: WEIGHT_RATE,
            })
            .collect()
    }
}

fn read(name: &str, text: &str) -> Result<Deployment, Error> {
    let settings = settings::parse(name, text, &[]).context(UnreadableSnafu { name })?;
    Ok(Deployment { settings })
}

/// Returns the name of a version of a model.
pub fn version(model: &str, number: u32) -> id::Version {
    format!("{model}-v{number}").into()
}

/// Returns the versions that an endpoint of a pool serves when it starts.
pub fn versions(pool: &Pool) -> Vec<id::Version> {
    pool.model.iter().map(|m| version(m, 1)).collect()
}

/// Returns how many endpoints a pool has.
pub fn endpoints(pool: &Pool) -> usize {
    match (pool.name.as_str(), pool.kind) {
        (_, Kind::Engine) => 12,
        ("allergy-registry" | "packing-line" | "billing" | "clanarina" | "obavijesti", _) => 5,
        _ => DEFAULT_ENDPOINTS,
    }
}
