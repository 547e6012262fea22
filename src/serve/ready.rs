//! Tells the platform's balancer whether this daemon takes new connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::relay::refusal;
use super::{Node, http};

/// How long the balancer may take to ask.
const ASK_TIME: Duration = Duration::from_secs(5);
/// The longest question, in bytes.
const ASK_BYTES: usize = 8 * 1024;

/// Answers for as long as the process lives.
pub async fn serve(listener: TcpListener, node: Rc<Node>) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn_local(one(stream, node.clone()));
        } else {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn one(stream: TcpStream, node: Rc<Node>) {
    let (mut source, mut sink) = http::split(stream);
    while let Ok(Ok(head)) = timeout(ASK_TIME, source.head(ASK_BYTES)).await {
        let status = if node.is_ready() { 200 } else { 503 };
        let answer = refusal(status, &[], None, head.keep);
        if http::send(&mut sink, &answer).await.is_err() || !head.keep {
            return;
        }
    }
}
