//! Blocking calls, each on a thread of the pool; events go back to the request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::core::Core;
use crate::clock::Time;
use crate::endpoint::{Answer, Call, Error, Result, Token};
use crate::pipeline::{Event, Remainder, Remote};
use crate::policy::Pick;
use crate::{id, peer};

/// Sends a call; the deadline is checked again immediately before.
pub fn start(
    core: &Arc<Core>,
    sender: &flume::Sender<Event>,
    stop: Arc<AtomicBool>,
    pick: Pick,
    call: Box<Call>,
) {
    let attempt = call.attempt;
    let due = core.clock.now() + call.remaining;
    let job = {
        let (core, sender) = (core.clone(), sender.clone());
        Box::new(move || {
            let result = send(&core, &sender, &stop, &pick, *call, due);
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
    due: Time,
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
    let via = relay(core, pick, choice);
    core.gate.pass();
    // A pause may have passed since the call was decided.
    call.remaining = due.saturating_sub(core.clock.now());
    if call.remaining.is_zero() || stop.load(Ordering::Acquire) {
        return Err(not_sent("the time for it has passed"));
    }
    let result = match via {
        Some(peer) => core.link.forward(&peer, &pick.address, &call, &mut sink),
        None => witnessed(
            core,
            pick,
            core.engine.call(&pick.address, &call, &mut sink),
        ),
    };
    core.gate.pass();
    result
}

/// Tells the other daemons what a call showed of its endpoint.
fn witnessed(core: &Core, pick: &Pick, result: Result<Answer>) -> Result<Answer> {
    if let Some(witness) = &core.witness {
        witness.call_ended(&pick.endpoint, result.as_ref().err());
    }
    result
}

/// Returns the daemon through which an endpoint of another region is called.
fn relay(core: &Core, pick: &Pick, choice: u64) -> Option<String> {
    let region = core.site.regions.get(&pick.zone)?;
    if *region == core.site.region {
        return None;
    }
    core.peer_in(region, choice)
}

/// Tells an endpoint that a call is not needed any more.
pub fn cancel(core: &Arc<Core>, request: id::Request, pick: Pick, attempt: id::Attempt) {
    if relay(core, &pick, 0).is_some() {
        // The daemon that forwards it tells the endpoint.
        cancel_remote(core, request, attempt);
        return;
    }
    let job = {
        let core = core.clone();
        Box::new(move || {
            // An endpoint that does not hear it runs the call to its end for nothing.
            drop(core.engine.cancel(&pick.address, request, attempt));
        })
    };
    drop(core.pool.run(job));
}

/// Hands the rest of a request to a daemon of another region.
pub fn relocate(
    core: &Arc<Core>,
    sender: &flume::Sender<Event>,
    stop: Arc<AtomicBool>,
    region: &str,
    rest: Remainder,
) {
    let attempt = rest.attempt;
    let choice = rest.request.as_u64_pair().1 ^ u64::from(attempt);
    let Some(address) = core.peer_in(region, choice) else {
        let error = unreachable(region, "no daemon of the region is known");
        drop(sender.send(Event::RelocationFailed(attempt, error)));
        return;
    };
    let job = {
        let (core, sender) = (core.clone(), sender.clone());
        Box::new(move || {
            let result = hand_over(&core, &address, &rest, &sender, &stop);
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

fn hand_over(
    core: &Core,
    address: &str,
    rest: &Remainder,
    sender: &flume::Sender<Event>,
    stop: &AtomicBool,
) -> peer::Result<Remote> {
    let attempt = rest.attempt;
    let mut sink = |token: Token| {
        if stop.load(Ordering::Acquire) {
            return Err(cancelled(address));
        }
        drop(sender.send(Event::Token(attempt, token)));
        Ok(())
    };
    core.gate.pass();
    core.link.run_remainder(address, rest, &mut sink)
}

/// Tells the other daemon that the rest of a request is not needed any more.
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
