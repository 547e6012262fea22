//! Commands that query or drain daemons of the fleet.

use std::path::PathBuf;

use gumdrop::Options;
use serde::Serialize;

use super::client;
use super::table::{row, table};
use crate::operate::{Answer, Collection, Error, Result, status};
use crate::timeline::{filter, format};

/// Shows daemons, endpoints, leases and quarantine.
#[derive(Debug, Options)]
pub struct Status {
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8081",
        help = "the operators' address of any daemon"
    )]
    address: String,
    #[options(no_short, meta = "FILE", help = "a file that holds the operators' key")]
    key_file: Option<PathBuf>,
    #[options(no_short, help = "ask this daemon alone")]
    one: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Shuts a daemon down gracefully: it finishes what it has begun.
#[derive(Debug, Options)]
pub struct Drain {
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        required,
        meta = "IP:PORT",
        help = "the operators' address of the daemon to drain"
    )]
    address: String,
    #[options(no_short, meta = "FILE", help = "a file that holds the operators' key")]
    key_file: Option<PathBuf>,
}

/// Shows attainment by pipeline, and cost by stage and workspace.
#[derive(Debug, Options)]
pub struct Report {
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8081",
        help = "the operators' address of any daemon"
    )]
    address: String,
    #[options(no_short, meta = "FILE", help = "a file that holds the operators' key")]
    key_file: Option<PathBuf>,
    #[options(no_short, help = "ask this daemon alone")]
    one: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Shows the events of all daemons in causal order.
#[derive(Debug, Options)]
pub struct Timeline {
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8081",
        help = "the operators' address of any daemon"
    )]
    address: String,
    #[options(no_short, meta = "FILE", help = "a file that holds the operators' key")]
    key_file: Option<PathBuf>,
    #[options(no_short, help = "ask this daemon alone")]
    one: bool,
    #[options(
        no_short,
        meta = "MICROS",
        default = "0",
        help = "events after this Unix time"
    )]
    since: u64,
    #[options(no_short, meta = "ID", help = "events of this request")]
    request: Option<uuid::Uuid>,
    #[options(no_short, meta = "ID", help = "events of this endpoint")]
    endpoint: Option<String>,
    #[options(no_short, meta = "KIND", help = "events of this kind, such as claim")]
    kind: Option<String>,
    #[options(
        no_short,
        meta = "FORMAT",
        default = "text",
        help = "text, json (a line each) or chrome (for a trace viewer)"
    )]
    format: String,
}

fn warn_missing(collection: &Collection) {
    for daemon in &collection.missing {
        eprintln!("cyclamenrill: daemon {daemon} did not answer; its part is missing");
    }
}

fn print_json(value: &impl Serialize) -> Result<i32> {
    let text = serde_json::to_string(value).map_err(|e| Error::Input {
        reason: e.to_string(),
    })?;
    print_line!("{text}");
    Ok(0)
}

/// Prints the status of the fleet.
pub fn status(arguments: &Status) -> Result<i32> {
    let client = client(&arguments.address, arguments.key_file.as_ref())?;
    let collection = client.status(!arguments.one)?;
    warn_missing(&collection);
    if arguments.json {
        return print_json(&collection);
    }
    let all: Vec<&status::Status> = collection
        .answers
        .iter()
        .filter_map(|answer| match answer {
            Answer::Status(status) => Some(status.as_ref()),
            _ => None,
        })
        .collect();
    print_line!("{}", daemons(&all).trim_end());
    let Some(first) = all.first() else {
        return Ok(0);
    };
    print_line!("\n{}", endpoints(first).trim_end());
    print_line!("\n{}", leases(first).trim_end());
    print_line!("\n{}", quarantine(&all).trim_end());
    print_line!("\n{}", upgrades(&all).trim_end());
    print_line!("\n{}", alarms(&all).trim_end());
    Ok(0)
}

fn yes_or_no(flag: bool) -> &'static str {
    if flag { "yes" } else { "no" }
}

fn daemons(all: &[&status::Status]) -> String {
    let mut rows = vec![row([
        "DAEMON", "ZONE", "READY", "UPTIME", "REQUESTS", "REVISION", "FRESH", "MEMBERS",
    ])];
    rows.extend(all.iter().map(|s| {
        row([
            &s.daemon,
            &s.zone,
            yes_or_no(s.ready),
            &format!("{} s", s.uptime.as_secs()),
            &s.requests.to_string(),
            &s.revision.to_string(),
            yes_or_no(s.fresh),
            &s.members.len().to_string(),
        ])
    }));
    table(&rows)
}

fn endpoints(status: &status::Status) -> String {
    let mut rows = vec![row([
        "ENDPOINT",
        "POOL",
        "ZONE",
        "LEAVING",
        "CHECKS FENCING",
    ])];
    rows.extend(status.endpoints.iter().map(|e| {
        row([
            &e.endpoint,
            &e.pool,
            &e.zone,
            yes_or_no(e.leaving),
            yes_or_no(e.checks_fencing),
        ])
    }));
    table(&rows)
}

fn leases(status: &status::Status) -> String {
    let mut rows = vec![row(["LEASE", "HOLDER", "FENCE"])];
    rows.extend(status.leases.iter().map(|l| {
        let holder = l.holder.as_deref().unwrap_or("-");
        row([&l.name, holder, &l.fence.to_string()])
    }));
    table(&rows)
}

fn quarantine(all: &[&status::Status]) -> String {
    let mut rows = vec![row(["DAEMON", "CONTENT", "STANDING"])];
    for status in all {
        let blames = status.quarantine.iter();
        rows.extend(blames.map(|b| row([&status.daemon, &b.digest, &b.status])));
    }
    table(&rows)
}

fn upgrades(all: &[&status::Status]) -> String {
    let mut rows = vec![row(["UPGRADE IN ZONE", "POOL", "TO", "PHASE", "OUT"])];
    for upgrade in all.iter().flat_map(|s| &s.upgrades) {
        rows.push(row([
            &upgrade.zone,
            &upgrade.pool,
            &upgrade.target,
            &upgrade.phase,
            &upgrade.out_of_service.to_string(),
        ]));
    }
    table(&rows)
}

fn alarms(all: &[&status::Status]) -> String {
    let mut rows = vec![row(["DAEMON", "ALARM"])];
    for status in all {
        let alarms = status.alarms.iter();
        rows.extend(alarms.map(|alarm| row([&status.daemon, alarm])));
    }
    table(&rows)
}

/// Starts the graceful shutdown of a daemon.
pub fn drain(arguments: &Drain) -> Result<i32> {
    let answer = client(&arguments.address, arguments.key_file.as_ref())?.drain()?;
    print_line!("{}: {answer}", arguments.address);
    Ok(0)
}

/// Prints attainment and cost.
pub fn report(arguments: &Report) -> Result<i32> {
    let client = client(&arguments.address, arguments.key_file.as_ref())?;
    let collection = client.report(!arguments.one)?;
    warn_missing(&collection);
    let mut sum = status::Report::default();
    for answer in &collection.answers {
        if let Answer::Report(report) = answer {
            sum.add(report);
        }
    }
    if arguments.json {
        return print_json(&sum);
    }
    print_line!("{}", attainment(&sum.pipelines).trim_end());
    print_line!("\n{}", costs("STAGE", &sum.stages).trim_end());
    print_line!("\n{}", costs("WORKSPACE", &sum.workspaces).trim_end());
    Ok(0)
}

fn attainment(all: &[status::Attainment]) -> String {
    let mut rows = vec![row([
        "PIPELINE",
        "REQUESTS",
        "ATTAINMENT",
        "LATE",
        "NOT RUN",
        "UNKNOWN",
        "FAILED",
    ])];
    rows.extend(all.iter().map(|a| {
        row([
            &a.pipeline,
            &a.requests.to_string(),
            &format!("{:.2} %", 100.0 * a.share()),
            &a.late.to_string(),
            &a.not_run.to_string(),
            &a.unknown.to_string(),
            &a.failed.to_string(),
        ])
    }));
    table(&rows)
}

fn costs(head: &str, all: &[status::Cost]) -> String {
    let mut rows = vec![row([
        head,
        "CALLS",
        "TIME",
        "TOKENS",
        "PREFILL",
        "LINK BYTES",
        "WASTED TIME",
        "WASTED TOKENS",
    ])];
    rows.extend(all.iter().map(|c| {
        row([
            &c.name,
            &c.calls.to_string(),
            &format!("{:.3} s", c.engine_time.as_secs_f64()),
            &c.tokens.to_string(),
            &c.prefill_tokens.to_string(),
            &c.link_bytes.to_string(),
            &format!("{:.3} s", c.wasted_time.as_secs_f64()),
            &c.wasted_tokens.to_string(),
        ])
    }));
    table(&rows)
}

/// Prints the timeline.
pub fn timeline(arguments: &Timeline) -> Result<i32> {
    let input = |reason: String| Error::Input { reason };
    let filter = filter::Filter {
        request: arguments.request,
        endpoint: arguments.endpoint.as_deref().map(Into::into),
        kind: arguments.kind.as_deref().map(parse_kind).transpose()?,
    };
    let write = match arguments.format.as_str() {
        "text" => |events: &[_]| Ok(format::text(events)),
        "json" => format::json,
        "chrome" => format::chrome,
        other => {
            let reason = format!("--format {other}: allowed are text, json and chrome");
            return Err(input(reason));
        }
    };
    let client = client(&arguments.address, arguments.key_file.as_ref())?;
    let collection = client.events(!arguments.one, arguments.since)?;
    warn_missing(&collection);
    let lists = collection
        .answers
        .into_iter()
        .filter_map(|answer| match answer {
            Answer::Events(events) => Some(events),
            _ => None,
        });
    let text = write(&filter::merge(lists, &filter)).map_err(|e| input(e.to_string()))?;
    print_line!("{}", text.trim_end());
    Ok(0)
}

fn parse_kind(text: &str) -> Result<crate::timeline::Kind> {
    let quoted = serde_json::Value::String(text.to_owned());
    serde_json::from_value(quoted).map_err(|e| Error::Input {
        reason: format!("--kind {text}: {e}"),
    })
}
