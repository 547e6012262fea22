//! The border to what clients and endpoints speak: fields and bodies become the product's types.

use std::time::Duration;

use bytes::Bytes;

use super::http::{Field, Head, Reply};
use super::plan::{Entry, Handle, Outcome, Part, Tokens};
use crate::id;

event! {
    /// What a request states about itself.
    pub struct Ask {
        /// The id of the client's attempt.
        pub id: id::Name,
        /// The host that it is for.
        pub host: String,
        /// The path, without the query.
        pub path: String,
        /// How long the client waits.
        pub remaining: Option<Duration>,
        /// The key of its workspace.
        pub key: Option<String>,
        /// The parts of its prompt.
        pub parts: Vec<Part>,
        /// The size of its generation.
        pub tokens: Tokens,
        /// The number of pieces of each stage.
        pub pieces: Vec<usize>,
        /// What its pieces are made from.
        pub source: Option<id::Name>,
        /// The last event that the client has seen, when it resumes a stream.
        pub resume: Option<String>,
    }
}

event! {
    /// What the system tells an endpoint beside the client's request.
    pub struct Order {
        /// The endpoint that is meant; another one at the address has to refuse.
        pub endpoint: id::Endpoint,
        /// How long the endpoint may work.
        pub remaining: Duration,
        /// The workspace of the request.
        pub workspace: Option<id::Workspace>,
        /// The rank; 0 is the most urgent.
        pub priority: Option<u8>,
        /// The results that it is to fetch.
        pub inputs: Vec<Handle>,
        /// The last event that was delivered, when it goes on with a stream.
        pub resume: Option<String>,
    }
}

event! {
    /// What an answer states about itself.
    pub struct Answer {
        /// Whether it answers the request with this id.
        pub is_ours: bool,
        /// Whether the endpoint states that the request did not run.
        pub is_refusal: bool,
        /// Whether the refusal is since an input is gone.
        pub is_input_gone: bool,
        /// Whether it carries the endpoint's signature.
        pub is_sealed: bool,
    }
}

event! {
    /// A call of the system itself to an endpoint.
    pub struct Message {
        /// The method.
        pub method: &'static str,
        /// The path.
        pub target: &'static str,
        /// The fields, but for host and length.
        pub fields: Vec<Field>,
        /// The body.
        pub body: Bytes,
    }
}

/// What clients and endpoints speak.
pub trait Dialect {
    /// Reads what a request states; an error names what is wrong with it.
    fn ask(&self, head: &Head) -> Result<Ask, &'static str>;
    /// Returns the fields of the request that an endpoint gets.
    fn forward(&self, head: &Head, order: &Order) -> Vec<Field>;
    /// Reads what an answer to the request with this id states.
    fn answer(&self, reply: &Reply, id: &str) -> Answer;
    /// Returns the fields of an answer that the client gets.
    fn back(&self, reply: &Reply) -> Vec<Field>;
    /// Returns the fields with which a failure of our own is told.
    fn failure(&self, id: &str) -> Vec<Field>;
    /// Returns the call that asks an endpoint for pieces.
    fn call(&self, endpoint: &id::Endpoint, entries: &[Entry]) -> Message;
    /// Reads what became of `count` pieces.
    fn outcomes(&self, body: &[u8], count: usize) -> Option<Vec<Outcome>>;
    /// Returns the call that gives up results.
    fn free(&self, endpoint: &id::Endpoint, handles: &[Handle]) -> Message;
}
