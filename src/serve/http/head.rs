//! Heads of requests and responses. Ambiguous heads are rejected.

use bytes::Bytes;

use super::{Error, Framing, Result};

/// The least status; those from here to 199 are interim.
const MIN_STATUS: u16 = 100;
/// The most fields of a head.
const MAX_FIELDS: usize = 100;
/// Fields of a single connection, which are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

event! {
    /// One field of a head, as it was received.
    pub struct Field {
        /// The name, in the sender's case.
        pub name: String,
        /// The value, without the spaces around it.
        pub value: Bytes,
    }
}

/// Makes a field.
pub fn field(name: &str, value: impl std::fmt::Display) -> Field {
    Field {
        name: name.to_owned(),
        value: value.to_string().into(),
    }
}

event! {
    /// The fields of a head, in their order.
    #[derive(Default)]
    pub struct Fields(pub Vec<Field>);
}

impl Fields {
    /// Returns the values of all fields with the name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let fields = self.0.iter();
        let fields = fields.filter(move |field| field.name.eq_ignore_ascii_case(name));
        fields.map(|field| &*field.value)
    }

    /// Returns the value of the first field with the name, if it is text.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.all(name).next()?).ok()
    }

    /// Returns whether a list field contains the token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let tokens = value.split(|byte| *byte == b',');
            let mut tokens = tokens.map(<[u8]>::trim_ascii);
            tokens.any(|listed| listed.eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns the fields that are forwarded: all but those of a single connection.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Field> {
        self.0.iter().filter(|field| {
            let name = field.name.as_str();
            let is_hop_by_hop = HOP_BY_HOP_FIELDS
                .iter()
                .any(|hop| hop.eq_ignore_ascii_case(name));
            !is_hop_by_hop && !self.has_token("connection", name)
        })
    }

    /// Returns the framing that the fields specify, if any.
    fn framing(&self) -> Result<Option<Framing>> {
        let mut codings = self.all("transfer-encoding");
        let mut lengths = self.all("content-length");
        match (codings.next(), lengths.next()) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => malformed("both a length and a transfer coding"),
            (Some(coding), None) => {
                let chunked = coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
                if chunked {
                    Ok(Some(Framing::chunked()))
                } else {
                    malformed("an unknown transfer coding")
                }
            }
            (None, Some(length)) => {
                let text = std::str::from_utf8(length).unwrap_or_default();
                let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
                match text.parse() {
                    Ok(length) if is_number && lengths.next().is_none() => {
                        Ok(Some(Framing::of_length(length)))
                    }
                    _ => malformed("not a single valid length"),
                }
            }
        }
    }
}

event! {
    /// The head of a request.
    pub struct RequestHead {
        /// The method.
        pub method: String,
        /// Path and query.
        pub target: String,
        /// The fields.
        pub fields: Fields,
        /// How the body is delimited.
        pub framing: Framing,
        /// Whether the client speaks HTTP/1.1, and so understands chunks.
        pub is_http_1_1: bool,
        /// Whether the connection may carry another request.
        pub keep_alive: bool,
    }
}

impl RequestHead {
    /// Returns whether the response has no body, whatever its fields say.
    pub fn is_head(&self) -> bool {
        self.method == "HEAD"
    }
}

event! {
    /// The head of a response.
    pub struct ResponseHead {
        /// The status.
        pub status: u16,
        /// The fields.
        pub fields: Fields,
        /// How the body is delimited.
        pub framing: Framing,
        /// Whether the connection may carry another request.
        pub keep_alive: bool,
    }
}

fn malformed<T>(reason: &'static str) -> Result<T> {
    Err(Error::Malformed { reason })
}

/// Rejects a line feed without a carriage return, which other programs may parse differently.
fn check_lines(head: &[u8]) -> Result<()> {
    let mut previous = 0;
    for byte in head {
        if *byte == b'\n' && previous != b'\r' {
            return malformed("a line that does not end with CR LF");
        }
        previous = *byte;
    }
    Ok(())
}

fn collect(headers: &[httparse::Header<'_>]) -> Fields {
    let field = |header: &httparse::Header<'_>| Field {
        name: header.name.to_owned(),
        value: Bytes::copy_from_slice(header.value.trim_ascii()),
    };
    Fields(headers.iter().map(field).collect())
}

fn head_size(status: httparse::Result<usize>, bytes: &[u8], limit: usize) -> Result<Option<usize>> {
    match status {
        Ok(httparse::Status::Complete(size)) if size > limit => Err(Error::HeadTooLong { limit }),
        Ok(httparse::Status::Complete(size)) => {
            check_lines(&bytes[..size])?;
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if bytes.len() > limit => Err(Error::HeadTooLong { limit }),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(Error::HeadTooLong { limit }),
        Err(_) => malformed("invalid head"),
    }
}

/// Parses the head of a request; returns it with its size, or none when it is incomplete.
pub(super) fn parse_request(bytes: &[u8], limit: usize) -> Result<Option<(RequestHead, usize)>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(bytes);
    let Some(size) = head_size(status, bytes, limit)? else {
        return Ok(None);
    };
    let fields = collect(request.headers);
    let framing = fields.framing()?.unwrap_or(Framing::End);
    if fields.all("host").count() != 1 {
        return malformed("not exactly one host field");
    }
    let is_http_1_1 = request.version == Some(1);
    if !is_http_1_1 && matches!(framing, Framing::Chunked(_)) {
        return malformed("a transfer coding in HTTP/1.0");
    }
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        is_http_1_1,
        keep_alive: is_http_1_1 && !fields.has_token("connection", "close"),
        fields,
        framing,
    };
    Ok(Some((head, size)))
}

/// Returns whether a response of this status to a request other than HEAD has a body.
pub fn has_body(status: u16) -> bool {
    status >= 200 && status != 204 && status != 304
}

/// Parses the head of a response; returns it with its size, or none when it is incomplete.
pub(super) fn parse_response(bytes: &[u8], limit: usize) -> Result<Option<(ResponseHead, usize)>> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response.parse(bytes);
    let Some(size) = head_size(status, bytes, limit)? else {
        return Ok(None);
    };
    let fields = collect(response.headers);
    let status = response.code.unwrap_or_default();
    if status < MIN_STATUS {
        return malformed("a status below 100");
    }
    let framing = match fields.framing()? {
        _ if !has_body(status) => Framing::End,
        Some(framing) => framing,
        None => Framing::Close,
    };
    let keep_alive = response.version == Some(1)
        && !fields.has_token("connection", "close")
        && framing != Framing::Close;
    let head = ResponseHead {
        status,
        fields,
        framing,
        keep_alive,
    };
    Ok(Some((head, size)))
}
