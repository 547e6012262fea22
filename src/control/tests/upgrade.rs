//! An upgrade over real threads, with engines in memory.

use indexmap::IndexMap;
use parking_lot::Mutex;

use super::{Fixture, TIMEOUT, wait_until};
use crate::config::edit::{self, Outcome};
use crate::config::record::{Body, Set, Value};
use crate::control::Control;
use crate::endpoint::{
    self, Answer, CacheEvent, Call, Engine, Load, Order, Result, Service, State,
};
use crate::id;
use crate::platform::{Role, Vm};

/// Engines by address, which load versions instantly.
pub struct Engines {
    states: Mutex<IndexMap<String, State>>,
}

impl Engines {
    fn new(addresses: &[String]) -> Self {
        let state = State {
            fence: None,
            versions: vec!["v1".into()],
            loading: Vec::new(),
            role: None,
        };
        let states = addresses.iter().map(|a| (a.clone(), state.clone()));
        Self {
            states: Mutex::new(states.collect()),
        }
    }

    fn serving(&self, version: &str) -> usize {
        let states = self.states.lock();
        let serves = |s: &&State| s.versions == [id::Version::from(version)];
        states.values().filter(serves).count()
    }
}

impl Service for Engines {
    fn call(&self, _: &str, _: &Call, _: endpoint::Sink<'_>) -> Result<Answer> {
        unreachable!("control makes no calls")
    }

    fn cancel(&self, _: &str, _: id::Request, _: id::Attempt) -> Result<()> {
        Ok(())
    }
}

impl Engine for Engines {
    fn load(&self, address: &str) -> Result<Load> {
        let states = self.states.lock();
        Ok(Load {
            running: 0,
            waiting: 0,
            cache_free: 1.0,
            versions: states[address].versions.clone(),
            role: None,
        })
    }

    fn cache_events(&self, _: &str, _: u64) -> Result<Vec<CacheEvent>> {
        Ok(Vec::new())
    }

    fn order(&self, address: &str, order: &Order) -> Result<()> {
        let mut states = self.states.lock();
        states[address].fence = Some(order.fence);
        states[address].versions.clone_from(&order.versions);
        Ok(())
    }

    fn state(&self, address: &str) -> Result<State> {
        Ok(self.states.lock()[address].clone())
    }

    fn copy_cache(&self, _: &str, _: &str, _: u64) -> Result<u64> {
        Ok(0)
    }
}

fn set(control: &Control, setting: &str, value: Value) {
    let body = Body::Set(Set {
        setting: setting.into(),
        scope: None,
        value,
        base: control.view().revision,
        reason: "tonight".into(),
        expires_ms: None,
    });
    let outcome = control.edit(edit::record("meelis", body), TIMEOUT);
    assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
}

fn fixture() -> Fixture {
    let mut fixture = Fixture::new();
    let addresses: Vec<String> = (0..4).map(|i| format!("127.0.0.1:{i}")).collect();
    fixture.engines = Some(std::sync::Arc::new(Engines::new(&addresses)));
    for (i, address) in addresses.into_iter().enumerate() {
        fixture.vms.push(Vm {
            id: format!("engine-{i}").into(),
            role: Role::Endpoint,
            address,
            zone: "tallinn-a".into(),
            pool: Some("menu-model".into()),
            leaving: false,
        });
    }
    fixture
}

#[test]
fn upgrade_resumes_after_controller_stops() {
    let mut fixture = fixture();
    let (a, b) = (fixture.start("a"), fixture.start("b"));
    let mut daemons = vec![a, b];
    let engines = fixture.engines.clone().unwrap();
    set(&daemons[0], "lease-time", Value::Ms(1_500));
    set(&daemons[0], "upgrade-start", Value::Count(0));
    set(&daemons[0], "upgrade-end", Value::Count(1_439));
    set(&daemons[0], "upgrade-floor", Value::Ratio(0.5));
    set(&daemons[0], "drain-time", Value::Ms(0));
    set(&daemons[0], "model-version", Value::Text("v2".into()));
    wait_until("an engine is upgraded", || engines.serving("v2") >= 1);
    let holder = daemons
        .iter()
        .position(|c| !c.zone_statuses().is_empty())
        .unwrap_or(0);
    drop(daemons.remove(holder));
    wait_until("all engines are upgraded", || engines.serving("v2") == 4);
    let menu_engines = |c: &Control| {
        let candidates = c.candidates().into_iter();
        candidates
            .filter(|c| &*c.pool == "menu-model")
            .collect::<Vec<_>>()
    };
    wait_until("all engines are back", || {
        let menu = menu_engines(&daemons[0]);
        menu.len() == 4 && menu.iter().all(|c| !c.leaving)
    });
    wait_until("the plan is finished", || {
        let statuses = daemons[0].zone_statuses();
        statuses.iter().any(|(_, b)| {
            let mut upgrades = b.upgrades.iter();
            upgrades.any(|u| u.phase == "finished")
        })
    });
    let leases = daemons[0].leases();
    assert!(
        leases
            .iter()
            .any(|l| l.is_ours && &*l.name == "zone/tallinn-a")
    );
}
