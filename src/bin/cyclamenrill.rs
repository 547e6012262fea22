//! Entry point of the operators' command line.

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(cyclamenrill::operate::command::run(&arguments));
}
