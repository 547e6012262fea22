//! Message bodies of the log protocol. See [the protocol](../../docs/PLATFORM.md).

use crate::id;

value! {
    /// The answer to an append.
    pub struct Appended {
        /// The offset of the record.
        pub offset: id::Offset,
    }

    /// A record, whose body is text.
    pub struct Record {
        /// Its offset.
        pub offset: id::Offset,
        /// Its body.
        pub body: String,
    }

    /// The answer to a read.
    pub struct Page {
        /// The lowest offset that is still retained.
        pub first: id::Offset,
        /// The offset of the next record to be appended.
        pub end: id::Offset,
        /// Records in order of offset.
        pub records: Vec<Record>,
    }
}
