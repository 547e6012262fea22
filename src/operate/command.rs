//! The operators' command line.

use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;

use super::client::Client;
use super::{Error, Result};
use crate::settings;

/// Prints a line; ignores a closed pipe, as after `head`.
macro_rules! print_line {
    ($($part:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($part)*);
    }};
}

pub(super) mod config;
mod fleet;
mod table;

/// The environment variable that holds the operators' key.
pub const KEY_VARIABLE: &str = "CYCLAMENRILL_KEY";
/// The exit code after a failure.
pub const FAILURE: i32 = 1;
/// The exit code after wrong arguments or settings.
pub const USAGE: i32 = 2;

const EXAMPLES: &str = "
Examples:
  cyclamenrill demo --seed 7
  cyclamenrill check samples/poldmaa.toml
  cyclamenrill status --address 127.0.0.1:8081 --key-file operators.key
  cyclamenrill config set hedge-budget 0.03 --reason 'link is narrow' --wait
  cyclamenrill timeline --request 0190c0de-0000-7000-8000-000000000000 --format chrome
  cyclamenrill load --address 127.0.0.1:8080 --pipeline menu --rate 200 --seconds 10

The operators' key is read from --key-file or from the variable CYCLAMENRILL_KEY.
";

/// Drives a fleet of cyclamenrill daemons.
#[derive(Debug, Options)]
pub struct Arguments {
    /// Whether help is wanted.
    #[options(help = "print help")]
    pub help: bool,
    /// Whether the version is wanted.
    #[options(help = "print the version")]
    pub version: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The command to run.
#[derive(Debug, Options)]
pub enum Command {
    /// Check a file of settings.
    #[options(help = "check a file of settings; exit 2 when something is wrong")]
    Check(Check),
    /// Show or change the configuration.
    #[options(help = "show or change fleet-wide defaults and exceptions")]
    Config(config::Arguments),
    /// Show the status of the fleet.
    #[options(help = "show daemons, endpoints, leases and quarantine")]
    Status(fleet::Status),
    /// Drain a daemon.
    #[options(help = "shut a daemon down gracefully")]
    Drain(fleet::Drain),
    /// Show the timeline.
    #[options(help = "collect the time line of all daemons")]
    Timeline(fleet::Timeline),
    /// Show attainment and cost.
    #[options(help = "show attainment and cost by pipeline and stage")]
    Report(fleet::Report),
    /// Run stand-ins, daemons and callers in one process.
    #[options(help = "run stand-ins, daemons and callers in one process")]
    Demo(crate::demo::Arguments),
    /// Send load.
    #[options(help = "send open-loop load to daemons")]
    Load(crate::load::Arguments),
}

/// Checks a file of settings, as the daemon does when it starts.
#[derive(Debug, Options)]
pub struct Check {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the file of settings")]
    file: PathBuf,
    #[options(
        no_short,
        meta = "KEY=VALUE",
        help = "override a key, as the daemon would"
    )]
    set: Vec<String>,
}

/// Returns a client for the daemon at `address`.
fn client(address: &str, key_file: Option<&PathBuf>) -> Result<Client> {
    let key = match key_file {
        Some(file) => std::fs::read_to_string(file).map_err(|e| Error::Local {
            step: "reading the operators' key from",
            peer: file.display().to_string(),
            reason: e.to_string(),
        })?,
        None => std::env::var(KEY_VARIABLE).map_err(|_| Error::Input {
            reason: format!("no operators' key: give --key-file or set {KEY_VARIABLE}"),
        })?,
    };
    Ok(Client::new(address, key.trim()))
}

/// Runs the program and returns its exit code.
pub fn run(arguments: &[String]) -> i32 {
    let arguments = config::hoist(arguments);
    let parsed = match Arguments::parse_args_default(&arguments) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("cyclamenrill: {error}; see `cyclamenrill --help`");
            return USAGE;
        }
    };
    if parsed.version {
        print_line!("cyclamenrill {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    if parsed.help_requested() {
        return help(&parsed);
    }
    let Some(command) = parsed.command else {
        return help(&parsed);
    };
    dispatch(&command).unwrap_or_else(|error| {
        eprintln!("cyclamenrill: {error}");
        match error {
            Error::Input { .. } => USAGE,
            _ => FAILURE,
        }
    })
}

fn help(parsed: &Arguments) -> i32 {
    let command = parsed.command.as_ref().and_then(Options::command_name);
    let mut innermost: &dyn Options = parsed;
    while let Some(inner) = innermost.command() {
        innermost = inner;
    }
    match command {
        Some(name) => print_line!("Usage: cyclamenrill {name} [OPTIONS]\n"),
        None => print_line!("Usage: cyclamenrill COMMAND [OPTIONS]\n"),
    }
    print_line!("{}", innermost.self_usage());
    if let Some(list) = innermost.self_command_list() {
        print_line!("\nCommands:\n{list}");
    }
    print_line!("{EXAMPLES}");
    0
}

fn dispatch(command: &Command) -> Result<i32> {
    match command {
        Command::Check(check) => check_file(check),
        Command::Config(arguments) => config::run(arguments),
        Command::Status(arguments) => fleet::status(arguments),
        Command::Drain(arguments) => fleet::drain(arguments),
        Command::Timeline(arguments) => fleet::timeline(arguments),
        Command::Report(arguments) => fleet::report(arguments),
        Command::Demo(arguments) => Ok(crate::demo::run(arguments)),
        Command::Load(arguments) => Ok(crate::load::run(arguments)),
    }
}

fn check_file(check: &Check) -> Result<i32> {
    let input = |reason: String| Error::Input { reason };
    let overrides: std::result::Result<Vec<_>, _> = check
        .set
        .iter()
        .map(|text| settings::Override::from_argument(text))
        .collect();
    let overrides = overrides.map_err(input)?;
    let settings = settings::load(&check.file, &overrides).map_err(|e| input(e.to_string()))?;
    print_line!(
        "{}: {} pipelines on {} pools for {} workspaces in {} availability zones",
        check.file.display(),
        settings.pipelines.len(),
        settings.pools.len(),
        settings.workspaces.len(),
        settings.zones.len(),
    );
    Ok(0)
}

/// Returns a duration given in seconds.
fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}
