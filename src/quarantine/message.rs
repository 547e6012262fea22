//! Encoding of quarantine events in [messages](../../schema/quarantine.capnp) and in
//! [records of the log](../../schema/quarantine.json).

use std::time::Duration;

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize;

use super::table::Event;
use crate::generated::{quarantine as record, quarantine_capnp as wire};

/// Encodes events for another daemon.
pub fn encode(events: &[Event]) -> Vec<u8> {
    let mut message = Builder::new_default();
    let count = u32::try_from(events.len()).unwrap_or(u32::MAX);
    let mut list = message
        .init_root::<wire::batch::Builder<'_>>()
        .init_events(count);
    for (index, event) in (0..count).zip(events) {
        let mut entry = list.reborrow().get(index);
        entry.set_digest(&*event.digest);
        entry.set_endpoint(event.endpoint.as_deref().unwrap_or_default());
        entry.set_at_ms(millis(event.at));
    }
    serialize::write_message_to_words(&message)
}

/// Decodes the events of another daemon.
pub fn decode(body: &[u8]) -> Result<Vec<Event>, capnp::Error> {
    let message = serialize::read_message(body, ReaderOptions::new())?;
    let batch = message.get_root::<wire::batch::Reader<'_>>()?;
    let events = batch.get_events()?;
    events
        .iter()
        .map(|event| {
            let endpoint = event.get_endpoint()?.to_str()?;
            Ok(Event {
                digest: event.get_digest()?.to_str()?.into(),
                endpoint: (!endpoint.is_empty()).then(|| endpoint.into()),
                at: Duration::from_millis(event.get_at_ms()),
            })
        })
        .collect()
}

/// Encodes events for the log; none when they cannot be serialized.
pub fn to_record(daemon: &str, events: &[Event]) -> Option<Vec<u8>> {
    let events = events.iter().map(|event| record::Event {
        digest: event.digest.to_string(),
        endpoint: event.endpoint.as_ref().map(ToString::to_string),
        at_ms: millis(event.at),
    });
    let batch = record::Batch {
        daemon: daemon.to_owned(),
        events: events.collect(),
    };
    serde_json::to_vec(&batch).ok()
}

/// Decodes the events of a log record; none when it is invalid.
pub fn from_record(body: &[u8]) -> Vec<Event> {
    let batch: Option<record::Batch> = serde_json::from_slice(body).ok();
    let events = batch.map(|b| b.events).unwrap_or_default();
    let event = |e: record::Event| Event {
        digest: e.digest.into(),
        endpoint: e.endpoint.map(Into::into),
        at: Duration::from_millis(e.at_ms),
    };
    events.into_iter().map(event).collect()
}

fn millis(at: Duration) -> u64 {
    u64::try_from(at.as_millis()).unwrap_or(u64::MAX)
}
