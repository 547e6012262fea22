//! Tests that the catalogue of settings agrees with the knobs of the policy.

use std::sync::Arc;

use super::{ConfigFeed, knobs};
use crate::config::record::{Level, Value};
use crate::config::setting::{CATALOGUE, Preset};
use crate::config::view::Key;
use crate::config::{Context, View};
use crate::policy::Observation;
use crate::policy::knobs::{Knobs, Scope};
use crate::settings::{self, Settings};

fn settings() -> Settings {
    let text = include_str!("../../../samples/vijesti.toml");
    settings::parse("sample", text, &[]).unwrap()
}

#[test]
fn knobs_of_catalogue_are_the_policy_defaults() {
    let view = View::new(0, "".into(), std::iter::empty());
    assert_eq!(knobs(&view, &Context::default()), Knobs::default());
}

#[test]
fn knobs_at_every_limit_of_catalogue_are_allowed() {
    for (index, setting) in CATALOGUE.iter().enumerate() {
        for bound in [setting.min, setting.max] {
            let value = match setting.preset {
                Preset::Milliseconds(_) => Value::Ms(bound as u64),
                Preset::Count(_) => Value::Count(bound as u64),
                Preset::Ratio(_) => Value::Ratio(bound),
                _ => continue,
            };
            let key = Key {
                setting: index,
                level: None,
                name: "".into(),
            };
            let view = View::new(1, "".into(), [(&key, &value)].into_iter());
            let knobs = knobs(&view, &Context::default());
            assert_eq!(knobs.check(), Ok(()), "{} at {bound}", setting.name);
        }
    }
}

#[test]
fn observations_name_only_exceptions() {
    let settings = Arc::new(settings());
    let feed = ConfigFeed::new(settings.clone());
    let index = CATALOGUE
        .iter()
        .position(|s| s.name == "hedge-budget")
        .unwrap();
    let key = Key {
        setting: index,
        level: Some(Level::Pool),
        name: "kalendar".into(),
    };
    let value = Value::Ratio(0.01);
    let view = View::new(1, "".into(), [(&key, &value)].into_iter());
    let exceptions: Vec<_> = feed
        .observations(&view)
        .into_iter()
        .filter_map(|o| match o {
            Observation::Knobs(Scope::Fleet, _) | Observation::Knobs(_, None) => None,
            Observation::Knobs(scope, Some(knobs)) => Some((scope, knobs.hedge_ratio)),
            _ => None,
        })
        .collect();
    assert_eq!(exceptions, [(Scope::Pool("kalendar".into()), 0.01)]);
}
