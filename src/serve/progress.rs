//! How far a daemon has followed the platform's store, and how far its region's planner has.
//!
//! Calls to the store are priced, and most of them say that nothing has changed. The planner says so
//! to the others at each ping, so that they read the store only when there is something to read, or
//! when the planner cannot vouch. See [the design note](../../docs/design/fleet.md).

use std::cell::RefCell;
use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use indexmap::IndexMap;

use crate::clock::Time;

/// The longest record that is handed on, in bytes: what the store takes in one call, and more.
const MAX_RECORD_BYTES: u64 = 16 * 1024 * 1024;

/// How old the planner's knowledge may be that replaces a read of one's own. Its reads wait a second;
/// a planner that is cut off without a sign holds up changes by this much, of the 2.5 s within which
/// they have to be in force.
const MAX_WATERMARK_AGE: Duration = Duration::from_millis(1_400);

token! {
    /// What is followed in the store.
    pub enum Topic {
        /// The configuration.
        Catalog,
        /// The endpoints.
        Endpoints,
    }

    /// How far a topic is known.
    pub struct Watermark {
        /// The offset after the last record that changed something.
        pub offset: u64,
        /// Everything that was written before this time is known.
        pub as_of: Time,
    }
}

event! {
    /// A record that is handed on in place of a read of the store.
    pub struct CompressedRecord {
        /// The offset up to which it is the newest.
        pub offset: u64,
        /// The record, compressed.
        pub packed: Bytes,
    }
}

impl CompressedRecord {
    /// Returns the record itself.
    ///
    /// # Errors
    ///
    /// When the bytes are no compressed record, or one of more than 16 MB.
    pub fn unpack(&self) -> std::io::Result<Bytes> {
        let mut record = Vec::new();
        let decoder = DeflateDecoder::new(&*self.packed);
        let size = decoder
            .take(MAX_RECORD_BYTES + 1)
            .read_to_end(&mut record)?;
        if size as u64 > MAX_RECORD_BYTES {
            return Err(std::io::Error::other("the record is too long"));
        }
        Ok(record.into())
    }
}

fn pack(record: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(record)?;
    Ok(encoder.finish()?.into())
}

/// A record of the store that this daemon can hand on.
enum CachedRecord {
    /// As it was read: most daemons are never asked for it, so it is compressed on demand.
    Plain(Bytes),
    /// As it is handed on.
    Packed(Bytes),
}

/// The marks of a daemon and of its planner, and the records that it can hand on.
#[derive(Default)]
pub struct ReadProgress {
    own: RefCell<IndexMap<Topic, Watermark>>,
    planner: RefCell<IndexMap<Topic, Watermark>>,
    records: RefCell<IndexMap<Topic, CachedRecord>>,
}

impl ReadProgress {
    /// The daemon itself has read the store this far.
    pub fn read_succeeded(&self, topic: Topic, mark: Watermark) {
        self.own.borrow_mut().insert(topic, mark);
    }

    /// The daemon itself cannot read the store: it vouches for nothing until it can.
    pub fn read_failed(&self, topic: Topic) {
        self.own.borrow_mut().swap_remove(&topic);
    }

    /// The planner has read the store this far, and can say nothing of topics that are left out.
    pub fn set_planner_watermarks(&self, marks: impl IntoIterator<Item = (Topic, Watermark)>) {
        *self.planner.borrow_mut() = marks.into_iter().collect();
    }

    /// Returns how far the daemon itself has read, with the age of each mark.
    pub fn watermark_ages(&self, now: Time) -> Vec<(Topic, u64, Duration)> {
        let own = self.own.borrow();
        let age = |mark: &Watermark| now.saturating_sub(mark.as_of);
        own.iter()
            .map(|(topic, mark)| (*topic, mark.offset, age(mark)))
            .collect()
    }

    /// The newest record of a topic was read.
    pub fn cache_record(&self, topic: Topic, record: Bytes) {
        self.records
            .borrow_mut()
            .insert(topic, CachedRecord::Plain(record));
    }

    /// The newest record of a topic was handed on to this daemon.
    pub fn cache_compressed(&self, topic: Topic, copy: &CompressedRecord) {
        let held = CachedRecord::Packed(copy.packed.clone());
        self.records.borrow_mut().insert(topic, held);
    }

    /// Returns a topic's newest record for another daemon; none unless this daemon follows the store
    /// itself.
    ///
    /// # Errors
    ///
    /// When the record cannot be compressed.
    pub fn compressed_record(&self, topic: Topic) -> std::io::Result<Option<CompressedRecord>> {
        let Some(change) = self.own.borrow().get(&topic).map(|mark| mark.offset) else {
            return Ok(None);
        };
        let mut held = self.records.borrow_mut();
        let packed = match held.get(&topic) {
            None => return Ok(None),
            Some(CachedRecord::Packed(packed)) => packed.clone(),
            Some(CachedRecord::Plain(record)) => {
                let packed = pack(record)?;
                held.insert(topic, CachedRecord::Packed(packed.clone()));
                packed
            }
        };
        Ok(Some(CompressedRecord {
            offset: change,
            packed,
        }))
    }

    /// Returns the planner's mark while it is fresh.
    pub fn planner_watermark(&self, topic: Topic, now: Time) -> Option<Watermark> {
        let mark = self.planner.borrow().get(&topic).copied()?;
        (now.saturating_sub(mark.as_of) <= MAX_WATERMARK_AGE).then_some(mark)
    }
}

#[cfg(test)]
mod tests;
