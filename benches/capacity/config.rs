//! Folding, checkpoints and resolution at growing numbers of exceptions.

use cyclamenrill::config::fold::Fold;
use cyclamenrill::config::record::{Body, Level, Record, Scope, Set, Value, encode};
use cyclamenrill::config::{Context, setting};
use cyclamenrill::platform;

use crate::meter::{Figure, each, held};

fn record(i: usize) -> platform::Record {
    let record = Record {
        version: 1,
        attempt: format!("6f9619ff-8b86-d011-b42d-{i:012}"),
        author: "operator".into(),
        body: Body::Set(Set {
            setting: "workspace-weight".into(),
            scope: Some(Scope {
                level: Level::Workspace,
                name: format!("workspace-{i:05}"),
            }),
            value: Value::Ratio(2.0),
            base: i as u64,
            reason: "a large customer with its own agreement".into(),
            expires_ms: None,
        }),
    };
    platform::Record {
        offset: i as u64,
        body: encode(&record).unwrap(),
    }
}

pub fn figures() -> Vec<Figure> {
    [100, 1_000, 4_000].into_iter().flat_map(at).collect()
}

fn at(count: usize) -> Vec<Figure> {
    let records: Vec<_> = (0..count).map(record).collect();
    let before = held();
    let mut fold = Fold::new();
    for record in &records {
        fold.apply(record);
    }
    let bytes = held() - before;
    assert_eq!(fold.entries().count(), count);
    let folding = each(|| {
        let mut fold = Fold::new();
        for record in &records {
            fold.apply(record);
        }
        fold
    });
    let viewing = each(|| fold.view());
    let writing = each(|| fold.checkpoint().unwrap());
    let (view, checkpoint) = (fold.view(), fold.checkpoint().unwrap());
    let text = serde_json::to_vec(&checkpoint).unwrap();
    let reading = each(|| Fold::restore(&checkpoint).unwrap());
    let place = Context {
        workspace: Some("workspace-00007"),
        pool: Some("menu-model"),
        zone: Some("tallinn-a"),
        region: Some("tallinn"),
        ..Context::default()
    };
    let resolving = each(|| view.ratio(&setting::WORKSPACE_WEIGHT, &place));
    let micros = |t: std::time::Duration| t.as_secs_f64() * 1e6;
    vec![
        Figure::new(
            "config-fold",
            count,
            micros(folding) / count as f64,
            "us/record",
        ),
        Figure::new(
            "config-record",
            count,
            records[0].body.len() as f64,
            "bytes",
        ),
        Figure::new(
            "config-state",
            count,
            bytes as f64 / count as f64,
            "bytes/exception",
        ),
        Figure::new("config-view", count, micros(viewing), "us"),
        Figure::new("config-checkpoint", count, text.len() as f64, "bytes"),
        Figure::new("config-checkpoint-write", count, micros(writing), "us"),
        Figure::new("config-checkpoint-read", count, micros(reading), "us"),
        Figure::new("config-resolve", count, micros(resolving), "us"),
    ]
}
