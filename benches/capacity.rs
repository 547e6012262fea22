//! Slopes of the control plane at growing sizes; the sums are in
//! [the capacity page](../docs/CAPACITY.md).
//!
//! `cargo bench --bench capacity` prints a table, `-- --json` one JSON line a figure.

#![allow(missing_docs, clippy::unwrap_used, clippy::expect_used, clippy::panic)]

use gumdrop::Options;

#[path = "capacity/config.rs"]
mod config;
#[path = "capacity/gossip.rs"]
mod gossip;
#[path = "capacity/meter.rs"]
mod meter;
#[path = "capacity/night.rs"]
mod night;

use meter::Figure;

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, help = "given by cargo")]
    bench: bool,
    #[options(help = "one JSON line a figure")]
    json: bool,
    #[options(help = "the largest number of daemons", default = "400")]
    members: usize,
    #[options(help = "seconds of virtual time for gossip", default = "30")]
    seconds: u64,
    #[options(help = "runs of each random experiment", default = "2")]
    runs: u64,
    #[options(help = "run only figures whose name contains this")]
    only: Option<String>,
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let wants = |name: &str| {
        let only = arguments.only.as_deref();
        only.is_none_or(|o| name.contains(o))
    };
    let show = |figures: Vec<Figure>| {
        for figure in figures {
            figure.print(arguments.json);
        }
    };
    let sizes = [8, 50, 400].map(|n: usize| n.min(arguments.members));
    if wants("config") {
        show(config::figures());
    }
    if wants("endpoints") {
        show(night::endpoints());
    }
    if wants("upgrade") {
        show(night::upgrades());
    }
    for size in sizes {
        if wants("gossip") {
            show(gossip::quiet(size, arguments.seconds));
        }
        if wants("detection") {
            show(gossip::detection(size, arguments.runs));
        }
        if wants("mark") {
            show(gossip::marks(size, arguments.runs));
        }
        if wants("in-force") {
            show(gossip::in_force(size, arguments.runs));
        }
        if wants("zone-loss") {
            show(gossip::zone_loss(size));
        }
    }
}
