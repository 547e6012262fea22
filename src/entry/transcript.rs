//! What a caller is sent for one request, kept so that a broken connection can go on.

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
    text: Vec<u8>,
    /// Where each token ends in `text`.
    ends: Vec<usize>,
    finish: Option<Finish>,
    readers: usize,
}

/// The tokens and the end of one request.
pub struct Transcript {
    request: id::Request,
    workspace: id::Workspace,
    state: Mutex<State>,
    changed: Notify,
    unread: Notify,
}

impl Transcript {
    /// Makes an empty transcript.
    pub fn new(request: id::Request, workspace: id::Workspace) -> Arc<Self> {
        Arc::new(Self {
            request,
            workspace,
            state: Mutex::default(),
            changed: Notify::new(),
            unread: Notify::new(),
        })
    }

    /// Returns the request.
    pub fn request(&self) -> id::Request {
        self.request
    }

    /// Returns the workspace, which alone may read it.
    pub fn workspace(&self) -> &id::Workspace {
        &self.workspace
    }

    /// Adds tokens, in order.
    pub fn push(&self, tokens: &[Token]) {
        let mut state = self.state.lock();
        for token in tokens {
            sse::token(&mut state.text, token);
            let end = state.text.len();
            state.ends.push(end);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Records the end; only the first counts.
    pub fn finish(&self, finish: Finish) {
        let mut state = self.state.lock();
        state.finish.get_or_insert(finish);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the end, once there is one.
    pub fn ended(&self) -> Option<Finish> {
        self.state.lock().finish.clone()
    }

    /// Returns the number of tokens so far.
    pub fn tokens(&self) -> usize {
        self.state.lock().ends.len()
    }

    /// Returns the bytes that it holds.
    pub fn size(&self) -> usize {
        let state = self.state.lock();
        let answer = match &state.finish {
            Some(Finish::Answer(body)) => body.len(),
            _ => 0,
        };
        state.text.len() + answer
    }

    /// Waits for the end.
    pub async fn wait(&self) -> Finish {
        loop {
            let changed = self.changed.notified();
            if let Some(finish) = self.ended() {
                return finish;
            }
            changed.await;
        }
    }

    /// Says whether a caller reads it now.
    pub fn has_reader(&self) -> bool {
        self.state.lock().readers > 0
    }

    /// Waits until the last reader goes away.
    pub async fn wait_unread(&self) {
        self.unread.notified().await;
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

/// What a reader gets next.
pub(super) enum Piece {
    /// Tokens that it has not seen, as server-sent events.
    Tokens(Bytes),
    /// The end.
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

    /// Waits for what comes next; all pending tokens come in one piece.
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
        if self.cursor < state.ends.len() {
            let start = match self.cursor {
                0 => 0,
                seen => state.ends[seen - 1],
            };
            let text = Bytes::copy_from_slice(&state.text[start..]);
            self.cursor = state.ends.len();
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
            self.transcript.unread.notify_one();
        }
    }
}
