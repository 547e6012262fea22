//! Tests of the configuration, with records and schedules drawn from seeds.

mod edit;
mod fold;
mod history;
mod model;
mod schedule;
mod view;

use rand::{Rng, RngExt};

use super::record::{Body, Clear, Level, Record, Scope, Set, Value, encode};
use crate::{id, platform};

/// A stream in memory, trimmed only on request.
#[derive(Clone, Default)]
struct Stream {
    first: id::Offset,
    records: Vec<platform::Record>,
}

impl Stream {
    fn push(&mut self, body: Vec<u8>) -> id::Offset {
        let offset = self.end();
        self.records.push(platform::Record { offset, body });
        offset
    }

    fn append(&mut self, record: &Record) -> id::Offset {
        self.push(encode(record).unwrap())
    }

    fn end(&self) -> id::Offset {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, first: id::Offset) {
        self.records.retain(|r| r.offset >= first);
        self.first = self.first.max(first);
    }

    fn page(&self, from: id::Offset, limit: usize) -> platform::Page {
        platform::Page {
            first: self.first,
            end: self.end(),
            records: self
                .records
                .iter()
                .filter(|r| r.offset >= from)
                .take(limit)
                .cloned()
                .collect(),
        }
    }
}

fn record(attempt: impl std::fmt::Display, body: Body) -> Record {
    Record {
        version: 1,
        attempt: format!("{attempt}"),
        author: "meelis".into(),
        body,
    }
}

fn pool(name: &str) -> Option<Scope> {
    Some(Scope {
        level: Level::Pool,
        name: name.into(),
    })
}

fn set(setting: &str, scope: Option<Scope>, value: Value, base: u64) -> Body {
    Body::Set(Set {
        setting: setting.into(),
        scope,
        value,
        base,
        reason: "packing at dawn".into(),
        expires_ms: None,
    })
}

fn clear(setting: &str, scope: Option<Scope>, base: u64) -> Body {
    Body::Clear(Clear {
        setting: setting.into(),
        scope,
        base,
        reason: "no longer needed".into(),
    })
}

/// Draws a record as concurrent operators might write it: stale, invalid and repeated ones too.
fn draw_record(rng: &mut impl Rng, end: u64) -> Vec<u8> {
    let setting = ["request-timeout", "queue-bound", "no-such-setting"][rng.random_range(0..3)];
    let scope = [None, pool("orders"), pool("billing")][rng.random_range(0..3)].clone();
    let base = end.saturating_sub(rng.random_range(0..8));
    let number = rng.random_range(1..5_000);
    let value = if rng.random_bool(0.6) {
        Value::Ms(number)
    } else {
        Value::Count(number)
    };
    let body = if rng.random_bool(0.7) {
        set(setting, scope, value, base)
    } else {
        clear(setting, scope, base)
    };
    let mut drawn = record(rng.random_range(0..end + 20), body);
    if rng.random_bool(0.05) {
        drawn.version = 2;
    }
    if rng.random_bool(0.05) {
        return b"{\"version\":1".to_vec();
    }
    encode(&drawn).unwrap()
}
