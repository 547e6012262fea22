//! What clients make a daemon hold: connections, and the bytes of bodies and answers. One account bounds them
//! together, decides who gives way when it is used up, and says when there will be room. No I/O.
//!
//! See [the design note](../../docs/design/intake.md).

use std::time::Duration;

use indexmap::IndexMap;

use crate::clock::Time;

mod share;

pub use share::{Pool, Refusal, Room, Share};

/// What one connection may hold besides what is counted: its task, what was read ahead, and a small body.
pub const CONNECTION_BYTES: usize = 48 * 1024;
/// The size up to which a body needs no room of its own. So a request of an accepted connection is not refused for
/// lack of room unless it is larger.
pub const FREE_BYTES: usize = 8 * 1024;
/// Holders of more leave a part of the room to others.
const SMALL_BYTES: usize = 64 * 1024;
/// The part of the room that holders of more leave, as a divisor.
const SMALL_DIVISOR: usize = 8;
/// The part of the connections that may end while others begin, or are told that there is no room, as a divisor.
const OVERLAP_DIVISOR: usize = 8;
/// The most connections that wait to be accepted.
const MAX_BACKLOG: usize = 1_024;
/// Less would slow every client down.
const MIN_UNREAD_BYTES: usize = 8 * 1024;
const MAX_UNREAD_BYTES: usize = 64 * 1024;
/// What the process needs for itself.
const PROCESS_BYTES: usize = 16_000_000;
/// The descriptors that the platform sets aside for files.
const FILE_DESCRIPTORS: usize = 200;
/// How long a body may make no progress before it gives way to others.
const PROGRESS_TIME: Duration = Duration::from_secs(1);
/// The rate in bytes a second below which a body makes no progress.
const MIN_RATE: f64 = 32.0 * 1024.0;
/// The `Retry-After` when nobody knows when there will be room.
const DEFAULT_WAIT: Duration = Duration::from_secs(1);
const MIN_WAIT: Duration = Duration::from_millis(100);

/// Names a holder; later ones have higher numbers.
pub type Id = u64;

token! {
    /// The most that clients may make a daemon hold.
    pub struct Bound {
        /// Connections.
        pub connections: usize,
        /// Bytes of bodies and answers, together.
        pub bytes: usize,
        /// Connections that wait to be accepted.
        pub backlog: usize,
        /// Bytes that a connection may have received and the daemon has not read, while nothing else is taken for it.
        pub unread_bytes: usize,
    }
}

impl Bound {
    /// Derives the bound from the memory and the descriptors of a VM. Of the memory that the process does not need for
    /// itself, connections may take a quarter, bodies and answers three eighths, and unread bytes a quarter, of which
    /// the kernel needs half. An eighth is slack of the allocator.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let memory = memory_bytes
            .saturating_sub(PROCESS_BYTES)
            .max(memory_bytes / 4);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        // The request of a connection needs one to an endpoint, and some connections end while others begin. What is
        // left is for the store and other daemons.
        let by_descriptors = sockets * 3 / 8;
        let connections = (memory / 4 / CONNECTION_BYTES).min(by_descriptors).max(1);
        let backlog = connections.clamp(16, MAX_BACKLOG);
        let unread_bytes = memory / 8 / (connections + backlog);
        Self {
            connections,
            bytes: memory / 8 * 3,
            backlog,
            unread_bytes: unread_bytes.clamp(MIN_UNREAD_BYTES, MAX_UNREAD_BYTES),
        }
    }

    /// Returns the most connections that are told at the same time that there is no room.
    pub fn refusals(&self) -> usize {
        self.connections / OVERLAP_DIVISOR + 1
    }

    /// Returns the most bytes that one holder can have.
    pub fn largest(&self) -> usize {
        self.bytes - self.bytes / SMALL_DIVISOR
    }
}

token! {
    /// What a holder does.
    enum State {
        /// It waits for a request since this time, or receives its head.
        Waiting(Time),
        /// It receives a body, and has to make progress until this time.
        Receiving(Time),
        /// Its request waits or runs, or its answer is sent.
        Serving,
        /// It was told to give way.
        Evicted,
    }
}

#[derive(Clone, Copy)]
struct Holder {
    state: State,
    bytes: usize,
}

event! {
    /// The verdict on a new connection.
    pub enum Admission {
        /// It is taken; another one may have to give way.
        Admitted(Id, Option<Id>),
        /// There will be room once those who were told to have given way.
        Pending,
        /// There is no room, and nobody who has to give way.
        Refused,
    }

    /// The verdict on bytes that a holder needs.
    pub enum Grant {
        /// They are its.
        Granted,
        /// There will be room once these have given way, and those who were told so before.
        Pending(Vec<Id>),
        /// There is no room, but may be after this time.
        Refused(Duration),
    }
}

/// Who holds what.
pub struct Account {
    bound: Bound,
    holders: IndexMap<Id, Holder>,
    held: Total,
    next: Id,
}

/// Bytes of several holders.
#[derive(Clone, Copy, Default)]
struct Total {
    all: usize,
    /// Those of holders of more than the small ones.
    large: usize,
}

impl Total {
    fn add(&mut self, bytes: usize) {
        self.all += bytes;
        self.large += if bytes > SMALL_BYTES { bytes } else { 0 };
    }

    fn remove(&mut self, bytes: usize) {
        self.all = self.all.saturating_sub(bytes);
        let large = if bytes > SMALL_BYTES { bytes } else { 0 };
        self.large = self.large.saturating_sub(large);
    }
}

impl Account {
    /// Makes an account of which nothing is used.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            holders: IndexMap::new(),
            held: Total::default(),
            next: 0,
        }
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.holders.len()
    }

    /// Returns the bytes that are held.
    pub fn bytes(&self) -> usize {
        self.held.all
    }

    /// Returns the bound.
    pub fn bound(&self) -> Bound {
        self.bound
    }

    /// Decides on a new connection. When there are too many, a body that makes no progress gives way first, then the
    /// connection that has waited longest.
    pub fn connect(&mut self, now: Time) -> Admission {
        let mut victim = None;
        if self.holders.len() >= self.bound.connections {
            let evicted = self.holders.values();
            let evicted = evicted.filter(|holder| holder.state == State::Evicted);
            // Those that were told to give way still have their descriptors.
            if evicted.count() > self.bound.connections / OVERLAP_DIVISOR {
                return Admission::Pending;
            }
            let rank = |(id, holder): (&Id, &Holder)| match holder.state {
                State::Receiving(due) if due < now => Some((0, due, *id)),
                State::Waiting(since) => Some((1, since, *id)),
                _ => None,
            };
            let Some((.., id)) = self.holders.iter().filter_map(rank).min() else {
                return Admission::Refused;
            };
            self.evict(id);
            victim = Some(id);
        }
        let id = self.next;
        self.next += 1;
        let state = State::Waiting(now);
        self.holders.insert(id, Holder { state, bytes: 0 });
        Admission::Admitted(id, victim)
    }

    fn evict(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.state = State::Evicted;
        }
    }

    fn enter(&mut self, id: Id, state: State) {
        if let Some(holder) = self.holders.get_mut(&id)
            && holder.state != State::Evicted
        {
            holder.state = state;
        }
    }

    /// Records that a connection waits for a request.
    pub fn wait(&mut self, id: Id, now: Time) {
        self.enter(id, State::Waiting(now));
    }

    /// Records that a connection receives a body.
    pub fn receive(&mut self, id: Id, now: Time) {
        self.enter(id, State::Receiving(now + PROGRESS_TIME));
    }

    /// Records bytes of a body that have arrived. They pay for time at the least rate, which is saved up for
    /// a second at most.
    pub fn progress(&mut self, id: Id, bytes: usize, now: Time) {
        if let Some(holder) = self.holders.get_mut(&id)
            && let State::Receiving(due) = &mut holder.state
        {
            let paid = Duration::from_secs_f64(bytes as f64 / MIN_RATE);
            *due = (*due + paid).min(now + PROGRESS_TIME);
        }
    }

    /// Records that a request was received; it does not give way any more, even if it was just told to.
    pub fn serve(&mut self, id: Id) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.state = State::Serving;
        }
    }

    /// Returns whether a holder can have more bytes once others have given theirs back.
    fn fits(&self, held: usize, bytes: usize, returned: Total) -> bool {
        let all = (self.held.all + bytes).saturating_sub(returned.all);
        let larger = held + bytes;
        let mut total = self.held;
        total.remove(held);
        total.add(larger);
        let large = total.large.saturating_sub(returned.large);
        all <= self.bound.bytes && (larger <= SMALL_BYTES || large <= self.bound.largest())
    }

    /// Returns whether a holder was told to give way.
    pub fn is_evicted(&self, id: Id) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.state == State::Evicted)
    }

    /// Decides on bytes that a holder needs. Bodies that make no progress give way first, those that are furthest
    /// behind before others; then those that began later than the holder, so that the earliest one always ends.
    pub fn grow(&mut self, id: Id, bytes: usize, now: Time) -> Grant {
        let Some(holder) = self.holders.get(&id).copied() else {
            return Grant::Refused(DEFAULT_WAIT);
        };
        if holder.state == State::Evicted {
            return Grant::Refused(self.room_after(holder.bytes, bytes, now));
        }
        if self.fits(holder.bytes, bytes, Total::default()) {
            self.resize(id, holder.bytes + bytes);
            return Grant::Granted;
        }
        let mut returned = Total::default();
        let mut candidates = Vec::new();
        for (other, holder) in &self.holders {
            match holder.state {
                State::Evicted => returned.add(holder.bytes),
                _ if *other == id || holder.bytes == 0 => {}
                State::Receiving(due) if due < now => candidates.push((0, due, *other)),
                // The latest first.
                State::Receiving(_) if *other > id => {
                    candidates.push((1, Time::ZERO, Id::MAX - *other));
                }
                _ => {}
            }
        }
        candidates.sort_unstable();
        let mut victims = Vec::new();
        for (rank, _, number) in candidates {
            if self.fits(holder.bytes, bytes, returned) {
                break;
            }
            let victim = if rank == 0 { number } else { Id::MAX - number };
            returned.add(self.holders[&victim].bytes);
            victims.push(victim);
        }
        if !self.fits(holder.bytes, bytes, returned) {
            return Grant::Refused(self.room_after(holder.bytes, bytes, now));
        }
        for victim in &victims {
            self.evict(*victim);
        }
        Grant::Pending(victims)
    }

    /// Returns how long it takes until there is room even if no body makes progress any more.
    fn room_after(&self, held: usize, bytes: usize, now: Time) -> Duration {
        let due = |holder: &Holder| match holder.state {
            State::Receiving(due) => Some((due, holder.bytes)),
            _ => None,
        };
        let mut dues: Vec<(Time, usize)> = self.holders.values().filter_map(due).collect();
        dues.sort_unstable();
        let mut returned = Total::default();
        for (due, returns) in dues {
            returned.add(returns);
            if self.fits(held, bytes, returned) {
                return due.saturating_sub(now).max(MIN_WAIT);
            }
        }
        DEFAULT_WAIT
    }

    fn resize(&mut self, id: Id, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.held.remove(holder.bytes);
            self.held.add(bytes);
            holder.bytes = bytes;
        }
    }

    /// Takes bytes back from a holder.
    pub fn shrink(&mut self, id: Id, bytes: usize) {
        if let Some(holder) = self.holders.get(&id) {
            self.resize(id, holder.bytes.saturating_sub(bytes));
        }
    }

    /// Takes everything back from a holder, which has ended.
    pub fn close(&mut self, id: Id) {
        self.resize(id, 0);
        self.holders.swap_remove(&id);
    }
}

#[cfg(test)]
mod tests;
