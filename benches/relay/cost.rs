//! Processor time of the daemon's threads or the bare relay's, told apart from the bench's own by their names.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use indexmap::IndexMap;

/// Names of the daemon's threads.
const DAEMON: [&str; 7] = [
    "door-",
    "call",
    "roster",
    "engines",
    "waker",
    "peers",
    crate::bare::NAME,
];

/// The processor time of each of the daemon's threads at one moment.
pub struct Mark {
    nanos: IndexMap<PathBuf, u64>,
}

impl Mark {
    /// Reads the times.
    pub fn now() -> Self {
        let tasks = fs::read_dir("/proc/self/task").unwrap();
        let nanos = tasks.filter_map(|task| {
            let path = task.ok()?.path();
            let read = read(&path)?;
            Some((path, read))
        });
        Self {
            nanos: nanos.collect(),
        }
    }

    /// Returns the time used since `before`; a thread that has ended is left out.
    pub fn total_since(&self, before: &Self) -> Duration {
        let used = self.nanos.iter().map(|(path, nanos)| {
            let earlier = before.nanos.get(path).copied().unwrap_or(0);
            nanos.saturating_sub(earlier)
        });
        Duration::from_nanos(used.sum())
    }
}

fn read(task: &Path) -> Option<u64> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    let is_daemon = DAEMON.iter().any(|d| name.starts_with(d));
    let times = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos = times.split(' ').next()?.parse().ok()?;
    is_daemon.then_some(nanos)
}
