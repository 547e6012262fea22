//! Runs jobs at their intended starts, whether or not earlier ones have ended.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Bytes of stack for each worker, which only waits for an exchange.
const STACK_BYTES: usize = 512 * 1024;

/// Runs `job` for each arrival and returns, in order of arrival, its latency and its result.
///
/// At most `workers` run at once. When all are busy the next job starts late; its latency counts
/// from the intended start all the same.
pub fn drive<T: Send>(
    arrivals: &[Duration],
    workers: usize,
    job: &(dyn Fn(usize) -> T + Sync),
) -> Vec<(Duration, T)> {
    let start = Instant::now();
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::with_capacity(arrivals.len()));
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(due) = arrivals.get(index).map(|at| start + *at) else {
                return;
            };
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let result = job(index);
            results.lock().push((index, due.elapsed(), result));
        }
    };
    thread::scope(|scope| {
        for _ in 0..workers.min(arrivals.len()) {
            let worker = thread::Builder::new().stack_size(STACK_BYTES);
            // With fewer threads than wanted the rest do the work.
            if worker.spawn_scoped(scope, work).is_err() {
                break;
            }
        }
    });
    let mut results = results.into_inner();
    results.sort_by_key(|(index, ..)| *index);
    results.into_iter().map(|(_, l, r)| (l, r)).collect()
}
