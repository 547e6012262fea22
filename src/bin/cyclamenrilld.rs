//! The daemon's program; the library does the work.

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(cyclamenrill::node::program::run(&arguments));
}
