//! The border to what clients and endpoints speak: fields and bodies become the product's types.

use std::time::Duration;

use bytes::Bytes;

use super::http::{Field, Head, Reply};
use super::plan::{Handle, PieceOutcome, PieceRequest, PromptPart, Tokens};
use crate::id;

event! {
    /// What a request states about itself.
    pub struct RequestMeta {
        /// The id of the client's attempt.
        pub id: id::Name,
        /// The host that it is for.
        pub host: String,
        /// The path, without the query.
        pub path: String,
        /// How long the client waits.
        pub remaining: Option<Duration>,
        /// The key of its workspace.
        pub api_key: Option<String>,
        /// The parts of its prompt.
        pub prompt_parts: Vec<PromptPart>,
        /// The size of its generation.
        pub tokens: Tokens,
        /// The number of pieces of each stage.
        pub piece_counts: Vec<usize>,
        /// What its pieces are made from.
        pub piece_key: Option<id::Name>,
        /// The last event that the client has seen, when it resumes a stream.
        pub last_event_id: Option<String>,
    }
}

event! {
    /// What the system tells an endpoint beside the client's request.
    pub struct ForwardMeta {
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
        pub last_event_id: Option<String>,
    }
}

event! {
    /// What an answer states about itself.
    pub struct ResponseMeta {
        /// Whether it answers the request with this id.
        pub is_id_matching: bool,
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
    pub struct HttpRequest {
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
pub trait Protocol {
    /// Reads what a request states; an error names what is wrong with it.
    fn parse_request(&self, head: &Head) -> Result<RequestMeta, &'static str>;
    /// Returns the fields of the request that an endpoint gets.
    fn forward_fields(&self, head: &Head, order: &ForwardMeta) -> Vec<Field>;
    /// Reads what an answer to the request with this id states.
    fn parse_response(&self, reply: &Reply, id: &str) -> ResponseMeta;
    /// Returns the fields of an answer that the client gets.
    fn response_fields(&self, reply: &Reply) -> Vec<Field>;
    /// Returns the fields with which a failure of our own is told.
    fn failure_fields(&self, id: &str) -> Vec<Field>;
    /// Returns the call that asks an endpoint for pieces.
    fn stage_call(&self, endpoint: &id::Endpoint, entries: &[PieceRequest]) -> HttpRequest;
    /// Reads what became of `count` pieces.
    fn parse_outcomes(&self, body: &[u8], count: usize) -> Option<Vec<PieceOutcome>>;
    /// Returns the call that gives up results.
    fn free_call(&self, endpoint: &id::Endpoint, handles: &[Handle]) -> HttpRequest;
}
