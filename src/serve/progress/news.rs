//! The latest records of a keyed topic, which a planner passes on to daemons that have read all
//! before them, so that few daemons of a region read the store.

use bytes::Bytes;
use indexmap::IndexMap;

use super::Position;
use crate::id;

/// The most records that are kept, for daemons that are behind. A daemon that is further behind reads the
/// store.
const MAX_RECORDS: usize = 2_000;

event! {
    /// One record of a keyed topic; one without a value removes the key.
    pub struct Record {
        /// The key.
        pub key: id::Name,
        /// The value.
        pub value: Option<Bytes>,
    }

    /// Records that bring a daemon up to a position.
    pub struct Update {
        /// The newest record of each key that was written meanwhile.
        pub records: Vec<Record>,
        /// The position after them.
        pub next: Position,
    }
}

/// The newest record of each key that was written after some offset.
#[derive(Default)]
pub struct News {
    /// The records from here on are complete.
    begin: Position,
    next: Position,
    /// The offset of each record is not above the one that it is kept with.
    records: IndexMap<id::Name, (id::Offset, Option<Bytes>)>,
}

impl News {
    /// Begins anew after the whole topic was listed.
    pub fn reset(&mut self, next: Position) {
        self.begin = next;
        self.next = next;
        self.records.clear();
    }

    /// Adds records that were read next.
    pub fn add(&mut self, records: &[Record], next: Position) {
        let last = next.offset.saturating_sub(1);
        for record in records {
            // The order is that of the last write of each key.
            self.records.shift_remove(&record.key);
            self.records
                .insert(record.key.clone(), (last, record.value.clone()));
        }
        self.next = next;
        if self.records.len() > MAX_RECORDS {
            let dropped = self.records.drain(..MAX_RECORDS / 2);
            if let Some((_, (offset, _))) = dropped.last() {
                self.begin.offset = offset + 1;
            }
        }
    }

    /// Returns what a daemon needs that has read the topic up to a position; none when it has to read the
    /// store.
    pub fn since(&self, position: Position) -> Option<Update> {
        if position.epoch != self.next.epoch || position < self.begin || position > self.next {
            return None;
        }
        let records = self.records.iter();
        let records = records.filter(|(_, (offset, _))| *offset >= position.offset);
        let records = records.map(|(key, (_, value))| Record {
            key: key.clone(),
            value: value.clone(),
        });
        Some(Update {
            records: records.collect(),
            next: self.next,
        })
    }
}

#[cfg(test)]
mod tests;
