//! Events of a stream, of which only complete ones are passed on: another endpoint may resume the
//! stream after any of them, and a stream that ends within one has broken off.

use bytes::{Bytes, BytesMut};

use crate::serve::http::End;

/// The blank lines that end an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const ID_FIELD: &[u8] = b"id:";
/// The fields that may stand without a value.
const BARE_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Buffers bytes until events are complete, and keeps the id of the last one that was passed on.
#[derive(Default)]
pub struct EventBuffer {
    partial: BytesMut,
    /// The bytes of the incomplete event that were scanned for its end.
    scanned: usize,
    last_id: Option<String>,
    /// Whether the current endpoint has sent a complete event.
    has_events: bool,
    /// Whether the current endpoint has sent something that cannot belong to its stream.
    is_invalid: bool,
}

/// Returns the size of the first event, if it is complete; it does not end within the first `scanned` bytes.
fn first_event_size(bytes: &[u8], scanned: usize) -> Option<usize> {
    let size = |end: &&[u8]| {
        let from = scanned.saturating_sub(end.len() - 1);
        let mut windows = bytes[from..].windows(end.len());
        let at = windows.position(|window| window == *end);
        at.map(|at| from + at + end.len())
    };
    EVENT_ENDS.iter().filter_map(size).min()
}

/// Returns whether a line may stand in an event: a field, a comment or nothing.
fn is_event_line(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else {
        return line.is_empty() || BARE_FIELDS.contains(&line);
    };
    let is_name_byte = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_".contains(byte);
    line[..colon].iter().all(is_name_byte)
}

/// Returns whether a line is a comment or a field that clients know.
fn is_known_line(line: &[u8]) -> bool {
    let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
    name.is_empty() || BARE_FIELDS.contains(&name)
}

/// Returns whether an id may follow another one; ids that are not numbers are not compared.
fn may_follow(id: &str, last_id: &str) -> bool {
    match (id.parse::<u64>(), last_id.parse::<u64>()) {
        (Ok(id), Ok(last_id)) => id > last_id,
        _ => true,
    }
}

impl EventBuffer {
    /// Makes the buffer of a stream that goes on after an event that the client has, if any.
    pub fn after(last_id: Option<String>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Begins the stream of another endpoint; an incomplete event of the previous one is dropped.
    pub fn begin(&mut self) {
        self.partial.clear();
        self.scanned = 0;
        self.has_events = false;
        self.is_invalid = false;
    }

    /// Adds bytes and returns the events that they complete, up to the first invalid one.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let mut passed = 0;
        while !self.is_invalid
            && let Some(size) = first_event_size(&self.partial[passed..], self.scanned)
        {
            self.scanned = 0;
            let event = &self.partial[passed..passed + size];
            let lines = event.split(|byte| *byte == b'\n');
            let lines = lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line));
            let mut ids = lines.clone().filter_map(|line| line.strip_prefix(ID_FIELD));
            let id = ids.next_back();
            let id = id.map(|id| String::from_utf8_lossy(id.trim_ascii()).into_owned());
            let is_next = match (&id, &self.last_id) {
                (Some(id), Some(last_id)) => may_follow(id, last_id),
                // An error's text may look like the line of an event.
                (None, Some(_)) => lines.clone().all(is_known_line),
                (_, None) => true,
            };
            if !is_next || !lines.into_iter().all(is_event_line) {
                self.is_invalid = true;
                break;
            }
            self.last_id = id.or(self.last_id.take());
            self.has_events = true;
            passed += size;
        }
        let events = self.partial.split_to(passed).freeze();
        self.scanned = self.partial.len();
        events
    }

    /// Returns whether the endpoint has sent bytes that belong to another response, or events that
    /// were sent before.
    pub fn is_invalid(&self) -> bool {
        self.is_invalid
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn partial_length(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the stream is whole, given how its body ended. A close of the connection ends
    /// it only after an event: an endpoint that fails before its first one closes, too.
    pub fn is_whole(&self, end: End) -> bool {
        let has_begun = end == End::Framed || self.has_events;
        has_begun && self.partial.is_empty() && !self.is_invalid
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

#[cfg(test)]
mod tests;
