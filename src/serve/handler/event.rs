//! Events of a stream that another endpoint may resume: only complete ones are passed on.

use bytes::{Bytes, BytesMut};

const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Buffers bytes until events are complete, and keeps the id of the last one that was passed on.
#[derive(Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.partial.extend_from_slice(bytes);
        let ends = self.partial.windows(EVENT_END.len());
        let Some(end) = ends.into_iter().rposition(|window| window == EVENT_END) else {
            return Bytes::new();
        };
        let whole = self.partial.split_to(end + EVENT_END.len()).freeze();
        let lines = whole.split(|byte| *byte == b'\n');
        let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = ids.next_back() {
            let id = String::from_utf8_lossy(id.trim_ascii());
            self.last_id = Some(id.into_owned());
        }
        whole
    }

    /// Returns the buffered bytes at the end of the stream.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// Drops the incomplete event after the stream broke off.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}
