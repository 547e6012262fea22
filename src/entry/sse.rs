//! Encodes tokens and answers as server-sent events.

use std::convert::Infallible;
use std::io::Write;

use futures::stream;
use http_body_util::StreamBody;
use hyper::body::{Bytes, Frame};

use super::problem;
use super::transcript::{Piece, Reader};
use crate::endpoint::Token;
use crate::id;
use crate::pipeline::Finish;

/// The id of the last event.
pub const END_ID: &str = "end";

/// Appends the event of a token; its id is the index of the token.
pub fn push_token(text: &mut Vec<u8>, token: &Token) {
    // Writing to a vector does not fail.
    drop(write!(text, "id: {}\nevent: token\ndata: ", token.index));
    drop(serde_json::to_writer(&mut *text, &*token.text));
    text.extend_from_slice(b"\n\n");
}

/// Returns the last event: the whole answer or a problem.
pub fn end_event(request: id::Request, finish: &Finish) -> Bytes {
    let (event, data) = match finish {
        Finish::Answer(body) => ("answer", body.to_string()),
        other => ("problem", problem::from_finish(request, other).text()),
    };
    let data = data.replace('\r', "").replace('\n', "\ndata: ");
    Bytes::from(format!("id: {END_ID}\nevent: {event}\ndata: {data}\n\n"))
}

type Item = Result<Frame<Bytes>, Infallible>;

/// Streams `first` and then the remaining pieces of the reader.
pub fn body(first: Piece, reader: Reader) -> StreamBody<impl stream::Stream<Item = Item>> {
    let start = Some((Some(first), reader));
    StreamBody::new(stream::unfold(start, |state| async {
        let (first, mut reader) = state?;
        let piece = match first {
            Some(piece) => piece,
            None => reader.next().await,
        };
        match piece {
            Piece::Tokens(bytes) => Some((Ok(Frame::data(bytes)), Some((None, reader)))),
            Piece::End(finish) => {
                let last = end_event(reader.transcript().request(), &finish);
                Some((Ok(Frame::data(last)), None))
            }
        }
    }))
}
