//! Seeded histories: daemons lose the log and find it again, are killed, and the log goes back to a copy.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

const DAEMONS: usize = 6;
const LENGTH: usize = 40;
/// The daemons that may be lost, with all that they keep.
const MAX_DEAD: usize = 2;
/// The time in which a record gets to the log or to enough other daemons.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Plays a history; the first daemon always reaches the log but while it is away for all.
async fn play(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let (daemons, shared) = start(DAEMONS);
    let (mut begun, mut dead) = (Vec::new(), 0);
    for step in 0..LENGTH {
        let index = random.random_range(1..DAEMONS);
        let daemon = &daemons[index];
        match random.random_range(0..10) {
            0..5 if !daemon.is_dead.get() => {
                begun.extend(begin(daemon, &format!("{step}"), 3).await);
            }
            5..8 if !daemon.is_dead.get() => {
                let slow = Reach::After(Duration::from_millis(random.random_range(4..1_300)));
                let reach = [Reach::Cut, Reach::Refused, slow, CALM][random.random_range(0..4)];
                daemon.view.reach.set(reach);
            }
            8 if dead < MAX_DEAD && !daemon.is_dead.get() => {
                tokio::time::sleep(SETTLE_TIME).await;
                daemon.kill();
                dead += 1;
            }
            9 => {
                // It is away for all, and may come back from a copy.
                let reaches: Vec<Reach> = daemons
                    .iter()
                    .map(|daemon| daemon.view.reach.get())
                    .collect();
                daemons
                    .iter()
                    .for_each(|daemon| daemon.view.reach.set(Reach::Cut));
                tokio::time::sleep(random.random_range(1..6) * HALF_SECOND).await;
                if random.random_bool(0.3) && dead == 0 {
                    let kept = shared.batches.borrow().len().saturating_sub(2);
                    shared.batches.borrow_mut().truncate(kept);
                    shared.epoch.set(shared.epoch.get() + 1);
                    for daemon in daemons.iter().filter(|daemon| !daemon.is_dead.get()) {
                        daemon.origins.log_went_back(shared.epoch.get());
                    }
                }
                for (daemon, reach) in daemons.iter().zip(reaches) {
                    daemon.view.reach.set(reach);
                }
            }
            _ => tokio::time::sleep(random.random_range(1..500) * Duration::from_millis(1)).await,
        }
    }
    tokio::time::sleep(3 * SECOND).await;
    // Those that are older may be forgotten.
    let recent: Vec<_> = begun.split_off(begun.len().saturating_sub(30));
    let count = found(&daemons[0], &recent).await;
    assert_eq!(count, recent.len(), "seed {seed}");
}

/// Guards against streams that are lost, or go on elsewhere, after any order of cuts, ends and returns from a copy.
#[test]
fn streams_lost_in_some_order_of_troubles() {
    let seeds = std::env::var("CYCLAMENRILL_TEST_SEEDS").ok();
    let seeds = seeds.map_or(50, |seeds| seeds.parse().expect("a number"));
    for seed in 0..seeds {
        on_paused_time(|| async move { play(seed).await });
    }
}
