//! Connections to endpoints that one daemon passes on for another, whose own link is at fault.
//!
//! The request is HTTP's CONNECT with the id of an endpoint. A daemon passes on to endpoints that it lists and
//! reaches by itself, never by way of a third one, and obeys what endpoints have told it. What it passes back comes
//! in chunks, of which the last one tells that the endpoint has closed: a process that ends closes its connections,
//! too. See [the design note](../../docs/design/links.md).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use slog::{debug, info};
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::carrier::Carrier;
use super::dialer::Target;
use super::ending::Sent;
use super::exchange::{self, CONNECT_TIMEOUT, Connection};
use super::http::{self, Fields, Framing, LAST_CHUNK, ResponseHead, Sink, Source, write_chunk};
use super::residency::Residency;
use super::response::empty_response;
use super::{Node, protocol};
use crate::id;

/// How long a daemon that passes connections on may take: it tries the endpoint, and checks its own link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a new connection may take to tell which endpoint it is for.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest request to pass a connection on.
const MAX_HEAD_BYTES: usize = 1024;
/// The most connections that are passed on at once; each takes two descriptors and some buffers.
const MAX_TUNNELS: usize = 512;
/// How long an endpoint may be silent when this VM has lost its link.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

const METHOD: &str = "CONNECT";
/// The field in which both daemons say that the endpoint's bytes come in chunks. A daemon of an earlier release does
/// not.
const FRAMING_FIELD: &str = "Tunnel-Framing";
const CHUNKED: &str = "chunked";
/// The connection is passed on.
const OPENED: u16 = 200;
/// The endpoint takes nothing from this daemon, or it is not the one that was meant.
const CLOSED: u16 = 403;
/// The endpoint is not reached, others are.
const UNREACHED: u16 = 502;
/// This daemon passes nothing on now.
const UNAVAILABLE: u16 = 503;

/// Why a connection was not passed on; nothing was sent to the endpoint.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The other daemon was not reached.
    #[snafu(display("connecting to {daemon}: {source}"))]
    Connect {
        /// The other daemon.
        daemon: id::Daemon,
        /// What went wrong.
        source: exchange::Error,
    },
    /// The other daemon did not answer.
    #[snafu(display("asking {daemon}: {source}"))]
    Ask {
        /// The other daemon.
        daemon: id::Daemon,
        /// What went wrong.
        source: http::Error,
    },
    /// The other daemon did not answer in time.
    #[snafu(display("{daemon} does not answer"))]
    TimedOut {
        /// The other daemon.
        daemon: id::Daemon,
    },
    /// The other daemon reaches endpoints, but not this one.
    #[snafu(display("{daemon} does not reach {endpoint}"))]
    Unreached {
        /// The other daemon.
        daemon: id::Daemon,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// The endpoint takes nothing from the other daemon.
    #[snafu(display("{endpoint} is closed for {daemon}"))]
    Closed {
        /// The other daemon.
        daemon: id::Daemon,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// The other daemon passes nothing on now.
    #[snafu(display("{daemon} refuses with status {status}"))]
    Refused {
        /// The other daemon.
        daemon: id::Daemon,
        /// Its answer.
        status: u16,
    },
}

/// Has another daemon pass a connection on.
///
/// # Errors
///
/// Fails when it does not; nothing was sent to the endpoint then.
pub async fn open(carrier: &Carrier, target: &Target) -> Result<Connection, Error> {
    let daemon = carrier.name.clone();
    let opened = timeout(OPEN_TIMEOUT, request(carrier, target)).await;
    opened.unwrap_or(Err(Error::TimedOut { daemon }))
}

async fn request(carrier: &Carrier, target: &Target) -> Result<Connection, Error> {
    let (daemon, endpoint) = (&*carrier.name, &*target.endpoint);
    let connection = exchange::connect_once(carrier.address, OPEN_TIMEOUT).await;
    let (mut source, mut sink) = connection.context(ConnectSnafu { daemon })?.into_halves();
    let head = format!(
        "{METHOD} {endpoint} HTTP/1.1\r\nHost: {endpoint}\r\n{FRAMING_FIELD}: {CHUNKED}\r\n\r\n"
    );
    let sent = http::send(&mut sink, head.as_bytes()).await;
    sent.context(AskSnafu { daemon })?;
    let head = source.response_head().await;
    let head = head.context(AskSnafu { daemon })?;
    match head.status {
        OPENED => {
            source.carry(is_chunked(&head.fields));
            Ok(Connection::detour(source, sink, target.address))
        }
        UNREACHED => UnreachedSnafu { daemon, endpoint }.fail(),
        CLOSED => ClosedSnafu { daemon, endpoint }.fail(),
        status => RefusedSnafu { daemon, status }.fail(),
    }
}

fn is_chunked(fields: &Fields) -> bool {
    fields.get(FRAMING_FIELD) == Some(CHUNKED)
}

/// Passes connections on as long as the process runs.
pub async fn listen(listener: TcpListener, node: Rc<Node>) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve(stream, node.clone(), open.clone()))),
            Err(error) => {
                info!(node.log, "connection of another daemon not accepted"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, node: Rc<Node>, open: Rc<Cell<usize>>) {
    exchange::set_socket_options(&stream);
    let (mut source, mut sink) = http::split(stream);
    let head = timeout(REQUEST_TIMEOUT, source.request_head(MAX_HEAD_BYTES)).await;
    let Ok(Ok(head)) = head else {
        return;
    };
    let endpoint = id::Endpoint::from(head.target.as_str());
    let dialed = if head.method == METHOD && open.get() < MAX_TUNNELS {
        dial(&node, &endpoint).await
    } else {
        Err(UNAVAILABLE)
    };
    let status = dialed.as_ref().err().copied().unwrap_or(OPENED);
    debug!(node.log, "connection passed on";
        "endpoint" => &*endpoint, "status" => status, "open" => open.get());
    let is_chunked = is_chunked(&head.fields);
    // The answer has no body and no length: what follows is the endpoint's.
    let answer = match status {
        OPENED if is_chunked => {
            format!("HTTP/1.1 200 OK\r\n{FRAMING_FIELD}: {CHUNKED}\r\n\r\n").into_bytes()
        }
        OPENED => b"HTTP/1.1 200 OK\r\n\r\n".to_vec(),
        status => empty_response(status, &[], None, false),
    };
    let sent = http::send(&mut sink, &answer).await;
    if let (Ok((target, connection)), Ok(())) = (dialed, sent) {
        open.set(open.get() + 1);
        let daemon = Asker {
            source,
            sink,
            is_chunked,
        };
        pass_on(&node, &target, daemon, connection).await;
        open.set(open.get() - 1);
    }
}

/// Connects to an endpoint for another daemon; returns the status of its refusal otherwise.
async fn dial(node: &Node, endpoint: &id::Endpoint) -> Result<(Target, Connection), u16> {
    if node.leaving_since().is_some() || node.dialer.is_down() {
        return Err(UNAVAILABLE);
    }
    let address = node
        .registry
        .borrow()
        .get(endpoint)
        .map(|known| known.address);
    if address.is_none() && !node.registry.borrow().is_leaving(endpoint) {
        return Err(UNAVAILABLE);
    }
    if node.is_closed(endpoint) {
        return Err(CLOSED);
    }
    let Some(address) = address else {
        return Err(UNAVAILABLE);
    };
    let target = Target {
        endpoint: endpoint.clone(),
        address,
        // This daemon passes it on by itself.
        residency: Residency::default(),
    };
    let began = node.clock.now();
    if let Ok(connection) = node.dialer.dial(&target, CONNECT_TIMEOUT).await {
        // It may have closed itself, or been evacuated, meanwhile.
        return if node.is_closed(endpoint) {
            Err(CLOSED)
        } else {
            Ok((target, connection))
        };
    }
    match node.dialer.check(began).await {
        true => Err(UNREACHED),
        false => Err(UNAVAILABLE),
    }
}

/// A request on a connection that is passed on; a stopping daemon waits for its end.
struct UnderWay<'a>(&'a Node);

impl<'a> UnderWay<'a> {
    fn begin(node: &'a Node) -> Self {
        node.carried_requests.set(node.carried_requests.get() + 1);
        Self(node)
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        let count = &self.0.carried_requests;
        count.set(count.get().saturating_sub(1));
    }
}

/// The daemon for which a connection is passed on.
struct Asker {
    source: Source,
    sink: Sink,
    is_chunked: bool,
}

/// Passes bytes on in both directions until one of them ends. The daemon's end is the endpoint's client
/// leaving, so both end with it.
async fn pass_on(node: &Rc<Node>, target: &Target, daemon: Asker, connection: Connection) {
    let Asker {
        source: mut from_daemon,
        sink: mut to_daemon,
        is_chunked,
    } = daemon;
    let (mut from_endpoint, mut to_endpoint) = connection.into_halves();
    let mut under_way = None;
    let sent = Cell::new(None);
    let upload = RefCell::new(Upload::default());
    let requests = async {
        while let Ok(bytes) = from_daemon.bytes().await {
            // What has begun to run goes on.
            if under_way.is_none() && node.is_closed(&target.endpoint) {
                return;
            }
            under_way.get_or_insert_with(|| {
                sent.set(Some(Sent {
                    at: node.clock.now(),
                    born: node.listed_birth(&target.endpoint),
                }));
                UnderWay::begin(node)
            });
            upload.borrow_mut().push(&bytes);
            if bytes.is_empty() || http::send(&mut to_endpoint, &bytes).await.is_err() {
                return;
            }
            upload.borrow_mut().sent(bytes.len());
        }
    };
    let answers = pass_answers_on(
        node,
        (target, &sent, &upload),
        &mut from_endpoint,
        (&mut to_daemon, is_chunked),
    );
    let is_complete = tokio::select! {
        biased;
        is_complete = answers => is_complete,
        () = requests => false,
    };
    match (is_complete, is_chunked) {
        (true, true) => drop(http::send(&mut to_daemon, LAST_CHUNK).await),
        (true, false) => drop(to_daemon.shutdown().await),
        (false, true) => {}
        // Only a reset shows a daemon of an earlier release that what was passed on is not complete.
        (false, false) => reset(to_daemon),
    }
}

/// Ends a connection with a reset once its reading half is dropped.
fn reset(sink: Sink) {
    let socket: &TcpStream = sink.as_ref();
    drop(SockRef::from(socket).set_linger(Some(Duration::ZERO)));
    // Dropping the half would send a close first, which looks like the end of an answer without a length.
    sink.forget();
}

/// Passes answers on until the endpoint closes the connection; returns false if the last answer may be cut short by that
/// and does not show it.
async fn pass_answers_on(
    node: &Rc<Node>,
    (target, sent, upload): (&Target, &Cell<Option<Sent>>, &RefCell<Upload>),
    from_endpoint: &mut Source,
    (to_daemon, is_chunked): (&mut Sink, bool),
) -> bool {
    let mut start = Start::default();
    let mut chunk = Vec::new();
    let mut is_unframed = false;
    let mut ending = None;
    loop {
        let bytes = match timeout(SILENCE_TIMEOUT, from_endpoint.bytes()).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(_)) => return false,
            Err(_) if node.dialer.is_down() => return false,
            Err(_) => continue,
        };
        if let Some(head) = start.push(&bytes) {
            // It binds this VM, too.
            let meta: protocol::ResponseMeta = node.protocol.parse_response(&head, "");
            let now = node.clock.now();
            node.closures.record(&target.endpoint, &meta, now);
            is_unframed = head.framing == Framing::Close;
            let sent = sent.get().filter(|_| is_unframed);
            ending = sent.map(|sent| node.expect_end(target, sent));
        }
        if bytes.is_empty() {
            return match &ending {
                Some(ending) => {
                    node.confirms_end(ending).await
                        && upload.borrow().is_over()
                        && !from_endpoint.is_reset()
                }
                // Whether any other answer is whole shows in itself.
                None => !is_unframed,
            };
        }
        let bytes = if is_chunked {
            chunk.clear();
            write_chunk(&mut chunk, &bytes);
            &chunk
        } else {
            &bytes[..]
        };
        if http::send(to_daemon, bytes).await.is_err() {
            return false;
        }
    }
}

/// How much of a request was passed on. An endpoint that closes before it has all of it may have dropped part of its
/// answer, too.
#[derive(Default)]
struct Upload {
    /// Its first bytes, until its length is known.
    start: BytesMut,
    length: Option<u64>,
    sent: u64,
}

impl Upload {
    fn push(&mut self, bytes: &[u8]) {
        if self.length.is_none() && self.start.len() <= http::MAX_RESPONSE_HEAD_BYTES {
            self.start.extend_from_slice(bytes);
            self.length = http::request_length(&self.start).ok().flatten();
        }
    }

    fn sent(&mut self, bytes: usize) {
        self.sent += bytes as u64;
    }

    fn is_over(&self) -> bool {
        self.length.is_some_and(|length| self.sent >= length)
    }
}

/// The first bytes of an answer, until its head is complete.
#[derive(Default)]
struct Start {
    bytes: BytesMut,
    is_over: bool,
}

impl Start {
    /// Adds bytes; returns the head once it is complete.
    fn push(&mut self, bytes: &[u8]) -> Option<ResponseHead> {
        if self.is_over {
            return None;
        }
        self.bytes.extend_from_slice(bytes);
        match http::parse_response_head(&self.bytes) {
            Ok(None) if self.bytes.len() <= http::MAX_RESPONSE_HEAD_BYTES => None,
            parsed => {
                self.is_over = true;
                self.bytes = BytesMut::new();
                parsed.ok().flatten()
            }
        }
    }
}
