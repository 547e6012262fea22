//! The thread that writes checkpoints and expiries when it is this daemon's turn.

use std::time::Duration;

use super::budget::Class;
use super::shared::Shared;
use crate::config::duty;
use crate::config::edit::Appended;
use crate::config::record::Record;
use crate::timeline::Kind;

/// How often the duties are looked at.
const EVERY: Duration = Duration::from_secs(1);

/// How long an append is given to show in the stream before it is made again.
const REPEAT: Duration = Duration::from_secs(15);

/// Does the duties until control stops.
pub(super) fn run(shared: &Shared) {
    let mut next = Duration::ZERO;
    while !shared.sleep(EVERY) {
        let now = shared.clock.now();
        if now < next || !shared.tail.lock().is_fresh(now) {
            continue;
        }
        for record in due(shared) {
            next = now + REPEAT;
            if shared.append(Class::Rest, &record) == Appended::Done {
                shared.record(Kind::Config, None, "wrote a checkpoint or expiry");
            }
        }
    }
}

fn due(shared: &Shared) -> Vec<Record> {
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
    let now = shared.wall_ms();
    let since = |what| now.saturating_sub(millis(delay(what)));
    let retention = Duration::from_millis(shared.settings.claims.retention_ms);
    let at = duty::checkpoint_due(tail.checkpoint_written_ms(), shared.started_ms, retention);
    let mut records = duty::expiry_records(fold, since("expire"), &shared.me);
    if since("checkpoint") >= at {
        let attempt = uuid::Uuid::new_v4().to_string();
        records.extend(duty::checkpoint_record(fold, attempt, now, &shared.me));
    }
    records
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
