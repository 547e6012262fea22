//! What happens in one history: requests and faults, with the time between them.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Daemons in a world.
pub const DAEMONS: usize = 3;
/// Keys that the callers use.
pub const KEYS: usize = 3;

/// What goes wrong with the next append.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Append {
    /// It is refused without an effect.
    Refused,
    /// It is lost, and nobody is told.
    LostBefore,
    /// It has its effect, and the answer is lost.
    LostAfter,
    /// It has its effect long after it was given up.
    Late,
}

/// How the next run at an endpoint goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Run {
    /// The endpoint refuses before it begins.
    Refused,
    /// It runs, and the answer is lost.
    LostAfter,
    /// The call is lost before it runs, and nobody is told.
    LostBefore,
    /// It runs, and a later stage fails.
    Partial,
    /// It runs for long.
    Slow,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// A caller sends a key to a daemon, perhaps with another body.
    Send {
        key: usize,
        daemon: usize,
        other_body: bool,
    },
    /// A daemon dies and a new one takes its place.
    Crash(usize),
    /// A daemon stops for a time without knowing.
    Pause(usize, Duration),
    /// The log fails for a time.
    Outage(Duration),
    /// Reads see the log as it was, for a time.
    StaleReads(Duration),
    /// The next append goes wrong.
    Append(Append),
    /// The next run goes wrong.
    Run(Run),
    /// Messages between a daemon and the others are lost for a time.
    Cut(usize, Duration),
    /// The others do not see a daemon that lives, for a time.
    Missing(usize, Duration),
    /// Nothing happens.
    Nothing,
}

/// A thing that happens so long after the one before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    pub after: Duration,
    pub what: What,
}

fn ms(rng: &mut ChaCha8Rng, most: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=most))
}

fn fault(rng: &mut ChaCha8Rng, is_long: bool) -> What {
    let daemon = rng.random_range(0..DAEMONS);
    match rng.random_range(0..12) {
        0 => What::Crash(daemon),
        1 => What::Pause(daemon, ms(rng, if is_long { 500_000 } else { 15_000 })),
        2 => What::Outage(ms(rng, 5_000)),
        3 => What::StaleReads(ms(rng, 1_000)),
        4 => What::Append(Append::Refused),
        5 => What::Append(Append::LostBefore),
        6 => What::Append(Append::LostAfter),
        7 => What::Append(Append::Late),
        8 => What::Cut(daemon, ms(rng, 4_000)),
        9 => What::Missing(daemon, ms(rng, 20_000)),
        10 => What::Run(match rng.random_range(0..5) {
            0 => Run::Refused,
            1 => Run::LostAfter,
            2 => Run::LostBefore,
            3 => Run::Partial,
            _ => Run::Slow,
        }),
        _ => What::Nothing,
    }
}

/// Draws a script; a long one passes the retention of the log and the window of the keys.
pub fn draw(rng: &mut ChaCha8Rng, is_long: bool) -> Vec<Step> {
    let count = rng.random_range(4..24);
    (0..count)
        .map(|_| {
            let what = if rng.random_bool(0.5) {
                What::Send {
                    key: rng.random_range(0..KEYS),
                    daemon: rng.random_range(0..DAEMONS),
                    other_body: rng.random_bool(0.1),
                }
            } else {
                fault(rng, is_long)
            };
            let jump = is_long && rng.random_bool(0.25);
            let after = ms(rng, if jump { 240_000 } else { 600 });
            Step { after, what }
        })
        .collect()
}
