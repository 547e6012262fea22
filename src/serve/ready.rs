//! Tells the platform's load balancer whether this daemon takes new connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::response::empty_response;
use super::{Node, http};

/// The longest time until the head of a request has arrived.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest head of a request.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Answers readiness checks as long as the process lives.
pub async fn serve(listener: TcpListener, node: Rc<Node>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_connection(stream, node.clone()));
        } else {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn serve_connection(stream: TcpStream, node: Rc<Node>) {
    let (mut source, mut sink) = http::split(stream);
    while let Ok(Ok(head)) = timeout(REQUEST_TIMEOUT, source.request_head(MAX_HEAD_BYTES)).await {
        let status = if node.is_ready() { 200 } else { 503 };
        let answer = empty_response(status, &[], None, head.keep_alive);
        if http::send(&mut sink, &answer).await.is_err() || !head.keep_alive {
            return;
        }
    }
}
