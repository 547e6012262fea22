//! Formats a timeline as text, as JSON lines or for a trace viewer.

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use super::{Event, Kind};
use crate::id;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Formats each event as a line of text, for people.
pub fn text(events: &[Event]) -> String {
    events.iter().map(line).collect()
}

fn line(event: &Event) -> String {
    let mut line = format!(
        "{}.{:06}+{} {:<12} {:<10} {}",
        event.at.wall / MICROS_PER_SECOND,
        event.at.wall % MICROS_PER_SECOND,
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

/// Formats each event as a JSON object on one line.
///
/// # Errors
///
/// When an event cannot be serialized.
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
struct TraceEvent<'a> {
    name: &'a str,
    cat: Kind,
    ph: &'static str,
    ts: u64,
    dur: u64,
    pid: usize,
    tid: usize,
    args: TraceArgs<'a>,
}

#[derive(Serialize)]
struct TraceArgs<'a> {
    daemon: &'a str,
    request: Option<String>,
    endpoint: Option<&'a str>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Document<'a> {
    trace_events: Vec<TraceEvent<'a>>,
    display_time_unit: &'static str,
}

/// Formats the timeline in Chrome's trace event format.
///
/// A daemon appears as a process and a request as a thread. At each daemon, a request spans from
/// its first event to its last.
///
/// # Errors
///
/// When an event cannot be serialized.
pub fn chrome(events: &[Event]) -> serde_json::Result<String> {
    let daemons: IndexSet<&id::Daemon> = events.iter().map(|e| &e.daemon).collect();
    let requests: IndexSet<Option<id::Request>> = events.iter().map(|e| e.request).collect();
    let tracks: Vec<(usize, usize)> = events
        .iter()
        .map(|event| {
            let daemon = daemons.get_index_of(&event.daemon).unwrap_or(0);
            (daemon, requests.get_index_of(&event.request).unwrap_or(0))
        })
        .collect();
    let mut spans: IndexMap<(usize, usize), (&Event, u64)> = IndexMap::new();
    for (event, track) in events.iter().zip(&tracks) {
        if event.request.is_some() {
            spans.entry(*track).or_insert((event, 0)).1 = event.at.wall;
        }
    }
    let spans = spans.iter().map(|(track, (first, end))| {
        let duration = end.saturating_sub(first.at.wall);
        trace(first, "request", *track, Some(duration))
    });
    let instants = events
        .iter()
        .zip(&tracks)
        .map(|(event, track)| trace(event, &event.what, *track, None));
    serde_json::to_string(&Document {
        trace_events: spans.chain(instants).collect(),
        display_time_unit: "ms",
    })
}

fn trace<'a>(
    event: &'a Event,
    name: &'a str,
    track: (usize, usize),
    dur: Option<u64>,
) -> TraceEvent<'a> {
    TraceEvent {
        name,
        cat: event.kind,
        ph: if dur.is_some() { "X" } else { "i" },
        ts: event.at.wall,
        dur: dur.unwrap_or(0),
        pid: track.0,
        tid: track.1,
        args: TraceArgs {
            daemon: &event.daemon,
            request: event.request.map(|r| r.to_string()),
            endpoint: event.endpoint.as_deref(),
        },
    }
}
