//! Stand-ins for clients, endpoints and the platform, and the cases that use them.
//! usage: standin CASE FOLDER, from the repository's root

mod client;
mod daemon;
mod engine;
mod http;
mod json;
mod link;
mod random;
mod record;
mod store;

mod carrier;
mod copy;
mod endless;
mod late_answer;
mod versions;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    Invalid,
}

/// The surroundings of a case.
pub struct Stage {
    /// The folder of the record.
    pub folder: PathBuf,
    /// For settings and output of processes.
    pub temporary: PathBuf,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let temporary = std::env::var_os("CASE_TEMPORARY").map(PathBuf::from);
    let stage = Stage {
        folder: folder.into(),
        temporary: temporary.unwrap_or_else(std::env::temp_dir),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "carrier-killed" => carrier::run(&stage, daemon::SIGKILL),
        "carrier-stopped" => carrier::run(&stage, daemon::SIGTERM),
        "copy" => copy::run(&stage),
        "endless" => endless::run(&stage),
        "versions" => versions::run(&stage),
        "late-answer" => late_answer::run(&stage),
        _ => Verdict::Invalid,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::Invalid => ExitCode::from(2),
    }
}
