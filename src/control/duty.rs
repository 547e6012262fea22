//! The thread that writes checkpoints and expiries when it is this daemon's turn.

use std::time::Duration;

use super::budget::Class;
use super::shared::Shared;
use crate::config::duty;
use crate::config::edit::Appended;
use crate::config::record::Record;
use crate::timeline::Kind;

/// Interval between checks for due records.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Wait for an appended record to show in the stream, before the append is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_secs(15);

/// Writes due records until control stops.
pub(super) fn run(shared: &Shared) {
    let mut next_check = Duration::ZERO;
    while !shared.sleep(CHECK_INTERVAL) {
        let now = shared.clock.now();
        if now < next_check || !shared.tail.lock().is_fresh(now) {
            continue;
        }
        for record in due_records(shared) {
            next_check = now + REPEAT_INTERVAL;
            if shared.append(Class::Background, &record) == Appended::Done {
                shared.record(Kind::Config, None, "wrote a checkpoint or expiry");
            }
        }
    }
}

fn due_records(shared: &Shared) -> Vec<Record> {
    let live = shared
        .live()
        .into_iter()
        .map(|p| p.daemon)
        .collect::<Vec<_>>();
    let tail = shared.tail.lock();
    let fold = tail.fold();
    if fold.next_offset() == 0 {
        return Vec::new();
    }
    let delay = |what| duty::delay(what, fold.revision(), &shared.me, &live);
    let now_ms = shared.wall_ms();
    let delayed_now_ms = |what| now_ms.saturating_sub(millis(delay(what)));
    let retention = Duration::from_millis(shared.settings.claims.retention_ms);
    let checkpoint_due_ms =
        duty::checkpoint_due(tail.checkpoint_written_ms(), shared.started_ms, retention);
    let mut records = duty::expiry_records(fold, delayed_now_ms("expire"), &shared.me);
    if delayed_now_ms("checkpoint") >= checkpoint_due_ms {
        let attempt = uuid::Uuid::new_v4().to_string();
        records.extend(duty::checkpoint_record(fold, attempt, now_ms, &shared.me));
    }
    records
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
