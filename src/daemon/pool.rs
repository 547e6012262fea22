//! Threads for blocking calls: bounded, and used again while calls follow each other.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// How long a thread waits for another call before it ends.
const IDLE: Duration = Duration::from_secs(10);
/// Bytes of a thread's stack; a call to an endpoint needs little.
const STACK_BYTES: usize = 256 * 1024;

/// Work that blocks.
pub type Job = Box<dyn FnOnce() + Send>;

/// A pool of threads.
pub struct ThreadPool {
    max: usize,
    idle: Arc<AtomicUsize>,
    live: Arc<AtomicUsize>,
    sender: flume::Sender<Job>,
    receiver: flume::Receiver<Job>,
}

impl ThreadPool {
    /// Makes a pool of at most `max` threads, none of which is started yet.
    pub fn new(max: usize) -> Self {
        let (sender, receiver) = flume::unbounded();
        Self {
            max,
            idle: Arc::default(),
            live: Arc::default(),
            sender,
            receiver,
        }
    }

    /// Returns the number of threads.
    pub fn threads(&self) -> usize {
        self.live.load(Ordering::Relaxed)
    }

    /// Runs a job at once on a thread of its own; gives it back when all threads are busy.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        if self.take_idle() {
            return self.sender.send(job).map_err(|e| e.0);
        }
        let live = self.live.fetch_add(1, Ordering::Relaxed);
        if live >= self.max {
            self.live.fetch_sub(1, Ordering::Relaxed);
            return Err(job);
        }
        self.start(job)
    }

    /// Claims an idle thread, which will take the next job that is sent.
    fn take_idle(&self) -> bool {
        let claim = |idle: usize| idle.checked_sub(1);
        let order = Ordering::AcqRel;
        self.idle
            .fetch_update(order, Ordering::Acquire, claim)
            .is_ok()
    }

    fn start(&self, job: Job) -> Result<(), Job> {
        let worker = Worker {
            idle: self.idle.clone(),
            live: self.live.clone(),
            receiver: self.receiver.clone(),
        };
        // The job is handed over by the channel, so that it comes back when no thread starts.
        let (first, taken) = flume::bounded::<Job>(1);
        let spawned = std::thread::Builder::new()
            .name("call".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                if let Ok(job) = taken.recv() {
                    worker.serve(job);
                }
            });
        match spawned {
            Ok(_) => first.send(job).map_err(|e| e.0),
            Err(_) => {
                self.live.fetch_sub(1, Ordering::Relaxed);
                Err(job)
            }
        }
    }
}

struct Worker {
    idle: Arc<AtomicUsize>,
    live: Arc<AtomicUsize>,
    receiver: flume::Receiver<Job>,
}

impl Worker {
    fn serve(&self, first: Job) {
        first();
        loop {
            self.idle.fetch_add(1, Ordering::AcqRel);
            match self.receiver.recv_timeout(IDLE) {
                Ok(job) => job(),
                Err(flume::RecvTimeoutError::Timeout) if !self.leave() => {
                    // A job was sent to this thread in the same moment.
                    match self.receiver.recv() {
                        Ok(job) => job(),
                        Err(_) => return,
                    }
                }
                Err(_) => return,
            }
        }
    }

    /// Stops being idle; false when a job has been promised to this thread.
    fn leave(&self) -> bool {
        let claim = |idle: usize| idle.checked_sub(1);
        let order = Ordering::AcqRel;
        let left = self
            .idle
            .fetch_update(order, Ordering::Acquire, claim)
            .is_ok();
        if left {
            self.live.fetch_sub(1, Ordering::Relaxed);
        }
        left
    }
}
