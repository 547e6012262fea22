//! Quarantine of requests that crash the endpoints that run them.
//!
//! See [the design note](../docs/design/quarantine.md).

use crate::clock::Time;

pub mod evidence;
pub mod message;
pub mod replica;
pub mod table;

event! {
    /// Quarantine status of a request's content.
    pub enum Status {
        /// The content is not blamed for a crash.
        Clear,
        /// An endpoint crashed while running it: it runs alone and is never hedged.
        Suspect,
        /// Every daemon refuses the content.
        Refused {
            /// When the refusal ends.
            until: Time,
        },
    }
}
