//! A bounded pool of threads for blocking calls, which reuses idle threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// How long an idle thread waits for a job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a thread; a call to an endpoint needs little.
const STACK_BYTES: usize = 256 * 1024;

/// A blocking job.
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
    /// Creates a pool of at most `max` threads, which are started on demand.
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

    /// Runs a job immediately on an idle or new thread; returns it when all threads are busy.
    pub fn run(&self, job: Job) -> Result<(), Job> {
        if self.reserve_idle() {
            return self.sender.send(job).map_err(|e| e.0);
        }
        let live = self.live.fetch_add(1, Ordering::Relaxed);
        if live >= self.max {
            self.live.fetch_sub(1, Ordering::Relaxed);
            return Err(job);
        }
        self.start(job)
    }

    /// Reserves an idle thread for the next job that is sent; returns whether there is one.
    fn reserve_idle(&self) -> bool {
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
        // The job goes through a channel, so that it can be returned when no thread starts.
        let (first, received) = flume::bounded::<Job>(1);
        let spawned = std::thread::Builder::new()
            .name("call".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                if let Ok(job) = received.recv() {
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
            match self.receiver.recv_timeout(IDLE_TIMEOUT) {
                Ok(job) => job(),
                Err(flume::RecvTimeoutError::Timeout) if !self.retire() => {
                    // A job has been reserved for this thread since the timeout.
                    match self.receiver.recv() {
                        Ok(job) => job(),
                        Err(_) => return,
                    }
                }
                Err(_) => return,
            }
        }
    }

    /// Ends the idle state; returns whether the thread may end, because no job has reserved it.
    fn retire(&self) -> bool {
        let claim = |idle: usize| idle.checked_sub(1);
        let order = Ordering::AcqRel;
        let is_unreserved = self
            .idle
            .fetch_update(order, Ordering::Acquire, claim)
            .is_ok();
        if is_unreserved {
            self.live.fetch_sub(1, Ordering::Relaxed);
        }
        is_unreserved
    }
}
