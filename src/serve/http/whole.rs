//! Bodies that are kept until they are whole.

use std::rc::Rc;

use super::{Error, Result};
use crate::serve::intake::{Room, Share};

/// The size of one allocation. Bodies consist of equal ones, so that they neither grow by copies nor leave gaps of
/// many sizes behind.
const SEGMENT_BYTES: usize = 64 * 1024;
/// The least size of an allocation, since a peer may send a body byte by byte.
const MIN_SEGMENT_BYTES: usize = 1024;

/// A body, or what has arrived of it. It takes room before it allocates, and gives it back when it is dropped.
pub struct Body {
    segments: Vec<Vec<u8>>,
    length: usize,
    room: Room,
}

impl Body {
    /// Makes an empty body.
    pub fn new(share: Rc<Share>) -> Self {
        Self {
            segments: Vec::new(),
            length: 0,
            room: Room::new(share),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the bytes, in their order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Vec::as_slice)
    }

    /// Takes room for a body of some length.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub async fn reserve(&mut self, length: usize) -> Result<()> {
        let reserved = self.room.reserve(length).await;
        reserved.map_err(|wait| Error::NoRoom { wait })
    }

    /// Appends bytes, and takes room for them if it was not reserved.
    ///
    /// # Errors
    ///
    /// Fails when there is none.
    pub async fn append(&mut self, mut bytes: &[u8]) -> Result<()> {
        while !bytes.is_empty() {
            if self.room.bytes() <= self.length {
                self.reserve(self.length + SEGMENT_BYTES).await?;
            }
            let room = self.room.bytes() - self.length;
            let segment = match self.segments.last_mut() {
                Some(segment) if segment.len() < segment.capacity() => segment,
                _ => {
                    let size = if self.room.is_taken() {
                        SEGMENT_BYTES
                    } else {
                        bytes.len().max(MIN_SEGMENT_BYTES)
                    };
                    self.segments.push_mut(Vec::with_capacity(size.min(room)))
                }
            };
            let spare = segment.capacity() - segment.len();
            let (now, later) = bytes.split_at(spare.min(bytes.len()));
            segment.extend_from_slice(now);
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }
}
