//! Processor time of the daemon's threads, told apart from the bench's own by their names.

use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

use indexmap::IndexMap;

/// Names of the daemon's threads.
const DAEMON: [&str; 5] = ["door-", "call", "roster", "waker", "peers"];

/// The processor time of each of the daemon's threads at one moment.
pub struct Mark {
    nanos: IndexMap<PathBuf, (String, u64)>,
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

    /// Returns the time used since `before`, by the kind of thread.
    pub fn since(&self, before: &Self) -> IndexMap<&'static str, Duration> {
        let mut used = IndexMap::new();
        for (path, (name, nanos)) in &self.nanos {
            let earlier = before.nanos.get(path).map_or(0, |(_, nanos)| *nanos);
            let kind = DAEMON.iter().find(|d| name.starts_with(**d)).unwrap();
            let sum: &mut Duration = used.entry(*kind).or_default();
            *sum += Duration::from_nanos(nanos.saturating_sub(earlier));
        }
        used
    }

    /// Returns the time used since `before`.
    pub fn total_since(&self, before: &Self) -> Duration {
        self.since(before).values().sum()
    }
}

fn read(task: &Path) -> Option<(String, u64)> {
    let name = fs::read_to_string(task.join("comm")).ok()?;
    let is_daemon = DAEMON.iter().any(|d| name.starts_with(d));
    let times = fs::read_to_string(task.join("schedstat")).ok()?;
    let nanos = times.split(' ').next()?.parse().ok()?;
    is_daemon.then(|| (name.trim().to_owned(), nanos))
}
