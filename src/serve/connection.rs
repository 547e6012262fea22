//! Clients' connections: reads requests, detects disconnects, and closes without losing a response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::handler::RequestHandler;
use super::http::{self, RequestHead, Sink, Source};
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

/// Accepts clients' connections as long as the process runs.
pub async fn accept(listener: TcpListener, node: Rc<Node>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(Connection::serve(stream, node.clone()));
            }
            Err(error) => {
                warn!(node.log, "connection not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

struct Connection {
    node: Rc<Node>,
    source: Source,
    sink: Option<Sink>,
}

/// What an idle connection received.
enum Received {
    Request(RequestHead, Time),
    Rejected(u16),
    Closed,
}

impl Connection {
    async fn serve(stream: TcpStream, node: Rc<Node>) {
        exchange::set_socket_options(&stream);
        let (source, sink) = http::split(stream);
        let mut connection = Self {
            node,
            source,
            sink: Some(sink),
        };
        while connection.serve_next().await {}
    }

    /// Serves one request; returns whether the connection can carry another one.
    async fn serve_next(&mut self) -> bool {
        match self.receive_head().await {
            Received::Request(head, arrived_at) => self.serve_request(head, arrived_at).await,
            Received::Rejected(status) => {
                self.reject(status).await;
                false
            }
            Received::Closed => false,
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
                Received::Rejected(400)
            }
            Ok(Err(http::Error::HeadTooLong { .. })) => Received::Rejected(431),
            Ok(Err(_)) => Received::Closed,
            Err(_) => Received::Rejected(408),
        }
    }

    async fn reject(&mut self, status: u16) {
        if let Some(sink) = &mut self.sink {
            let response = empty_response(status, &[], None, false);
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
        let bytes = DISCARD_BODIES * self.node.catalog().limits.body_bytes;
        drop(timeout(DISCARD_TIMEOUT, self.source.discard(bytes)).await);
    }

    async fn serve_request(&mut self, head: RequestHead, arrived_at: Time) -> bool {
        let limits = self.node.catalog().limits.clone();
        if head.fields.has_token("expect", "100-continue")
            && let Some(sink) = &mut self.sink
            && http::send(sink, b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return false;
        }
        let mut framing = head.framing.clone();
        let read = self.source.body(&mut framing, limits.body_bytes);
        let body = match timeout(limits.idle_timeout, read).await {
            Ok(Ok(Some(body))) => body,
            Ok(Ok(None)) => {
                self.reject(413).await;
                return false;
            }
            Ok(Err(http::Error::Malformed { .. })) => {
                self.reject(400).await;
                return false;
            }
            Ok(Err(_)) => return false,
            Err(_) => {
                self.reject(408).await;
                return false;
            }
        };
        self.run_handler(head, body, arrived_at).await
    }

    async fn run_handler(&mut self, head: RequestHead, body: Bytes, arrived_at: Time) -> bool {
        let Some(sink) = self.sink.take() else {
            return false;
        };
        let keep_alive = head.keep_alive && self.node.leaving_since().is_none();
        let client = ResponseWriter::new(sink, &head, keep_alive);
        let outlives_client = Rc::new(Cell::new(false));
        let handler = RequestHandler::new(
            self.node.clone(),
            head,
            body,
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
