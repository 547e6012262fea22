//! Rules that the schema cannot express: references, ranges and uniqueness.

use std::net::SocketAddr;

use indexmap::IndexSet;

use super::{Daemon, Pipeline, Settings, Stage, Workspace};

/// The longest deadline of a pipeline, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// The most stages of a pipeline.
pub const MAX_STAGES: usize = 16;
/// The least important priority.
pub const MAX_PRIORITY: u8 = 7;
/// The fewest characters of a key, to prevent guessing.
pub const MIN_KEY_CHARS: usize = 16;
/// The most claim streams.
pub const MAX_STREAMS: u32 = 4_096;
/// The shortest `claims.window-ms` and `claims.retention-ms`.
pub const MIN_WINDOW_MS: u64 = 1_000;
/// The greatest weight of a workspace.
pub const MAX_WEIGHT: f64 = 1_000.0;

event! {
    /// A broken rule.
    pub struct Violation {
        /// The key, as a dotted path.
        pub key: String,
        /// What is wrong and what is allowed.
        pub reason: String,
    }
}

type Check = Result<(), Violation>;

fn fail<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, Violation> {
    Err(Violation {
        key: key.into(),
        reason: reason.into(),
    })
}

fn ensure(is_valid: bool, key: impl Into<String>, reason: impl Into<String>) -> Check {
    if is_valid { Ok(()) } else { fail(key, reason) }
}

fn join_names(names: &IndexSet<&str>) -> String {
    let names: Vec<&str> = names.iter().copied().collect();
    names.join(", ")
}

/// Collects names and rejects duplicates.
fn unique<'a>(
    section: &str,
    names: impl Iterator<Item = &'a str>,
) -> Result<IndexSet<&'a str>, Violation> {
    let mut seen = IndexSet::new();
    for (index, name) in names.enumerate() {
        let key = format!("{section}[{index}].name");
        ensure(
            is_name(name),
            &key,
            "a name has 1 to 64 letters, digits, `-`, `_` or `.`",
        )?;
        ensure(seen.insert(name), key, format!("`{name}` is defined twice"))?;
    }
    Ok(seen)
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().count() <= 64 && text.chars().all(is_allowed)
}

/// Checks all settings.
///
/// # Errors
///
/// The first broken rule.
pub fn check(settings: &Settings) -> Check {
    let zones = unique("zones", settings.zones.iter().map(|z| z.name.as_str()))?;
    let pools = unique("pools", settings.pools.iter().map(|p| p.name.as_str()))?;
    let regions: IndexSet<&str> = settings.zones.iter().map(|z| z.region.as_str()).collect();
    unique(
        "workspaces",
        settings.workspaces.iter().map(|w| w.name.as_str()),
    )?;
    unique(
        "pipelines",
        settings.pipelines.iter().map(|p| p.name.as_str()),
    )?;
    daemon(&settings.daemon, &zones)?;
    platform(settings, &regions)?;
    bounds(settings)?;
    claims(settings)?;
    let mut keys = IndexSet::new();
    for (index, workspace) in settings.workspaces.iter().enumerate() {
        self::workspace(index, workspace, &regions)?;
        let key = format!("workspaces[{index}].key");
        ensure(
            keys.insert(&workspace.key),
            key,
            "the key belongs to another workspace",
        )?;
    }
    for (index, pipeline) in settings.pipelines.iter().enumerate() {
        self::pipeline(index, pipeline, &pools)?;
    }
    Ok(())
}

fn daemon(daemon: &Daemon, zones: &IndexSet<&str>) -> Check {
    ensure(
        is_name(&daemon.name),
        "daemon.name",
        "a name has 1 to 64 letters, digits, `-`, `_` or `.`",
    )?;
    ensure(
        zones.contains(daemon.availability_zone.as_str()),
        "daemon.availability-zone",
        format!("no zone of this name; allowed: {}", join_names(zones)),
    )?;
    let addresses = [
        ("daemon.callers-address", Some(&daemon.callers_address)),
        ("daemon.operators-address", Some(&daemon.operators_address)),
        ("daemon.peers-address", Some(&daemon.peers_address)),
        ("daemon.statsd-address", daemon.statsd_address.as_ref()),
    ];
    for (key, address) in addresses {
        let is_valid = address.is_none_or(|a| a.parse::<SocketAddr>().is_ok());
        ensure(
            is_valid,
            key,
            "expected an IP number and port, such as 127.0.0.1:8080",
        )?;
    }
    secret("daemon.operators-key", &daemon.operators_key)
}

fn secret(key: &str, value: &str) -> Check {
    let is_valid = value.len() >= MIN_KEY_CHARS && value.bytes().all(|b| b.is_ascii_graphic());
    ensure(
        is_valid,
        key,
        format!("a key has at least {MIN_KEY_CHARS} visible ASCII characters"),
    )
}

fn platform(settings: &Settings, regions: &IndexSet<&str>) -> Check {
    let region = settings.platform.region.as_deref();
    ensure(
        region.is_none_or(|region| regions.contains(region)),
        "platform.region",
        format!("no region of this name; allowed: {}", join_names(regions)),
    )?;
    let urls = [
        ("platform.log-url", &settings.platform.log_url),
        ("platform.roster-url", &settings.platform.roster_url),
        ("platform.weights-url", &settings.platform.weights_url),
    ];
    for (key, url) in urls {
        let is_valid = url.strip_prefix("http://").is_some_and(|rest| {
            let host = rest.split('/').next().unwrap_or(rest);
            host.parse::<SocketAddr>().is_ok()
        });
        ensure(is_valid, key, "expected http:// with an IP number and port")?;
    }
    Ok(())
}

fn bounds(settings: &Settings) -> Check {
    let bounds = &settings.bounds;
    let positive = [
        ("bounds.max-connections", u64::from(bounds.max_connections)),
        ("bounds.max-requests", u64::from(bounds.max_requests)),
        ("bounds.max-body-bytes", u64::from(bounds.max_body_bytes)),
        (
            "bounds.max-answer-bytes",
            u64::from(bounds.max_answer_bytes),
        ),
        ("bounds.head-timeout-ms", bounds.head_timeout_ms),
        ("bounds.body-timeout-ms", bounds.body_timeout_ms),
    ];
    for (key, value) in positive {
        ensure(value > 0, key, "must be at least 1")?;
    }
    ensure(
        (1..=MAX_DEADLINE_MS).contains(&bounds.max_timeout_ms),
        "bounds.max-timeout-ms",
        format!("must be 1 to {MAX_DEADLINE_MS}"),
    )
}

fn claims(settings: &Settings) -> Check {
    let claims = &settings.claims;
    ensure(
        (1..=MAX_STREAMS).contains(&claims.streams),
        "claims.streams",
        format!("must be 1 to {MAX_STREAMS}"),
    )?;
    ensure(
        claims.window_ms >= MIN_WINDOW_MS,
        "claims.window-ms",
        format!("must be at least {MIN_WINDOW_MS}"),
    )?;
    ensure(
        claims.retention_ms >= MIN_WINDOW_MS,
        "claims.retention-ms",
        format!("must be at least {MIN_WINDOW_MS}"),
    )
}

fn workspace(index: usize, workspace: &Workspace, regions: &IndexSet<&str>) -> Check {
    let path = format!("workspaces[{index}]");
    secret(&format!("{path}.key"), &workspace.key)?;
    ensure(
        workspace.weight > 0.0 && workspace.weight <= MAX_WEIGHT,
        format!("{path}.weight"),
        format!("must be above 0 and at most {MAX_WEIGHT}"),
    )?;
    let home = workspace.home_region.as_deref();
    ensure(
        home.is_none_or(|region| regions.contains(region)),
        format!("{path}.home-region"),
        format!("no region of this name; allowed: {}", join_names(regions)),
    )
}

fn pipeline(index: usize, pipeline: &Pipeline, pools: &IndexSet<&str>) -> Check {
    let path = format!("pipelines[{index}]");
    ensure(
        (1..=MAX_DEADLINE_MS).contains(&pipeline.deadline_ms),
        format!("{path}.deadline-ms"),
        format!("must be 1 to {MAX_DEADLINE_MS}"),
    )?;
    ensure(
        pipeline.priority <= MAX_PRIORITY,
        format!("{path}.priority"),
        format!("must be 0 to {MAX_PRIORITY}"),
    )?;
    ensure(
        (1..=MAX_STAGES).contains(&pipeline.stages.len()),
        format!("{path}.stages"),
        format!("must hold 1 to {MAX_STAGES} stages"),
    )?;
    let names = pipeline.stages.iter().map(|s| s.name.as_str());
    unique(&format!("{path}.stages"), names)?;
    for (number, stage) in pipeline.stages.iter().enumerate() {
        self::stage(&format!("{path}.stages[{number}]"), stage, pools)?;
    }
    Ok(())
}

fn stage(path: &str, stage: &Stage, pools: &IndexSet<&str>) -> Check {
    ensure(
        pools.contains(stage.pool.as_str()),
        format!("{path}.pool"),
        format!("no pool of this name; allowed: {}", join_names(pools)),
    )?;
    ensure(
        stage.max_tokens > 0,
        format!("{path}.max-tokens"),
        "must be at least 1",
    )
}
