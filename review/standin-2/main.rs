//! Runs one case of the review: `rig CASE FOLDER`, in the repository. It writes `record.txt` in the folder, and exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. `rig engine ...` is an endpoint.

mod cases;
mod engine;
mod http;
mod proxy;
mod rig;
mod store;
mod system;

use std::process::exit;

use rig::Rig;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [verb, rest @ ..] = &arguments[..] else {
        exit(2);
    };
    if verb == "engine" {
        let ran = engine::Options::parse(rest).map(engine::run);
        exit(i32::from(!matches!(ran, Some(Ok(())))) * 2);
    }
    let Some(rig) = rest.first().and_then(|folder| Rig::start(folder).ok()) else {
        exit(2);
    };
    let verdict = cases::run(verb, &rig);
    let code = match verdict {
        Ok(true) => {
            rig.record.note("the rule was broken");
            1
        }
        Ok(false) => {
            rig.record.note("the rule held");
            0
        }
        Err(error) => {
            rig.record.note(format!("the case could not run: {error}"));
            2
        }
    };
    drop(rig);
    exit(code);
}
