//! The calls that run and wait at a stand-in endpoint, and what ends them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::{Condvar, Mutex, MutexGuard};

use crate::clock::{Clock, Time};
use crate::id;
use crate::standin::profile::Profile;

/// Changes of load that are remembered for reports with a lag.
const REMEMBERED: usize = 4_096;

/// Why a call does not go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// It did not begin: the queue is full, or its time ran out there.
    Refused(&'static str),
    /// It did not begin: the endpoint is leaving.
    Leaving,
    /// It was cancelled.
    Cancelled,
    /// The endpoint died.
    Dead,
}

type Call = (id::Request, id::Attempt);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting(u8),
    Running,
}

struct Sample {
    at: Time,
    running: u32,
    waiting: u32,
}

struct State {
    calls: IndexMap<Call, Phase>,
    cancelled: Vec<Call>,
    history: VecDeque<Sample>,
    factor: f64,
    is_dead: bool,
    is_leaving: bool,
}

impl State {
    fn running(&self) -> u32 {
        let running = self.calls.values().filter(|p| **p == Phase::Running);
        u32::try_from(running.count()).unwrap_or(u32::MAX)
    }

    fn waiting(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX) - self.running()
    }

    /// Returns the waiting call of the best priority, the oldest among equals.
    fn head(&self) -> Option<Call> {
        let waiting = self.calls.iter().filter_map(|(call, phase)| match phase {
            Phase::Waiting(priority) => Some((*priority, *call)),
            Phase::Running => None,
        });
        waiting.min_by_key(|(p, _)| *p).map(|(_, call)| call)
    }

    fn sample(&mut self, at: Time) {
        let sample = Sample {
            at,
            running: self.running(),
            waiting: self.waiting(),
        };
        self.history.push_back(sample);
        if self.history.len() > REMEMBERED {
            self.history.pop_front();
        }
    }

    fn stop(&self, call: Call) -> Option<Stop> {
        if self.is_dead {
            Some(Stop::Dead)
        } else if self.cancelled.contains(&call) {
            Some(Stop::Cancelled)
        } else {
            None
        }
    }
}

/// The calls of one endpoint.
pub(super) struct Batch {
    clock: Arc<dyn Clock>,
    slots: u32,
    queue: u32,
    state: Mutex<State>,
    changed: Condvar,
}

impl Batch {
    pub(super) fn new(profile: &Profile, clock: Arc<dyn Clock>) -> Self {
        let state = State {
            calls: IndexMap::new(),
            cancelled: Vec::new(),
            history: VecDeque::new(),
            factor: 1.0,
            is_dead: false,
            is_leaving: false,
        };
        Self {
            clock,
            slots: profile.slots,
            queue: profile.queue,
            state: Mutex::new(state),
            changed: Condvar::new(),
        }
    }

    fn edit(&self, edit: impl FnOnce(&mut State)) {
        edit(&mut self.state.lock());
        self.changed.notify_all();
    }

    pub(super) fn die(&self) {
        self.edit(|s| s.is_dead = true);
    }

    pub(super) fn is_dead(&self) -> bool {
        self.state.lock().is_dead
    }

    pub(super) fn leave(&self) {
        self.edit(|s| s.is_leaving = true);
    }

    pub(super) fn slow_down(&self, factor: f64) {
        self.edit(|s| s.factor = factor);
    }

    pub(super) fn cancel(&self, request: id::Request, attempt: id::Attempt) {
        self.edit(|s| {
            if s.calls.contains_key(&(request, attempt)) {
                s.cancelled.push((request, attempt));
            }
        });
    }

    /// Returns the calls that ran and waited at a time in the past.
    pub(super) fn load_before(&self, at: Time) -> (u32, u32) {
        let state = self.state.lock();
        let sample = state.history.iter().rev().find(|s| s.at <= at);
        sample.map_or((0, 0), |s| (s.running, s.waiting))
    }

    /// Waits for a slot until `deadline`.
    pub(super) fn enter(&self, call: Call, priority: u8, deadline: Time) -> Result<Slot<'_>, Stop> {
        let mut state = self.state.lock();
        if state.is_leaving {
            return Err(Stop::Leaving);
        }
        if state.waiting() >= self.queue {
            return Err(Stop::Refused("the queue is full"));
        }
        if state.calls.contains_key(&call) {
            return Err(Stop::Refused("the call runs already"));
        }
        state.calls.insert(call, Phase::Waiting(priority));
        let slot = Slot { batch: self, call };
        let result = self.wait_turn(&mut state, call, deadline);
        drop(state);
        result.map(|()| slot)
    }

    fn wait_turn(
        &self,
        state: &mut MutexGuard<'_, State>,
        call: Call,
        deadline: Time,
    ) -> Result<(), Stop> {
        loop {
            if let Some(stop) = state.stop(call) {
                return Err(stop);
            }
            let now = self.clock.now();
            if now >= deadline {
                return Err(Stop::Refused("its time ran out in the queue"));
            }
            if state.running() < self.slots && state.head() == Some(call) {
                state.calls.insert(call, Phase::Running);
                state.sample(now);
                self.changed.notify_all();
                return Ok(());
            }
            self.changed.wait_for(state, deadline - now);
        }
    }

    fn leave_slot(&self, call: Call) {
        let now = self.clock.now();
        self.edit(|s| {
            s.calls.shift_remove(&call);
            s.cancelled.retain(|c| *c != call);
            s.sample(now);
        });
    }
}

/// A place in the batch, given back when it is dropped.
pub(super) struct Slot<'a> {
    batch: &'a Batch,
    call: Call,
}

impl Slot<'_> {
    /// Works for `time`, longer when other calls run or the endpoint is slowed down.
    pub(super) fn work(&self, time: Duration) -> Result<Duration, Stop> {
        let start = self.batch.clock.now();
        let mut state = self.batch.state.lock();
        let share = f64::from(state.running()) / f64::from(self.batch.slots.max(1));
        let until = start + time.mul_f64((1.0 + share) * state.factor);
        loop {
            if let Some(stop) = state.stop(self.call) {
                return Err(stop);
            }
            let now = self.batch.clock.now();
            if now >= until {
                return Ok(now - start);
            }
            self.batch.changed.wait_for(&mut state, until - now);
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.batch.leave_slot(self.call);
    }
}
