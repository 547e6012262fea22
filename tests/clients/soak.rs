//! Crowds of all kinds, one over another in an order that a seed chooses, and the stop of the daemon under them.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::crowd::{Crowd, Shape};
use super::daemon::{self, Daemon, Limits};
use super::{KEY, check, send_longest};

/// Other seeds are played by hand: `CYCLAMENRILL_SEEDS=0..50`.
const SEEDS: std::ops::Range<u64> = 0..5;
const ROUNDS: usize = 6;
const LIMITS: Limits = Limits {
    memory_mb: 96,
    max_fds: 600,
};
const SHAPES: [Shape; 5] = [
    Shape::Length,
    Shape::Pieces,
    Shape::Chunk,
    Shape::Announced,
    Shape::Endless,
];

fn seeds() -> std::ops::Range<u64> {
    let text = std::env::var("CYCLAMENRILL_SEEDS").ok();
    let range = text.as_deref().and_then(|text| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    range.unwrap_or(SEEDS)
}

/// Guards against what one kind of crowd leaves behind for the next.
#[test]
fn crowds_in_any_order_bounded() {
    let _lock = daemon::lock();
    for seed in seeds() {
        println!("seed {seed}");
        play(&mut ChaCha8Rng::seed_from_u64(seed));
    }
}

fn play(random: &mut ChaCha8Rng) {
    let mut daemon = Daemon::start(LIMITS);
    let mut crowds: Vec<Crowd> = Vec::new();
    for _ in 0..ROUNDS {
        let key = if random.random_bool(0.7) { KEY } else { "" };
        let count = random.random_range(5..40);
        let crowd = match random.random_range(0..10) {
            0 => Crowd::connect(daemon.front, 5 * count),
            1 => Crowd::pipeline(daemon.front, 3 * count, key),
            2 => Crowd::begin_heads(daemon.front, 3 * count),
            3 => Crowd::send(daemon.front, count / 8 + 1, Shape::TinyChunks, key),
            _ => {
                let shape = SHAPES[random.random_range(0..SHAPES.len())];
                Crowd::send(daemon.front, count, shape, key)
            }
        };
        crowds.push(crowd);
        check(&mut daemon);
        while !crowds.is_empty() && random.random_bool(0.4) {
            let crowd = crowds.swap_remove(random.random_range(0..crowds.len()));
            if random.random_bool(0.5) {
                crowd.reset();
            }
        }
    }
    let longest = send_longest(&daemon);
    assert_eq!(longest.status, 200, "the longest body is served beside all");
    daemon.check();
    // It ends in its grace, whoever is still connected.
    daemon.stop();
}
