//! Rendezvous hashing of claim streams to preferred writers.
//!
//! Only speed depends on it: a daemon that wrongly believes to be the writer does no harm.

use sha2::{Digest, Sha256};

use crate::id;

value! {
    /// A daemon as the claims see it.
    pub struct Peer {
        /// Its id.
        pub daemon: id::Daemon,
        /// Where it is reached.
        pub address: String,
        /// Its region.
        pub region: id::Region,
        /// Whether it takes no new work.
        pub leaving: bool,
    }
}

/// The live daemons, as this daemon knows them; the list may lag.
pub trait View: Send + Sync {
    /// Returns every live daemon, this one included.
    fn peers(&self) -> Vec<Peer>;
}

/// Returns the preferred writer of a stream: the daemon with the highest hash among those
/// near the log, or among all when none is near.
pub fn preferred_writer<'a>(
    stream: u32,
    peers: &'a [Peer],
    near: Option<&id::Region>,
) -> Option<&'a Peer> {
    let staying = || peers.iter().filter(|p| !p.leaving);
    let close = staying().filter(|p| Some(&p.region) == near);
    close
        .max_by_key(|p| score(stream, &p.daemon))
        .or_else(|| staying().max_by_key(|p| score(stream, &p.daemon)))
        .or_else(|| peers.iter().max_by_key(|p| score(stream, &p.daemon)))
}

/// The preferred writer of every stream, computed anew only when the live daemons change.
#[derive(Debug, Default)]
pub struct Table {
    peers: Vec<Peer>,
    writers: Vec<Option<Peer>>,
}

impl Table {
    /// Takes the live daemons.
    pub fn update(&mut self, peers: Vec<Peer>, streams: u32, near: Option<&id::Region>) {
        if peers == self.peers && !self.writers.is_empty() {
            return;
        }
        self.writers = (0..streams)
            .map(|stream| preferred_writer(stream, &peers, near).cloned())
            .collect();
        self.peers = peers;
    }

    /// Returns the live daemons as last taken.
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
