//! The protocol of clients and endpoints: HTTP fields and bodies, and the types that they map to.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::http::{Field, RequestHead, ResponseHead};
use super::plan::{Handle, PieceOutcome, PieceRequest, PromptPart, Tokens};
use crate::id;

event! {
    /// What the fields of a request tell.
    pub struct RequestMeta {
        /// The id of this attempt of the client.
        pub id: id::Name,
        /// The host that it is for.
        pub host: String,
        /// The path, without the query.
        pub path: String,
        /// How long the client still waits.
        pub remaining: Option<Duration>,
        /// The API key of its workspace.
        pub api_key: Option<String>,
        /// The parts of its prompt.
        pub prompt_parts: Vec<PromptPart>,
        /// The tokens of its prompt and answer.
        pub tokens: Tokens,
        /// The number of pieces of each stage.
        pub piece_counts: Vec<usize>,
        /// The key that its pieces are computed from.
        pub piece_key: Option<id::Name>,
        /// The last event that the client received, when it resumes a stream.
        pub last_event_id: Option<String>,
        /// The client's attempt that brought the first event of the stream that it resumes.
        pub resumes: Option<id::Name>,
    }
}

event! {
    /// What an endpoint is told in addition to the client's request.
    pub struct ForwardMeta {
        /// The intended endpoint; another one at its address has to refuse.
        pub endpoint: id::Endpoint,
        /// How long the endpoint may work.
        pub remaining: Duration,
        /// The workspace of the request.
        pub workspace: Option<id::Workspace>,
        /// The priority; 0 is the most urgent.
        pub priority: Option<u8>,
        /// The results that it has to fetch.
        pub inputs: Vec<Handle>,
        /// The engine from which it fetches the beginning of the prompt.
        pub fetch_from: Option<SocketAddr>,
        /// The last event that was delivered, when it continues a stream.
        pub last_event_id: Option<String>,
    }
}

event! {
    /// What the fields of a response tell.
    pub struct ResponseMeta {
        /// Whether it answers the request with this id.
        pub is_id_matching: bool,
        /// Whether the endpoint states that the request did not run.
        pub is_refusal: bool,
        /// Whether it refused because an input was lost.
        pub is_input_lost: bool,
        /// Whether it carries the endpoint's signature.
        pub is_sealed: bool,
        /// Whether the endpoint is leaving.
        pub is_leaving: bool,
        /// How long the endpoint wants no requests of this daemon, after it refused one.
        pub retry_after: Option<Duration>,
        /// How many requests a second the endpoint takes from all daemons together.
        pub limit: Option<f64>,
        /// Whether it falls over when it has to turn many requests away.
        pub is_brittle: bool,
        /// How long work takes on its VM at this moment, as a multiple of the usual time.
        pub pace: Option<f64>,
    }
}

event! {
    /// A request of the daemon's own to an endpoint.
    pub struct HttpRequest {
        /// The method.
        pub method: &'static str,
        /// The path.
        pub target: &'static str,
        /// The fields, without the length.
        pub fields: Vec<Field>,
        /// The body.
        pub body: Bytes,
    }
}

token! {
    /// What an endpoint says of itself.
    pub struct Life {
        /// Whether the expected endpoint has answered, and not another one at its address.
        pub is_expected: bool,
        /// The start of its process, if it tells.
        pub born: Option<u64>,
    }
}

/// The protocol of clients and endpoints.
pub trait Protocol {
    /// Reads the fields of a request.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the request.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMeta, &'static str>;
    /// Returns the fields of the forwarded request.
    fn forward_fields(&self, head: &RequestHead, meta: &ForwardMeta) -> Vec<Field>;
    /// Reads the fields of the response to the request with this id.
    fn parse_response(&self, head: &ResponseHead, id: &str) -> ResponseMeta;
    /// Returns the fields of a response for the client.
    fn response_fields(&self, head: &ResponseHead) -> Vec<Field>;
    /// Returns the fields of a failure of the daemon's own.
    fn failure_fields(&self, id: &str) -> Vec<Field>;
    /// Returns the request for pieces.
    fn stage_call(&self, endpoint: &id::Endpoint, pieces: &[PieceRequest]) -> HttpRequest;
    /// Reads the outcomes of `count` pieces; none when the body is invalid.
    fn parse_outcomes(&self, body: &[u8], count: usize) -> Option<Vec<PieceOutcome>>;
    /// Returns the request that has an endpoint say what it is, which runs nothing.
    fn life_call(&self, endpoint: &id::Endpoint) -> HttpRequest;
    /// Reads what an endpoint says of itself; any answer shows that something runs.
    fn parse_life(&self, head: &ResponseHead, body: &[u8]) -> Life;
    /// Returns the request that frees results.
    fn free_call(&self, endpoint: &id::Endpoint, handles: &[Handle]) -> HttpRequest;
}
