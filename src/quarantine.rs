//! Quarantine of requests that crash the endpoints that run them.
//!
//! See [the design note](../docs/design/quarantine.md).

use crate::clock::Time;

pub mod message;
pub mod replica;
pub mod table;

event! {
    /// How a request's content stands.
    pub enum Status {
        /// Nothing is held against it.
        Clear,
        /// An endpoint died while running it: it runs alone and is never hedged.
        Suspect,
        /// It is refused everywhere until this time.
        Refused {
            /// When the refusal ends.
            until: Time,
        },
    }
}
