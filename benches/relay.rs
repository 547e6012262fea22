//! What a daemon costs its callers: time to first token and token gap beside a direct call,
//! tokens and requests per core-second, bytes and latency of a stage across the regional link.
//!
//! `cargo bench --bench relay -- --help` lists the options.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

#[path = "relay/bare.rs"]
mod bare;
#[path = "relay/caller.rs"]
mod caller;
#[path = "relay/cost.rs"]
mod cost;
#[path = "relay/engine.rs"]
mod engine;
#[path = "relay/link.rs"]
mod link;
#[path = "relay/stream.rs"]
mod stream;

use gumdrop::Options;
use serde::Serialize;

/// The options of the bench.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, help = "print one JSON line, last")]
    json: bool,
    #[options(no_short, default = "300", help = "streams at the same time")]
    streams: usize,
    #[options(no_short, default = "27500", help = "tokens a second of the paced run")]
    rate: u64,
    #[options(no_short, default = "6", help = "seconds of the paced run")]
    seconds: u64,
    #[options(no_short, default = "200", help = "requests of each other measurement")]
    requests: usize,
    #[options(no_short, help = "given by cargo; changes nothing")]
    bench: bool,
}

/// All that is measured.
#[derive(Debug, Serialize)]
struct Report {
    streams: usize,
    first_token_us: Added,
    token_gap_us: Added,
    paced: stream::Throughput,
    bare_tokens_per_core_second: f64,
    unpaced: stream::Throughput,
    requests_per_core_second: f64,
    link: link::Report,
}

/// Microseconds through the daemon and directly, in the same run.
#[derive(Debug, Serialize)]
struct Added {
    daemon_p50: u64,
    daemon_p99: u64,
    direct_p50: u64,
    direct_p99: u64,
}

impl Added {
    fn new(daemon: &caller::Times, direct: &caller::Times) -> Self {
        Self {
            daemon_p50: daemon.value_at_quantile(0.5),
            daemon_p99: daemon.value_at_quantile(0.99),
            direct_p50: direct.value_at_quantile(0.5),
            direct_p99: direct.value_at_quantile(0.99),
        }
    }

    fn print(&self, name: &str) {
        println!(
            "{name:<22} daemon p50 {:>6} us p99 {:>6} us   direct p50 {:>6} us p99 {:>6} us   \
             added p50 {:>5} us p99 {:>5} us",
            self.daemon_p50,
            self.daemon_p99,
            self.direct_p50,
            self.direct_p99,
            self.daemon_p50.saturating_sub(self.direct_p50),
            self.daemon_p99.saturating_sub(self.direct_p99),
        );
    }
}

fn main() {
    let arguments = Arguments::parse_args_default_or_exit();
    let (first_token_us, token_gap_us) = stream::latency(arguments.requests);
    first_token_us.print("time to first token");
    token_gap_us.print("gap between tokens");
    let paced = stream::paced(arguments.streams, arguments.rate, arguments.seconds);
    paced.print("paced");
    let bare = stream::bare(arguments.streams, arguments.rate, arguments.seconds);
    println!("bare relay, same pace   {bare:.0} tokens a core-second");
    let unpaced = stream::unpaced(arguments.streams);
    unpaced.print("as fast as it goes");
    let requests_per_core_second = stream::requests(arguments.requests);
    println!("plain requests         {requests_per_core_second:.0} a core-second");
    let link = link::measure(arguments.requests);
    link.print();
    let report = Report {
        streams: arguments.streams,
        first_token_us,
        token_gap_us,
        paced,
        bare_tokens_per_core_second: bare,
        unpaced,
        requests_per_core_second,
        link,
    };
    if arguments.json {
        println!("{}", serde_json::to_string(&report).unwrap());
    }
}
