//! Events of a stream, of which only complete ones are passed on: another endpoint may resume the
//! stream after any of them, and a stream that ends within one has broken off.

use bytes::{Bytes, BytesMut};

use crate::serve::http::End;

/// The blank lines that end an event.
const EVENT_ENDS: [&[u8]; 2] = [b"\n\n", b"\r\n\r\n"];
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes until events are complete, and keeps the id of the last one that was passed on.
#[derive(Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<String>,
    /// Whether the current endpoint has sent a complete event.
    has_events: bool,
}

/// Returns the length of the complete events at the start of the bytes.
fn complete_length(bytes: &[u8]) -> usize {
    let length = |end: &&[u8]| {
        let at = bytes.windows(end.len()).rposition(|window| window == *end);
        at.map(|at| at + end.len())
    };
    EVENT_ENDS.iter().filter_map(length).max().unwrap_or(0)
}

impl EventBuffer {
    /// Begins the stream of another endpoint; an incomplete event of the previous one is dropped.
    pub fn begin(&mut self) {
        self.partial.clear();
        self.has_events = false;
    }

    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let whole = self.partial.split_to(complete_length(&self.partial));
        let whole = whole.freeze();
        if whole.is_empty() {
            return whole;
        }
        self.has_events = true;
        let lines = whole.split(|byte| *byte == b'\n');
        let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = ids.next_back() {
            let id = String::from_utf8_lossy(id.trim_ascii());
            self.last_id = Some(id.into_owned());
        }
        whole
    }

    /// Returns the number of bytes of the incomplete event.
    pub fn partial_length(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the stream is whole, given how its body ended. A close of the connection ends
    /// it only after an event: an endpoint that fails before its first one closes, too.
    pub fn is_whole(&self, end: End) -> bool {
        self.partial.is_empty() && (end == End::Framed || self.has_events)
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

#[cfg(test)]
mod tests;
