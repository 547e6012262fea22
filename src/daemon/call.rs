//! Blocking calls on the thread pool, which send events back to the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::core::Core;
use crate::clock::Time;
use crate::endpoint::{Answer, Call, Error, Result, Token};
use crate::pipeline::{Event, Remainder, Remote};
use crate::policy::Pick;
use crate::{id, peer};

/// Starts a call on a thread; its deadline is checked again immediately before it is sent.
pub fn start(
    core: &Arc<Core>,
    sender: &flume::Sender<Event>,
    stop: Arc<AtomicBool>,
    pick: Pick,
    call: Box<Call>,
) {
    let attempt = call.attempt;
    let deadline = core.clock.now() + call.remaining;
    let job = {
        let (core, sender) = (core.clone(), sender.clone());
        Box::new(move || {
            let result = send(&core, &sender, &stop, &pick, *call, deadline);
            drop(sender.send(Event::Ended(attempt, result)));
        })
    };
    if core.pool.run(job).is_err() {
        let error = not_sent("all threads for calls are busy");
        drop(sender.send(Event::Ended(attempt, Err(error))));
    }
}

fn send(
    core: &Core,
    sender: &flume::Sender<Event>,
    stop: &AtomicBool,
    pick: &Pick,
    mut call: Call,
    deadline: Time,
) -> Result<Answer> {
    let attempt = call.attempt;
    let mut sink = |token: Token| {
        if stop.load(Ordering::Acquire) {
            return Err(cancelled(&pick.address));
        }
        drop(sender.send(Event::Token(attempt, token)));
        Ok(())
    };
    let choice = u64::from(attempt) ^ call.request.as_u64_pair().1;
    let relay_address = relay_for(core, pick, choice);
    core.gate.wait();
    // The process may have been paused since the call was decided.
    call.remaining = deadline.saturating_sub(core.clock.now());
    if call.remaining.is_zero() || stop.load(Ordering::Acquire) {
        return Err(not_sent("its deadline has passed or it was cancelled"));
    }
    let result = match relay_address {
        Some(peer) => core.link.forward(&peer, &pick.address, &call, &mut sink),
        None => observed(
            core,
            pick,
            core.engine.call(&pick.address, &call, &mut sink),
        ),
    };
    core.gate.wait();
    result
}

/// Passes the outcome of a call to the observer.
fn observed(core: &Core, pick: &Pick, result: Result<Answer>) -> Result<Answer> {
    if let Some(observer) = &core.call_observer {
        observer.call_ended(&pick.endpoint, result.as_ref().err());
    }
    result
}

/// Returns the address of the daemon through which an endpoint of another region is called.
fn relay_for(core: &Core, pick: &Pick, choice: u64) -> Option<String> {
    let region = core.site.regions.get(&pick.zone)?;
    if *region == core.site.region {
        return None;
    }
    core.peer_in(region, choice)
}

/// Cancels a call at its endpoint.
pub fn cancel(core: &Arc<Core>, request: id::Request, pick: Pick, attempt: id::Attempt) {
    if relay_for(core, &pick, 0).is_some() {
        // The daemon that forwards the call cancels it at the endpoint.
        cancel_remote(core, request, attempt);
        return;
    }
    let job = {
        let core = core.clone();
        Box::new(move || {
            // If the cancel is lost, the endpoint runs the call to its end for nothing.
            drop(core.engine.cancel(&pick.address, request, attempt));
        })
    };
    drop(core.pool.run(job));
}

/// Relocates the remainder of a request to a daemon of another region.
pub fn relocate(
    core: &Arc<Core>,
    sender: &flume::Sender<Event>,
    stop: Arc<AtomicBool>,
    region: &str,
    remainder: Remainder,
) {
    let attempt = remainder.attempt;
    let choice = remainder.request.as_u64_pair().1 ^ u64::from(attempt);
    let Some(address) = core.peer_in(region, choice) else {
        let error = unreachable(region, "no daemon of the region is known");
        drop(sender.send(Event::RelocationFailed(attempt, error)));
        return;
    };
    let job = {
        let (core, sender) = (core.clone(), sender.clone());
        Box::new(move || {
            let result = run_remainder(&core, &address, &remainder, &sender, &stop);
            let event = match result {
                Ok(remote) => Event::RelocationEnded(attempt, remote),
                Err(error) => Event::RelocationFailed(attempt, error),
            };
            drop(sender.send(event));
        })
    };
    if core.pool.run(job).is_err() {
        let error = unreachable(region, "all threads for calls are busy");
        drop(sender.send(Event::RelocationFailed(attempt, error)));
    }
}

fn run_remainder(
    core: &Core,
    address: &str,
    remainder: &Remainder,
    sender: &flume::Sender<Event>,
    stop: &AtomicBool,
) -> peer::Result<Remote> {
    let attempt = remainder.attempt;
    let mut sink = |token: Token| {
        if stop.load(Ordering::Acquire) {
            return Err(cancelled(address));
        }
        drop(sender.send(Event::Token(attempt, token)));
        Ok(())
    };
    core.gate.wait();
    core.link.run_remainder(address, remainder, &mut sink)
}

/// Cancels a forwarded call or a remainder at the other daemon.
pub fn cancel_remote(core: &Core, request: id::Request, attempt: id::Attempt) {
    core.link.cancel(request, attempt);
}

fn cancelled(peer: &str) -> Error {
    Error::Lost {
        step: "call",
        peer: peer.to_owned(),
        reason: "it was cancelled".into(),
    }
}

fn not_sent(reason: &str) -> Error {
    Error::NotSent {
        step: "call",
        peer: "this daemon".into(),
        reason: reason.to_owned(),
    }
}

fn unreachable(region: &str, reason: &str) -> peer::Error {
    peer::Error::NotSent {
        step: "remainder",
        peer: region.to_owned(),
        reason: reason.to_owned(),
    }
}
