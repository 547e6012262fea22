//! Where a request may be: in which regions it may be served, and its body, its prompt parts and its results
//! may be kept.
//!
//! Both its route and its workspace may name regions, and then both bind. It does no I/O. See
//! [the design note](../../docs/design/residency.md).

use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use super::catalog::Catalog;
use super::registry::Endpoint;
use crate::id;

/// The region of each availability zone of the platform.
pub type Places = IndexMap<id::Zone, id::Region>;

event! {
    /// The regions in which a request may be.
    #[derive(Default)]
    pub struct Residency {
        limits: Option<Rc<Limits>>,
    }

    /// The regions that are allowed, and those of the platform's zones that they have.
    struct Limits {
        regions: IndexSet<id::Region>,
        zones: IndexSet<id::Zone>,
    }
}

impl Residency {
    /// Makes the residency of a request from the regions that its route and its workspace name; where one
    /// names none, it allows all.
    pub fn new(places: &Places, route: &[id::Region], workspace: &[id::Region]) -> Self {
        let named = match (route, workspace) {
            ([], []) => return Self::default(),
            ([], regions) | (regions, []) => regions.iter().collect(),
            (route, workspace) => {
                let both = route.iter().filter(|region| workspace.contains(region));
                both.collect::<IndexSet<&id::Region>>()
            }
        };
        let allowed = places.iter().filter(|(_, region)| named.contains(region));
        let limits = Limits {
            regions: allowed.clone().map(|(_, region)| region.clone()).collect(),
            zones: allowed.map(|(zone, _)| zone.clone()).collect(),
        };
        Self {
            limits: Some(Rc::new(limits)),
        }
    }

    /// Returns whether the request may be in a region.
    pub fn allows(&self, region: &id::Region) -> bool {
        let limits = self.limits.as_ref();
        limits.is_none_or(|limits| limits.regions.contains(region))
    }

    /// Returns whether the request may be in an availability zone; in one that the platform does not list
    /// only if it may be everywhere.
    pub fn allows_zone(&self, zone: &id::Zone) -> bool {
        let limits = self.limits.as_ref();
        limits.is_none_or(|limits| limits.zones.contains(zone))
    }

    /// Returns the regions in which the request may be; none if it may be in all.
    pub fn regions(&self) -> impl Iterator<Item = &id::Region> {
        let limits = self.limits.iter();
        limits.flat_map(|limits| &limits.regions)
    }

    /// Returns where something may be that belongs to requests of both residencies.
    pub fn and(self, other: &Self) -> Self {
        let (Some(own), Some(other)) = (&self.limits, &other.limits) else {
            let limits = self.limits.or_else(|| other.limits.clone());
            return Self { limits };
        };
        let both = Limits {
            regions: &own.regions & &other.regions,
            zones: &own.zones & &other.zones,
        };
        Self {
            limits: Some(Rc::new(both)),
        }
    }

    /// Returns whether the request may be wherever it may be by another residency.
    pub fn covers(&self, other: &Self) -> bool {
        match (&self.limits, &other.limits) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(own), Some(other)) => other.regions.is_subset(&own.regions),
        }
    }

    /// Returns whether the request may not be everywhere.
    pub fn is_limited(&self) -> bool {
        self.limits.is_some()
    }

    /// Returns why no endpoint may get a request of a service, if so. When no endpoint is known at all, that
    /// says nothing of regions.
    pub fn refusal_reason<'a>(
        &self,
        service: &id::Pool,
        mut endpoints: impl Iterator<Item = &'a Endpoint>,
    ) -> Option<String> {
        let limits = self.limits.as_ref()?;
        if limits.regions.is_empty() {
            return Some("no region of the platform is allowed to serve it".to_owned());
        }
        let mut is_any_known = false;
        let is_served = endpoints.any(|endpoint| {
            is_any_known = true;
            endpoint.service == *service && self.allows_zone(&endpoint.zone)
        });
        let regions = limits.regions.iter().map(|region| &**region);
        let regions: Vec<&str> = regions.collect();
        let reason = || format!("no endpoint in its allowed regions: {}", regions.join(", "));
        (is_any_known && !is_served).then(reason)
    }
}

/// Returns the regions that a configuration names and the platform does not have.
pub fn unknown_regions<'a>(catalog: &'a Catalog, places: &Places) -> IndexSet<&'a id::Region> {
    let routes = catalog.routes.iter();
    let workspaces = catalog.workspaces.iter().flatten();
    let named = routes
        .flat_map(|route| &route.allowed_regions)
        .chain(workspaces.flat_map(|workspace| &workspace.allowed_regions));
    let known: IndexSet<&id::Region> = places.values().collect();
    named.filter(|region| !known.contains(region)).collect()
}

/// Returns whether a route or a workspace of a configuration names regions.
pub fn names_regions(catalog: &Catalog) -> bool {
    let mut routes = catalog.routes.iter();
    let mut workspaces = catalog.workspaces.iter().flatten();
    routes.any(|route| !route.allowed_regions.is_empty())
        || workspaces.any(|workspace| !workspace.allowed_regions.is_empty())
}

#[cfg(test)]
mod tests;
