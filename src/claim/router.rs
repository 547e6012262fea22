//! Rendezvous hashing of claim streams to preferred writers.
//!
//! It affects only speed: a daemon that wrongly considers itself the writer does no harm.

use sha2::{Digest, Sha256};

use crate::id;

value! {
    /// A daemon that may be a preferred writer.
    pub struct Peer {
        /// Its id.
        pub daemon: id::Daemon,
        /// The address of its peer port.
        pub address: String,
        /// Its region.
        pub region: id::Region,
        /// Whether it takes no new work.
        pub leaving: bool,
    }
}

/// The live daemons known to this daemon; the list may lag.
pub trait View: Send + Sync {
    /// Returns every live daemon, this one included.
    fn peers(&self) -> Vec<Peer>;
}

/// Returns the preferred writer of a stream: the daemon with the highest hash among those
/// in the log's region, or among all when none is there.
pub fn preferred_writer<'a>(
    stream: u32,
    peers: &'a [Peer],
    log_region: Option<&id::Region>,
) -> Option<&'a Peer> {
    let staying = || peers.iter().filter(|p| !p.leaving);
    let nearby = staying().filter(|p| Some(&p.region) == log_region);
    nearby
        .max_by_key(|p| score(stream, &p.daemon))
        .or_else(|| staying().max_by_key(|p| score(stream, &p.daemon)))
        .or_else(|| peers.iter().max_by_key(|p| score(stream, &p.daemon)))
}

/// The preferred writer of every stream, recomputed only when the live daemons change.
#[derive(Debug, Default)]
pub struct Table {
    peers: Vec<Peer>,
    writers: Vec<Option<Peer>>,
}

impl Table {
    /// Updates the live daemons.
    pub fn update(&mut self, peers: Vec<Peer>, streams: u32, log_region: Option<&id::Region>) {
        if peers == self.peers && !self.writers.is_empty() {
            return;
        }
        self.writers = (0..streams)
            .map(|stream| preferred_writer(stream, &peers, log_region).cloned())
            .collect();
        self.peers = peers;
    }

    /// Returns the live daemons of the last update.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the preferred writer of a stream; none when no daemon is known.
    pub fn writer(&self, stream: u32) -> Option<&Peer> {
        self.writers.get(stream as usize)?.as_ref()
    }
}

fn score(stream: u32, daemon: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(stream.to_le_bytes());
    hash.update(daemon);
    hash.finalize().into()
}

#[cfg(test)]
mod tests;
