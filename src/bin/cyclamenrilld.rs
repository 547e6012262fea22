//! Entry point of the daemon.

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(cyclamenrill::node::program::run(&arguments));
}
