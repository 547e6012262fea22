//! The command line of the stand-ins, which runs any of them as its own process.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use gumdrop::Options;
use serde::Serialize;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::control::Control;
use super::deployment::Deployment;
use super::fleet::Fleet;
use super::node::{Commons, Node};
use super::profile::Profile;
use crate::id;
use crate::platform::{Role, Vm};
use crate::settings::Kind;

/// The exit code after a failure.
const FAILURE: i32 = 1;
/// The exit code after wrong arguments.
const USAGE: i32 = 2;
/// How often a stand-in looks whether it is to end.
const STOP_CHECK: Duration = Duration::from_millis(50);

const EXAMPLES: &str = "
Examples:
  cyclamenrill-standin fleet --listen 127.0.0.1:7000 --deployment poldmaa \\
      --daemon entry-1,127.0.0.1:8082,tallinn-a
  cyclamenrill-standin endpoint --listen 127.0.0.1:7200 --kind engine --version menu-v1

A stand-in serves until SIGTERM arrives.
";

/// Plays the platform and endpoints on one machine.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "play the platform and all endpoints of a deployment")]
    Fleet(FleetArguments),
    #[options(help = "play one endpoint")]
    Endpoint(EndpointArguments),
}

#[derive(Debug, Options)]
struct FleetArguments {
    #[options(help = "print help")]
    help: bool,
    #[options(
        meta = "IP:PORT",
        default = "127.0.0.1:7000",
        help = "where log, roster, weights, journal and faults are served \
                (default 127.0.0.1:7000); endpoints take free ports"
    )]
    listen: String,
    #[options(
        meta = "NAME",
        default = "poldmaa",
        help = "poldmaa (default), vijesti or both"
    )]
    deployment: String,
    #[options(
        no_short,
        meta = "NAME,IP:PORT,ZONE",
        help = "a daemon for the list of VMs, with its peers' address; may be repeated"
    )]
    daemon: Vec<Entry>,
    #[options(meta = "N", default = "1", help = "seed (default 1)")]
    seed: u64,
}

#[derive(Debug, Options)]
struct EndpointArguments {
    #[options(help = "print help")]
    help: bool,
    #[options(
        meta = "IP:PORT",
        default = "127.0.0.1:0",
        help = "where it listens (default: a free port)"
    )]
    listen: String,
    #[options(
        meta = "NAME",
        default = "endpoint-1",
        help = "its id (default endpoint-1)"
    )]
    id: String,
    #[options(
        meta = "KIND",
        default = "service",
        help = "encoder, retriever, reranker, engine or service (default)"
    )]
    kind: String,
    #[options(no_short, meta = "VERSION", help = "a model version that it serves")]
    version: Vec<String>,
    #[options(no_short, help = "take orders with an old fencing token")]
    ignore_fencing: bool,
}

/// A daemon as the list of VMs shows it.
#[derive(Debug)]
struct Entry {
    name: String,
    address: SocketAddr,
    zone: String,
}

impl FromStr for Entry {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let [name, address, zone]: [&str; 3] = text
            .split(',')
            .collect::<Vec<_>>()
            .try_into()
            .map_err(|_| format!("`{text}` is not NAME,IP:PORT,ZONE"))?;
        let address = address.parse();
        Ok(Self {
            name: name.to_owned(),
            address: address.map_err(|_| format!("`{text}` has no IP:PORT"))?,
            zone: zone.to_owned(),
        })
    }
}

impl Entry {
    fn vm(&self) -> Vm {
        Vm {
            id: self.name.as_str().into(),
            role: Role::Daemon,
            address: self.address.to_string(),
            zone: self.zone.as_str().into(),
            pool: None,
            leaving: false,
        }
    }
}

/// The first line that a fleet prints.
#[derive(Serialize)]
struct Places {
    log: String,
    roster: String,
    weights: String,
    journal: String,
    faults: String,
    endpoints: usize,
}

/// Runs the program and returns its exit code.
pub fn run(arguments: &[String]) -> i32 {
    let parsed = match Arguments::parse_args_default(arguments) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("cyclamenrill-standin: {error}; see `cyclamenrill-standin --help`");
            return USAGE;
        }
    };
    if parsed.help_requested() {
        return help(&parsed);
    }
    let result = match &parsed.command {
        Some(Command::Fleet(arguments)) => fleet(arguments),
        Some(Command::Endpoint(arguments)) => endpoint(arguments),
        None => return help(&parsed),
    };
    match result {
        Ok(()) => 0,
        Err(reason) => {
            eprintln!("cyclamenrill-standin: {reason}");
            FAILURE
        }
    }
}

fn help(parsed: &Arguments) -> i32 {
    println!("Usage: cyclamenrill-standin COMMAND [OPTIONS]\n");
    match &parsed.command {
        Some(command) => println!("{}", command.self_usage()),
        None => println!(
            "{}\n\n{}",
            Arguments::usage(),
            Arguments::command_list().unwrap_or_default()
        ),
    }
    println!("{EXAMPLES}");
    0
}

fn fleet(arguments: &FleetArguments) -> Result<(), String> {
    let listen: SocketAddr = arguments
        .listen
        .parse()
        .map_err(|_| format!("`{}` is not IP:PORT", arguments.listen))?;
    let deployment = Deployment::find(&arguments.deployment).map_err(|e| e.to_string())?;
    let fleet = Fleet::start(&deployment, listen.ip(), arguments.seed);
    let fleet = fleet.map_err(|e| e.to_string())?;
    let roster = &fleet.platform.roster;
    roster.change(|list| list.extend(arguments.daemon.iter().map(Entry::vm)));
    roster.skip_lag();
    let injector = Arc::new(fleet.clone());
    let control = Control::start(&arguments.listen, fleet.clone(), injector);
    let control = control.map_err(|e| e.to_string())?;
    let pools = deployment.settings.pools.iter();
    let places = Places {
        log: control.url("log"),
        roster: control.url("roster"),
        weights: control.url("weights"),
        journal: control.url("journal"),
        faults: control.url("faults"),
        endpoints: pools.map(|p| fleet.endpoints(&p.name).len()).sum(),
    };
    println!("{}", serde_json::to_string(&places).unwrap_or_default());
    wait_for_signal()
}

fn kind(name: &str) -> Result<Kind, String> {
    name.parse()
        .map_err(|_| format!("`{name}` is not a kind of endpoint; see --help"))
}

fn endpoint(arguments: &EndpointArguments) -> Result<(), String> {
    let profile = Profile::of(kind(&arguments.kind)?).checks_fencing(!arguments.ignore_fencing);
    let versions = arguments.version.iter().map(|v| id::Version::from(&**v));
    let node = Node::start(
        &arguments.listen,
        &arguments.id,
        profile,
        versions.collect(),
        Commons::default(),
    );
    let node = node.map_err(|e| format!("{}: {e}", arguments.listen))?;
    println!("{}", node.address());
    wait_for_signal()
}

fn wait_for_signal() -> Result<(), String> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(|e| e.to_string())?;
    }
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(STOP_CHECK);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
