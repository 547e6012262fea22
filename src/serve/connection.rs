//! Clients' connections: reads requests, detects disconnects, and closes without losing a response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::handler::{Rejection, RequestHandler};
use super::http::{self, Body, Chunk, RequestHead, Sink, Source};
use super::intake::{FREE_BYTES, Refusal, Share};
use super::response::{ResponseWriter, empty_response};
use super::{Node, exchange};
use crate::clock::Time;

/// The delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long idle connections stay open after the daemon began to stop: the load balancer sends new
/// ones elsewhere after two failed checks a second apart.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);
/// How often an idle connection checks whether it is to be closed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a client that was rejected may go on sending before the connection is closed, so that it gets the answer.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);
/// How many of the longest bodies it may send meanwhile.
const DISCARD_BODIES: usize = 4;
/// How many bytes of a body the client may send before they are read.
const BODY_WINDOW_BYTES: usize = 64 * 1024;
/// How long a client may send to a daemon that takes no more connections.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
/// How many bytes it may send.
const REFUSED_BYTES: usize = 64 * 1024;
/// The `Retry-After` of a daemon that takes no more connections, and of connections that give way.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The status of a request that has not run since there was no room.
const UNAVAILABLE: u16 = 503;

/// Accepts clients' connections as long as the process runs.
pub async fn accept(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            // Those that wait for this are not accepted yet, and a bounded number of them.
            Ok((stream, _)) => match node.intake.connect().await {
                Ok(share) => drop(spawn_local(Connection::serve(stream, node.clone(), share))),
                Err(refusal) => drop(spawn_local(refuse(stream, refusal))),
            },
            Err(error) => {
                warn!(node.log, "connection not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Tells a client that there is no room for its connection.
async fn refuse(stream: TcpStream, refusal: Refusal) {
    let (mut source, mut sink) = http::split(stream);
    let response = empty_response(UNAVAILABLE, &[], Some(FULL_RETRY_AFTER), false);
    let refuse = async {
        http::send(&mut sink, &response).await?;
        drop(tokio::io::AsyncWriteExt::shutdown(&mut sink).await);
        source.discard(REFUSED_BYTES).await;
        Ok::<_, http::Error>(())
    };
    drop(timeout(REFUSAL_TIMEOUT, refuse).await);
    drop(refusal);
}

struct Connection {
    node: Rc<Node>,
    source: Source,
    sink: Option<Sink>,
    share: Rc<Share>,
}

/// What an idle connection received.
enum Received {
    Request(RequestHead, Time),
    Rejected(Rejection),
    Closed,
}

/// Makes a rejection without fields.
fn rejection(status: u16) -> Rejection {
    Rejection {
        status,
        fields: Vec::new(),
        retry_after: None,
    }
}

fn no_room(wait: Duration) -> Rejection {
    Rejection {
        retry_after: Some(wait),
        ..rejection(UNAVAILABLE)
    }
}

impl Connection {
    async fn serve(stream: TcpStream, node: Rc<Node>, share: Share) {
        exchange::set_socket_options(&stream);
        let (source, sink) = http::split(stream);
        let mut connection = Self {
            node,
            source,
            sink: Some(sink),
            share: Rc::new(share),
        };
        while connection.serve_next().await {}
    }

    /// Serves one request; returns whether the connection can carry another one.
    async fn serve_next(&mut self) -> bool {
        let share = self.share.clone();
        share.wait();
        let received = tokio::select! {
            biased;
            received = self.receive_head() => received,
            () = share.evicted() => self.give_way(),
        };
        match received {
            Received::Request(head, arrived_at) => self.serve_request(head, arrived_at).await,
            Received::Rejected(rejection) => {
                self.reject(&rejection).await;
                false
            }
            Received::Closed => false,
        }
    }

    /// Ends an idle connection, or the request that it was receiving.
    fn give_way(&self) -> Received {
        if self.source.has_read_ahead() {
            Received::Rejected(no_room(FULL_RETRY_AFTER))
        } else {
            Received::Closed
        }
    }

    async fn receive_head(&mut self) -> Received {
        let limits = self.node.catalog().limits.clone();
        let idle_since = self.node.clock.now();
        loop {
            match timeout(IDLE_POLL_INTERVAL, self.source.wait_message()).await {
                Ok(Ok(true)) => break,
                Ok(_) => return Received::Closed,
                Err(_) => {}
            }
            let now = self.node.clock.now();
            let idle = now.saturating_sub(idle_since);
            let leaving_since = self.node.leaving_since();
            let is_stopping = leaving_since
                .is_some_and(|leaving_since| now.saturating_sub(leaving_since) > IDLE_CLOSE_DELAY);
            if idle > limits.idle_timeout || is_stopping {
                return Received::Closed;
            }
        }
        let arrived_at = self.node.clock.now();
        match timeout(
            limits.head_timeout,
            self.source.request_head(limits.head_bytes),
        )
        .await
        {
            Ok(Ok(head)) => Received::Request(head, arrived_at),
            Ok(Err(http::Error::Malformed { reason })) => {
                debug!(self.node.log, "malformed request"; "reason" => reason);
                Received::Rejected(rejection(400))
            }
            Ok(Err(http::Error::HeadTooLong { .. })) => Received::Rejected(rejection(431)),
            Ok(Err(_)) => Received::Closed,
            Err(_) => Received::Rejected(rejection(408)),
        }
    }

    async fn reject(&mut self, rejection: &Rejection) {
        if let Some(sink) = &mut self.sink {
            let Rejection {
                status,
                fields,
                retry_after,
            } = rejection;
            let response = empty_response(*status, fields, *retry_after, false);
            if http::send(sink, &response).await.is_ok() {
                self.discard().await;
            }
        }
    }

    /// Reads what still arrives: closing with unread bytes would reset the connection and lose the
    /// response.
    async fn discard(&mut self) {
        if let Some(sink) = &mut self.sink {
            drop(tokio::io::AsyncWriteExt::shutdown(sink).await);
        }
        let share = self.share.clone();
        // Whatever it still sends, others go first.
        share.wait();
        let bytes = DISCARD_BODIES * self.node.catalog().limits.body_bytes;
        tokio::select! {
            _ = timeout(DISCARD_TIMEOUT, self.source.discard(bytes)) => {}
            () = share.evicted() => {}
        }
    }

    async fn serve_request(&mut self, head: RequestHead, arrived_at: Time) -> bool {
        let limits = self.node.catalog().limits.clone();
        let share = self.share.clone();
        share.receive();
        let received = tokio::select! {
            biased;
            body = timeout(limits.idle_timeout, self.receive_body(&head, limits.body_bytes)) => body,
            () = share.evicted() => Ok(Err(Unread::Rejected(no_room(FULL_RETRY_AFTER)))),
        };
        let rejection = match received {
            Ok(Ok(body)) => return self.run_handler(head, body, arrived_at).await,
            Ok(Err(Unread::Rejected(rejection))) => rejection,
            Ok(Err(Unread::Lost)) => return false,
            Err(_) => rejection(408),
        };
        self.reject(&rejection).await;
        false
    }

    /// Reads the body of a request. What the head rules out is rejected before more of it is read than every
    /// connection may hold.
    async fn receive_body(&mut self, head: &RequestHead, limit: usize) -> Result<Body, Unread> {
        let mut framing = head.framing.clone();
        let mut body = Body::new(self.share.clone());
        let mut is_screened = false;
        let mut has_window = false;
        if let Some(length) = framing.length() {
            let length = usize::try_from(length).unwrap_or(usize::MAX);
            if length > limit {
                return Err(Unread::Rejected(rejection(413)));
            }
            if length > FREE_BYTES {
                self.node.screen(head).await?;
                is_screened = true;
                body.reserve(length).await?;
            }
        }
        if head.fields.has_token("expect", "100-continue")
            && let Some(sink) = &mut self.sink
        {
            http::send(sink, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        while let Chunk::Bytes(bytes) = self.source.chunk(&mut framing).await? {
            let length = body.len() + bytes.len();
            if length > limit {
                return Err(Unread::Rejected(rejection(413)));
            }
            if length > FREE_BYTES && !is_screened {
                self.node.screen(head).await?;
                is_screened = true;
            }
            if length > FREE_BYTES && !has_window {
                // What was taken for the body bounds what it has unread.
                self.source.set_window(BODY_WINDOW_BYTES);
                has_window = true;
            }
            body.append(&bytes).await?;
            self.share.progress(bytes.len());
            if length > FREE_BYTES {
                // Others go on between two reads, however many bytes have arrived.
                tokio::task::yield_now().await;
            }
        }
        if has_window {
            self.source.set_window(self.share.unread_bytes());
        }
        Ok(body)
    }

    async fn run_handler(&mut self, head: RequestHead, body: Body, arrived_at: Time) -> bool {
        let Some(sink) = self.sink.take() else {
            return false;
        };
        self.share.serve();
        let keep_alive = head.keep_alive && self.node.leaving_since().is_none();
        let client = ResponseWriter::new(sink, &head, keep_alive, self.share.clone());
        let outlives_client = Rc::new(Cell::new(false));
        let handler = RequestHandler::new(
            self.node.clone(),
            head,
            body,
            self.share.clone(),
            arrived_at,
            outlives_client.clone(),
        );
        let mut serving = Box::pin(handler.serve(client));
        tokio::select! {
            biased;
            sink = &mut serving => {
                self.sink = sink;
                self.sink.is_some()
            }
            () = self.source.closed() => {
                debug!(self.node.log, "client disconnected");
                if outlives_client.get() {
                    // A request that must not be repeated goes on until its endpoint answers.
                    spawn_local(async move { drop(serving.await) });
                }
                false
            }
        }
    }
}

/// Why there is no body.
enum Unread {
    /// The client gets this answer.
    Rejected(Rejection),
    /// The connection was lost.
    Lost,
}

impl From<Rejection> for Unread {
    fn from(rejection: Rejection) -> Self {
        Self::Rejected(rejection)
    }
}

impl From<http::Error> for Unread {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::Malformed { .. } => Self::Rejected(rejection(400)),
            http::Error::NoRoom { wait } => Self::Rejected(no_room(wait)),
            _ => Self::Lost,
        }
    }
}
