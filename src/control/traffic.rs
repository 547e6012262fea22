//! Counters of the datagrams between daemons.

use std::sync::atomic::{AtomicU64, Ordering};

/// Datagrams and their bytes, without the headers of UDP and IP.
#[derive(Debug, Default)]
pub(super) struct Traffic {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    pub fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the counters by name.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        vec![
            ("datagrams-sent", read(&self.sent)),
            ("datagram-bytes-sent", read(&self.sent_bytes)),
            ("datagrams-received", read(&self.received)),
            ("datagram-bytes-received", read(&self.received_bytes)),
        ]
    }
}
