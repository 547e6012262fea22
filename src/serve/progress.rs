//! How far a daemon has read the platform's store, and how far its region's planner has.
//!
//! Calls to the store are billed, and most of them find no change. The planner's watermarks reach
//! the other daemons with each ping, so that they read the store only when there is something to
//! read, or when the watermarks are too old. See [the design note](../../docs/design/fleet.md).

use std::cell::RefCell;
use std::io::{Read, Write};
use std::time::Duration;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use indexmap::IndexMap;

use crate::clock::Time;
use crate::id;

mod news;

pub use news::{News, Record, Update};

/// The longest record that is passed on; more than the store accepts in one call.
const MAX_RECORD_BYTES: u64 = 16 * 1024 * 1024;

/// The age up to which the planner's watermark replaces a read of the store. The planner's reads
/// wait for a second; a planner that is silently cut off from the store delays changes by this
/// much, of the 2.5 s within which they have to be in force.
pub const MAX_WATERMARK_AGE: Duration = Duration::from_millis(1_400);

token! {
    /// A topic of the store that daemons follow.
    pub enum Topic {
        /// The configuration.
        Catalog,
        /// The endpoints.
        Endpoints,
        /// The daemons.
        Daemons,
        /// The evidence of content that ends endpoints.
        Evidence,
    }

    /// A position in a topic. A later epoch is ahead of an earlier one, whose records it may lack.
    #[derive(Default)]
    pub struct Position {
        /// The epoch of the store.
        pub epoch: id::Epoch,
        /// The offset in this epoch.
        pub offset: id::Offset,
    }

    /// How far a topic has been read.
    pub struct Watermark {
        /// The position after the last record that changed something.
        pub position: Position,
        /// Everything that was written before this time has been read.
        pub as_of: Time,
    }
}

event! {
    /// A record that is passed on in place of a read of the store.
    pub struct CompressedRecord {
        /// The position up to which the record is the newest.
        pub position: Position,
        /// The compressed record.
        pub packed: Bytes,
        /// With the configuration, the zones that operators evacuate; none from a daemon that does not know.
        pub evacuated: Option<Vec<id::Zone>>,
    }
}

impl CompressedRecord {
    /// Returns the decompressed record.
    ///
    /// # Errors
    ///
    /// When the bytes are not a compressed record, or one of more than 16 MiB.
    pub fn unpack(&self) -> std::io::Result<Bytes> {
        let mut record = Vec::new();
        let decoder = DeflateDecoder::new(&*self.packed);
        let size = decoder
            .take(MAX_RECORD_BYTES + 1)
            .read_to_end(&mut record)?;
        if size as u64 > MAX_RECORD_BYTES {
            return Err(std::io::Error::other("the record is longer than 16 MiB"));
        }
        Ok(record.into())
    }
}

fn pack(record: &[u8]) -> std::io::Result<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(record)?;
    Ok(encoder.finish()?.into())
}

/// A record of the store that this daemon can pass on.
enum CachedRecord {
    /// As read from the store: most daemons are never asked for it, so it is compressed on demand.
    Plain(Bytes),
    /// As passed on.
    Packed(Bytes),
}

/// The watermarks of a daemon and of its planner, and the records that the daemon can pass on.
#[derive(Default)]
pub struct ReadProgress {
    own: RefCell<IndexMap<Topic, Watermark>>,
    planner: RefCell<IndexMap<Topic, Watermark>>,
    records: RefCell<IndexMap<Topic, CachedRecord>>,
    news: RefCell<IndexMap<Topic, News>>,
}

impl ReadProgress {
    /// Records how far this daemon has read a topic.
    pub fn read_succeeded(&self, topic: Topic, watermark: Watermark) {
        self.own.borrow_mut().insert(topic, watermark);
    }

    /// Records that this daemon cannot read a topic; it has no watermark until it can again.
    pub fn read_failed(&self, topic: Topic) {
        self.own.borrow_mut().swap_remove(&topic);
    }

    /// Replaces the planner's watermarks; topics that are left out have none.
    pub fn set_planner_watermarks(&self, watermarks: impl IntoIterator<Item = (Topic, Watermark)>) {
        *self.planner.borrow_mut() = watermarks.into_iter().collect();
    }

    /// Returns the topic, position and age of each of this daemon's watermarks.
    pub fn watermark_ages(&self, now: Time) -> Vec<(Topic, Position, Duration)> {
        let own = self.own.borrow();
        let age = |watermark: &Watermark| now.saturating_sub(watermark.as_of);
        own.iter()
            .map(|(topic, watermark)| (*topic, watermark.position, age(watermark)))
            .collect()
    }

    /// Records that a topic was listed up to a position.
    pub fn listed(&self, topic: Topic, next: Position) {
        self.news.borrow_mut().entry(topic).or_default().reset(next);
    }

    /// Records what was read next of a topic.
    pub fn add_news(&self, topic: Topic, records: &[Record], next: Position) {
        let mut news = self.news.borrow_mut();
        news.entry(topic).or_default().add(records, next);
    }

    /// Returns what a daemon needs that has read a topic up to a position; none when it has to read the
    /// store, or when this daemon does not read it.
    pub fn news(&self, topic: Topic, position: Position) -> Option<Update> {
        if !self.own.borrow().contains_key(&topic) {
            return None;
        }
        self.news.borrow().get(&topic)?.since(position)
    }

    /// Stores the newest record of a topic, as read from the store.
    pub fn cache_record(&self, topic: Topic, record: Bytes) {
        self.records
            .borrow_mut()
            .insert(topic, CachedRecord::Plain(record));
    }

    /// Stores the newest record of a topic, as received from the planner.
    pub fn cache_compressed(&self, topic: Topic, record: &CompressedRecord) {
        let cached = CachedRecord::Packed(record.packed.clone());
        self.records.borrow_mut().insert(topic, cached);
    }

    /// Returns a topic's newest record for another daemon; none unless this daemon reads the topic.
    ///
    /// # Errors
    ///
    /// When the record cannot be compressed.
    pub fn compressed_record(&self, topic: Topic) -> std::io::Result<Option<CompressedRecord>> {
        let Some(position) = self
            .own
            .borrow()
            .get(&topic)
            .map(|watermark| watermark.position)
        else {
            return Ok(None);
        };
        let mut records = self.records.borrow_mut();
        let packed = match records.get(&topic) {
            None => return Ok(None),
            Some(CachedRecord::Packed(packed)) => packed.clone(),
            Some(CachedRecord::Plain(record)) => {
                let packed = pack(record)?;
                records.insert(topic, CachedRecord::Packed(packed.clone()));
                packed
            }
        };
        Ok(Some(CompressedRecord {
            position,
            packed,
            evacuated: None,
        }))
    }

    /// Returns the planner's watermark of a topic, unless it is too old.
    pub fn planner_watermark(&self, topic: Topic, now: Time) -> Option<Watermark> {
        let watermark = self.planner.borrow().get(&topic).copied()?;
        (now.saturating_sub(watermark.as_of) <= MAX_WATERMARK_AGE).then_some(watermark)
    }
}

#[cfg(test)]
mod tests;
