//! The tokens and the end of a request, buffered so that a caller can resume after a disconnect.

use std::sync::Arc;

use hyper::body::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;

use super::sse;
use crate::endpoint::Token;
use crate::id;
use crate::pipeline::Finish;

#[derive(Default)]
struct State {
    /// Tokens as server-sent events.
    events: Vec<u8>,
    /// The end of each token's event in `events`.
    event_ends: Vec<usize>,
    finish: Option<Finish>,
    readers: usize,
}

/// The tokens and the outcome of one request.
pub struct Transcript {
    request: id::Request,
    workspace: id::Workspace,
    state: Mutex<State>,
    changed: Notify,
    readers_gone: Notify,
}

impl Transcript {
    /// Makes an empty transcript.
    pub fn new(request: id::Request, workspace: id::Workspace) -> Arc<Self> {
        Arc::new(Self {
            request,
            workspace,
            state: Mutex::default(),
            changed: Notify::new(),
            readers_gone: Notify::new(),
        })
    }

    /// Returns the id of the request.
    pub fn request(&self) -> id::Request {
        self.request
    }

    /// Returns the workspace, which alone may read the transcript.
    pub fn workspace(&self) -> &id::Workspace {
        &self.workspace
    }

    /// Appends tokens, in order.
    pub fn push(&self, tokens: &[Token]) {
        let mut state = self.state.lock();
        for token in tokens {
            sse::push_token(&mut state.events, token);
            let end = state.events.len();
            state.event_ends.push(end);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records the outcome; later calls have no effect.
    pub fn finish(&self, finish: Finish) {
        let mut state = self.state.lock();
        state.finish.get_or_insert(finish);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the outcome, if the request ended.
    pub fn ended(&self) -> Option<Finish> {
        self.state.lock().finish.clone()
    }

    /// Returns the number of tokens so far.
    pub fn tokens(&self) -> usize {
        self.state.lock().event_ends.len()
    }

    /// Returns the bytes of the buffered events and the answer.
    pub fn size(&self) -> usize {
        let state = self.state.lock();
        let answer = match &state.finish {
            Some(Finish::Answer(body)) => body.len(),
            _ => 0,
        };
        state.events.len() + answer
    }

    /// Waits for the outcome.
    pub async fn wait(&self) -> Finish {
        loop {
            let changed = self.changed.notified();
            if let Some(finish) = self.ended() {
                return finish;
            }
            changed.await;
        }
    }

    /// Returns whether a caller is reading the transcript.
    pub fn has_reader(&self) -> bool {
        self.state.lock().readers > 0
    }

    /// Waits until the last reader is dropped.
    pub async fn wait_unread(&self) {
        self.readers_gone.notified().await;
    }

    /// Starts reading after the first `cursor` tokens.
    pub fn read(self: &Arc<Self>, cursor: usize) -> Reader {
        self.state.lock().readers += 1;
        Reader {
            transcript: self.clone(),
            cursor,
        }
    }
}

/// What a reader receives at a time.
pub(super) enum Piece {
    /// Tokens not read yet, as server-sent events.
    Tokens(Bytes),
    /// The outcome.
    End(Finish),
}

/// A caller that reads a transcript; dropped when its connection ends.
pub struct Reader {
    transcript: Arc<Transcript>,
    cursor: usize,
}

impl Reader {
    /// Returns the transcript.
    pub fn transcript(&self) -> &Arc<Transcript> {
        &self.transcript
    }

    /// Waits for the next piece; it holds all pending tokens.
    pub(super) async fn next(&mut self) -> Piece {
        loop {
            let transcript = self.transcript.clone();
            let changed = transcript.changed.notified();
            if let Some(piece) = self.pending() {
                return piece;
            }
            changed.await;
        }
    }

    fn pending(&mut self) -> Option<Piece> {
        let state = self.transcript.state.lock();
        if self.cursor < state.event_ends.len() {
            let start = match self.cursor {
                0 => 0,
                seen => state.event_ends[seen - 1],
            };
            let text = Bytes::copy_from_slice(&state.events[start..]);
            self.cursor = state.event_ends.len();
            return Some(Piece::Tokens(text));
        }
        state.finish.clone().map(Piece::End)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut state = self.transcript.state.lock();
        state.readers -= 1;
        if state.readers == 0 {
            drop(state);
            self.transcript.readers_gone.notify_one();
        }
    }
}
