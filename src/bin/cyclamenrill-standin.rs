//! Entry point of the stand-ins' program.

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    std::process::exit(cyclamenrill::standin::command::run(&arguments));
}
