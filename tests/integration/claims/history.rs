//! Seeded histories of claims: several daemons and callers over the product's state machines,
//! with faults at each step, and the checks of what came of them.

pub mod check;
pub mod script;
pub mod world;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use script::Step;
use world::{Options, Truth, World};

/// One history in so many passes the retention of the log.
const LONG_EVERY: u64 = 8;

/// Draws the script of a seed.
pub fn draw(seed: u64) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    script::draw(&mut rng, seed.is_multiple_of(LONG_EVERY))
}

/// Plays a script.
pub fn play(script: &[Step], options: Options) -> Truth {
    World::new(script, options).play()
}

/// Plays and checks the history of a seed.
pub fn run(options: Options) -> Result<Truth, String> {
    let truth = play(&draw(options.seed), options);
    match check::check(&truth) {
        Ok(()) => Ok(truth),
        Err(reason) => Err(format!("seed {}: {reason}", options.seed)),
    }
}
