//! The daemon's program: arguments, settings, logs, signals and the exit code.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use slog::{Logger, error, info, warn};

use super::{Node, Options as NodeOptions};
use crate::settings::{self, Override, Settings};
use crate::telemetry;

/// The exit code after a failure.
const FAILURE: i32 = 1;
/// The exit code when the arguments or the settings are wrong.
const USAGE: i32 = 2;
/// The longest wait of a shutdown for what is in progress.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(120);

const EXAMPLES: &str = "
Examples:
  cyclamenrilld --config /etc/cyclamenrill.toml
  cyclamenrilld --config daemon.toml --set daemon.callers-address=10.0.0.4:8080

Arguments override the environment, then the file, then the defaults.
On SIGTERM, the daemon accepts no new work, finishes what is in progress and exits 0.";

/// The arguments of the daemon's program.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(meta = "FILE", help = "the file of settings")]
    config: Option<PathBuf>,
    #[options(no_short, meta = "KEY=VALUE", help = "override a key of the settings")]
    set: Vec<String>,
}

/// Runs the daemon until it is stopped, and returns the exit code.
pub fn run(arguments: &[String]) -> i32 {
    let parsed = match Arguments::parse_args_default(arguments) {
        Ok(parsed) => parsed,
        Err(error) => return report_usage_error(&error.to_string()),
    };
    if parsed.help {
        println!("Usage: cyclamenrilld [OPTIONS]\n\n{}", Arguments::usage());
        println!("{EXAMPLES}");
        return 0;
    }
    if parsed.version {
        println!("cyclamenrilld {}", env!("CARGO_PKG_VERSION"));
        return 0;
    }
    match read_settings(&parsed) {
        Ok(settings) => serve(&settings),
        Err(reason) => report_usage_error(&reason),
    }
}

fn report_usage_error(reason: &str) -> i32 {
    eprintln!("cyclamenrilld: {reason}");
    USAGE
}

fn read_settings(arguments: &Arguments) -> Result<Settings, String> {
    let file = arguments.config.as_ref();
    let file = file.ok_or("give the file of settings with --config FILE")?;
    let mut overrides = Override::from_environment(std::env::vars());
    for text in &arguments.set {
        overrides.push(Override::from_argument(text)?);
    }
    settings::load(file, &overrides).map_err(|e| e.to_string())
}

fn serve(settings: &Settings) -> i32 {
    let logger = telemetry::logger(&settings.log, &settings.daemon.name);
    match serve_until_signal(settings, &logger) {
        Ok(true) => 0,
        Ok(false) => {
            warn!(
                logger,
                "the shutdown timed out; some work is still in progress"
            );
            FAILURE
        }
        Err(reason) => {
            error!(logger, "the daemon does not start"; "reason" => reason);
            FAILURE
        }
    }
}

fn serve_until_signal(settings: &Settings, logger: &Logger) -> Result<bool, String> {
    // Signals are handled before the port opens, so that none is missed.
    let signals = Signals::new([SIGTERM, SIGINT]).map_err(|e: io::Error| e.to_string())?;
    let handle = signals.handle();
    let signals = forward_signals(signals).map_err(|e| e.to_string())?;
    let options = NodeOptions::new(settings.clone()).logger(logger.clone());
    let mut node = Node::start(options).map_err(|e| e.to_string())?;
    info!(logger, "serving"; "callers" => node.daemon().callers_address().to_string());
    let cause = flume::Selector::new()
        .recv(&signals, |signal| {
            format!("signal {}", signal.unwrap_or_default())
        })
        .recv(node.drain_requests(), |_| {
            "an operator asked for it".to_owned()
        })
        .wait();
    info!(logger, "draining"; "cause" => cause);
    let is_complete = node.shutdown(SHUTDOWN_TIMEOUT);
    handle.close();
    info!(logger, "stopped"; "whole" => is_complete);
    Ok(is_complete)
}

/// Forwards signals to a channel, so that a selector can wait for them and other causes.
fn forward_signals(mut signals: Signals) -> io::Result<flume::Receiver<i32>> {
    let (sender, receiver) = flume::unbounded();
    let thread = std::thread::Builder::new().name("signals".to_owned());
    thread.spawn(move || {
        for signal in signals.forever() {
            if sender.send(signal).is_err() {
                return;
            }
        }
    })?;
    Ok(receiver)
}
