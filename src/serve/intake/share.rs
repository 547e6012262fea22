//! Carries out what the account decides: wakes those who have to give way, and gives back what a holder held when it
//! ends, however it does.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use slog::{Logger, info};
use tokio::sync::Notify;

use super::{Account, Admission, Bound, FREE_BYTES, Grant, Id};
use crate::clock::Clock;
use crate::serve::meter::Meter;

/// What clients make one daemon hold.
pub struct Pool {
    account: RefCell<Account>,
    /// Wakes those who have to give way.
    evictions: RefCell<IndexMap<Id, Rc<Notify>>>,
    /// Notified when room was given back.
    returned: Notify,
    /// Connections that are told that there is no room.
    refusals: Cell<usize>,
    clock: Rc<dyn Clock>,
    meter: Rc<Meter>,
    log: Logger,
}

/// What one connection and its request hold; all of it is given back with this.
pub struct Share {
    pool: Rc<Pool>,
    id: Id,
    evicted: Rc<Notify>,
}

/// Room for some bytes, which is given back with this.
pub struct Room {
    share: Rc<Share>,
    taken: usize,
}

/// A connection that is told that there is no room.
pub struct Refusal(Rc<Pool>);

impl Pool {
    /// Makes a pool of which nothing is used.
    pub fn new(bound: Bound, clock: Rc<dyn Clock>, meter: Rc<Meter>, log: Logger) -> Rc<Self> {
        info!(log, "intake bounded"; "connections" => bound.connections, "bytes" => bound.bytes,
            "backlog" => bound.backlog, "unread_bytes" => bound.unread_bytes);
        Rc::new(Self {
            account: RefCell::new(Account::new(bound)),
            evictions: RefCell::default(),
            returned: Notify::new(),
            refusals: Cell::new(0),
            clock,
            meter,
            log,
        })
    }

    /// Returns the bound.
    pub fn bound(&self) -> Bound {
        self.account.borrow().bound()
    }

    /// Takes a new connection, or refuses it; waits until one of both is possible.
    pub async fn connect(self: &Rc<Self>) -> Result<Share, Refusal> {
        loop {
            let returned = self.returned.notified();
            let admission = self.account.borrow_mut().connect(self.clock.now());
            match admission {
                Admission::Admitted(id, victim) => return Ok(self.share(id, victim).await),
                Admission::Refused if self.refusals.get() < self.bound().refusals() => {
                    self.meter.count("intake.connection_refused");
                    self.refusals.set(self.refusals.get() + 1);
                    return Err(Refusal(self.clone()));
                }
                Admission::Refused | Admission::Pending => returned.await,
            }
        }
    }

    async fn share(self: &Rc<Self>, id: Id, victim: Option<Id>) -> Share {
        let evicted = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(id, evicted.clone());
        let share = Share {
            pool: self.clone(),
            id,
            evicted,
        };
        self.show();
        if let Some(victim) = victim {
            self.meter.count("intake.connection_evicted");
            self.wake(victim);
            // It ends before the next connection is looked at.
            tokio::task::yield_now().await;
        }
        share
    }

    fn wake(&self, id: Id) {
        if let Some(evicted) = self.evictions.borrow().get(&id) {
            evicted.notify_one();
        }
    }

    fn show(&self) {
        let account = self.account.borrow();
        self.meter
            .gauge("intake.connections", account.connections());
        self.meter.gauge("intake.bytes", account.bytes());
    }
}

impl Drop for Refusal {
    fn drop(&mut self) {
        let refusals = &self.0.refusals;
        refusals.set(refusals.get().saturating_sub(1));
        self.0.returned.notify_waiters();
    }
}

impl Share {
    /// Returns how many bytes its client may have sent and the daemon not read, while it has no room for a body.
    pub fn unread_bytes(&self) -> usize {
        self.pool.bound().unread_bytes
    }

    /// Records that the connection waits for a request.
    pub fn wait(&self) {
        let now = self.pool.clock.now();
        self.pool.account.borrow_mut().wait(self.id, now);
    }

    /// Records that it receives a body.
    pub fn receive(&self) {
        let now = self.pool.clock.now();
        self.pool.account.borrow_mut().receive(self.id, now);
    }

    /// Records bytes of the body that have arrived.
    pub fn progress(&self, bytes: usize) {
        let now = self.pool.clock.now();
        self.pool.account.borrow_mut().progress(self.id, bytes, now);
    }

    /// Records that the request was received.
    pub fn serve(&self) {
        self.pool.account.borrow_mut().serve(self.id);
    }

    /// Takes room for more bytes, and waits for those who give way.
    ///
    /// # Errors
    ///
    /// Returns after what time there may be room.
    pub async fn grow(&self, bytes: usize) -> Result<(), Duration> {
        let pool = &self.pool;
        loop {
            let returned = pool.returned.notified();
            let grant = pool
                .account
                .borrow_mut()
                .grow(self.id, bytes, pool.clock.now());
            match grant {
                Grant::Granted => {
                    pool.show();
                    return Ok(());
                }
                Grant::Pending(victims) => {
                    for victim in victims {
                        pool.meter.count("intake.body_evicted");
                        pool.wake(victim);
                    }
                    returned.await;
                }
                Grant::Refused(wait) => {
                    pool.meter.count("intake.bytes_refused");
                    info!(pool.log, "no room for bytes of a client"; "bytes" => bytes,
                        "held" => pool.account.borrow().bytes(), "wait_ms" => wait.as_millis() as u64);
                    return Err(wait);
                }
            }
        }
    }

    /// Gives bytes back.
    pub fn shrink(&self, bytes: usize) {
        if bytes > 0 {
            self.pool.account.borrow_mut().shrink(self.id, bytes);
            self.pool.returned.notify_waiters();
            self.pool.show();
        }
    }

    /// Completes when the connection has to give way to others.
    pub async fn evicted(&self) {
        while !self.pool.account.borrow().is_evicted(self.id) {
            self.evicted.notified().await;
        }
    }
}

impl Room {
    /// Makes room for what every connection may have.
    pub fn new(share: Rc<Share>) -> Self {
        Self { share, taken: 0 }
    }

    /// Returns for how many bytes there is room.
    pub fn bytes(&self) -> usize {
        self.taken.max(FREE_BYTES)
    }

    /// Returns whether room was taken beyond what every connection has.
    pub fn is_taken(&self) -> bool {
        self.taken > 0
    }

    /// Makes room for so many bytes in all.
    ///
    /// # Errors
    ///
    /// Returns after what time there may be room.
    pub async fn reserve(&mut self, bytes: usize) -> Result<(), Duration> {
        if bytes > self.bytes() {
            self.share.grow(bytes - self.taken).await?;
            self.taken = bytes;
        }
        Ok(())
    }

    /// Gives back what was taken.
    pub fn clear(&mut self) {
        self.share.shrink(std::mem::take(&mut self.taken));
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.clear();
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.pool.account.borrow_mut().close(self.id);
        self.pool.evictions.borrow_mut().swap_remove(&self.id);
        self.pool.returned.notify_waiters();
        self.pool.show();
    }
}
