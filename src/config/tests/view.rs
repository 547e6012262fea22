//! Resolution of settings for a context.

use std::time::Duration;

use super::{Stream, record, set};
use crate::config::fold::Fold;
use crate::config::record::{Level, Scope, Value};
use crate::config::setting::{self, CATALOGUE, REQUEST_TIMEOUT};
use crate::config::{Context, View};

const CONTEXT: Context<'_> = Context {
    region: Some("kontinent"),
    zone: Some("zagreb-a"),
    pool: Some("kalendar"),
    pipeline: Some("bulletin"),
    workspace: Some("osijek"),
    endpoint: Some("e1"),
};

#[test]
fn most_specific_exception_wins() {
    let order = [
        (Level::Fleet, ""),
        (Level::Region, "kontinent"),
        (Level::AvailabilityZone, "zagreb-a"),
        (Level::Pool, "kalendar"),
        (Level::Pipeline, "bulletin"),
        (Level::Workspace, "osijek"),
        (Level::Endpoint, "e1"),
    ];
    let mut fold = Fold::new();
    let mut stream = Stream::default();
    for (i, (level, name)) in order.into_iter().enumerate() {
        let scope = Some(Scope {
            level,
            name: name.into(),
        });
        let ms = 100 + i as u64;
        stream.append(&record(i, set("request-timeout", scope, Value::Ms(ms), 0)));
        fold.apply(&stream.records[i]);
        let view = fold.view();
        assert_eq!(
            view.duration(&REQUEST_TIMEOUT, &CONTEXT),
            Duration::from_millis(ms)
        );
    }
    let elsewhere = Context {
        region: Some("primorje"),
        ..Context::default()
    };
    let fleet = fold.view().duration(&REQUEST_TIMEOUT, &elsewhere);
    assert_eq!(fleet, Duration::from_millis(100));
}

#[test]
fn catalogue_defaults_are_valid() {
    let view = View::default();
    for (index, setting) in CATALOGUE.iter().enumerate() {
        let value = setting.preset.value();
        assert_eq!(
            setting.check(&value).as_ref(),
            Ok(&value),
            "{}",
            setting.name
        );
        assert_eq!(view.get(setting, &CONTEXT), value);
        assert_eq!(setting::find(setting.name, 1).unwrap().0, index);
    }
}
