//! Whether a VM reaches endpoints by itself. It does no I/O and is given the time.
//!
//! An endpoint that cannot be reached may have ended, or the link of the VM may be at fault; which of them shows
//! in whether other VMs reach it. See [the design note](../../docs/design/links.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

/// How long an endpoint that only other VMs reach is not tried directly, the first time.
const BASE_DETOUR: Duration = Duration::from_millis(500);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// How long after a detour a direct connection has to fail again for the next one to be longer.
const DETOUR_RESET_TIME: Duration = Duration::from_secs(10);
/// The surplus of successful probes after which a link counts as up again. Hysteresis keeps a flapping link from
/// being used: a detour costs one hop, a lost connection may cost the request.
const GOOD_PROBES: u32 = 3;
/// The most endpoints that are remembered.
const MAX_DETOURS: usize = 8_192;

/// An endpoint that only other VMs reached of late.
struct Detour {
    until: Time,
    repeats: u32,
}

/// The link of one VM to endpoints.
#[derive(Default)]
pub struct Link {
    is_down: bool,
    good_probes: u32,
    /// When a connection to an endpoint was made last.
    reached_at: Option<Time>,
    detours: IndexMap<id::Endpoint, Detour>,
}

impl Link {
    /// Returns whether the VM reaches no endpoint.
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Returns whether an endpoint is to be tried directly.
    pub fn is_direct(&self, endpoint: &str, now: Time) -> bool {
        let detour = self.detours.get(endpoint);
        !self.is_down && detour.is_none_or(|detour| now >= detour.until)
    }

    /// Returns whether an endpoint was reached at this time or later.
    pub fn was_reached_since(&self, time: Time) -> bool {
        self.reached_at.is_some_and(|at| at >= time)
    }

    /// Records that a connection to an endpoint was made.
    pub fn reached(&mut self, endpoint: &str, now: Time) {
        self.reached_at = Some(now);
        if !self.is_down {
            self.detours.swap_remove(endpoint);
        }
    }

    /// Records that only another VM reached an endpoint.
    pub fn detoured(&mut self, endpoint: &id::Endpoint, now: Time) {
        let before = self.detours.get(endpoint);
        let before = before.filter(|before| now < before.until + DETOUR_RESET_TIME);
        let repeats = before.map_or(0, |before| (before.repeats + 1).min(MAX_DOUBLINGS));
        let until = now + BASE_DETOUR * (1 << repeats);
        self.detours
            .insert(endpoint.clone(), Detour { until, repeats });
        if self.detours.len() > MAX_DETOURS {
            self.detours.shift_remove_index(0);
        }
    }

    /// Records that no endpoint could be reached; returns whether this was not known.
    pub fn failed(&mut self) -> bool {
        self.good_probes = 0;
        !std::mem::replace(&mut self.is_down, true)
    }

    /// Records whether a probe of a link that is down reached an endpoint; returns whether it is up again.
    pub fn probed(&mut self, is_reached: bool) -> bool {
        if !is_reached {
            self.good_probes = self.good_probes.saturating_sub(1);
            return false;
        }
        self.good_probes += 1;
        if self.good_probes < GOOD_PROBES {
            return false;
        }
        self.detours.clear();
        std::mem::replace(&mut self.is_down, false)
    }
}

#[cfg(test)]
mod tests;
