//! Writes a time line as text, as JSON lines or for a trace viewer.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use super::{Event, Kind};
use crate::id;

/// Microseconds in a second.
const MICROS: u64 = 1_000_000;

/// Writes one line for each event, for people.
pub fn text(events: &[Event]) -> String {
    events.iter().map(line).collect()
}

fn line(event: &Event) -> String {
    let mut line = format!(
        "{}.{:06}+{} {:<12} {:<10} {}",
        event.at.wall / MICROS,
        event.at.wall % MICROS,
        event.at.counter,
        event.daemon,
        format!("{:?}", event.kind).to_lowercase(),
        event.what,
    );
    if let Some(request) = &event.request {
        line += &format!(" request={request}");
    }
    if let Some(endpoint) = &event.endpoint {
        line += &format!(" endpoint={endpoint}");
    }
    line.push('\n');
    line
}

/// Writes one JSON object for each event, for programs.
///
/// # Errors
///
/// When an event cannot be written as JSON.
pub fn json(events: &[Event]) -> serde_json::Result<String> {
    let mut out = String::new();
    for event in events {
        out += &serde_json::to_string(event)?;
        out.push('\n');
    }
    Ok(out)
}

/// One entry of Chrome's trace event format.
#[derive(Serialize)]
struct Trace<'a> {
    name: &'a str,
    cat: Kind,
    ph: &'static str,
    ts: u64,
    dur: u64,
    pid: usize,
    tid: usize,
    args: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    daemon: &'a str,
    request: Option<String>,
    endpoint: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Document<'a> {
    trace_events: Vec<Trace<'a>>,
    display_time_unit: &'static str,
}

/// Writes the time line in Chrome's trace event format.
///
/// A daemon is shown as a process and a request as a thread; a request spans from its first
/// event to its last at each daemon.
///
/// # Errors
///
/// When an event cannot be written as JSON.
pub fn chrome(events: &[Event]) -> serde_json::Result<String> {
    let daemons: IndexSet<&id::Daemon> = events.iter().map(|e| &e.daemon).collect();
    let requests: IndexSet<Option<id::Request>> = events.iter().map(|e| e.request).collect();
    let places: Vec<(usize, usize)> = events
        .iter()
        .map(|event| {
            let daemon = daemons.get_index_of(&event.daemon).unwrap_or(0);
            (daemon, requests.get_index_of(&event.request).unwrap_or(0))
        })
        .collect();
    let mut spans: IndexMap<(usize, usize), (&Event, u64)> = IndexMap::new();
    for (event, place) in events.iter().zip(&places) {
        if event.request.is_some() {
            spans.entry(*place).or_insert((event, 0)).1 = event.at.wall;
        }
    }
    let spans = spans.iter().map(|(place, (first, end))| {
        let length = end.saturating_sub(first.at.wall);
        trace(first, "request", *place, Some(length))
    });
    let points = events
        .iter()
        .zip(&places)
        .map(|(event, place)| trace(event, &event.what, *place, None));
    serde_json::to_string(&Document {
        trace_events: spans.chain(points).collect(),
        display_time_unit: "ms",
    })
}

fn trace<'a>(
    event: &'a Event,
    name: &'a str,
    place: (usize, usize),
    dur: Option<u64>,
) -> Trace<'a> {
    Trace {
        name,
        cat: event.kind,
        ph: if dur.is_some() { "X" } else { "i" },
        ts: event.at.wall,
        dur: dur.unwrap_or(0),
        pid: place.0,
        tid: place.1,
        args: Detail {
            daemon: &event.daemon,
            request: event.request.map(|r| r.to_string()),
            endpoint: event.endpoint.as_deref(),
        },
    }
}
