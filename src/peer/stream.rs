//! Byte streams of connections: counted, and compressed where the link is billed by the byte.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_compression::Level;
use async_compression::futures::bufread::DeflateDecoder;
use async_compression::futures::write::DeflateEncoder;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, VatNetwork as Network};
use futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter};
use futures::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt};

/// The most words of a message, 8 bytes each; a larger message closes the connection.
const MAX_MESSAGE_WORDS: usize = 2 << 20;
/// How long sent bytes may stay unacknowledged before the connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// The RPC protocol on one connection.
pub type System = RpcSystem<Side>;

/// The coding of a connection's bytes, sent as its first byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Coding {
    /// Uncompressed, for short messages between daemons.
    Plain = 0,
    /// Compressed with the history of the connection, for stages across the regional link.
    Deflate = 1,
}

/// The number of bytes that crossed a connection, in both directions.
pub type ByteCount = Rc<Cell<u64>>;

struct CountedStream {
    inner: Compat<TcpStream>,
    count: ByteCount,
}

impl CountedStream {
    fn add(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.count.set(self.count.get() + *bytes as u64);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.add(&polled);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(context, buffer);
        self.add(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}

fn counted(stream: TcpStream, count: ByteCount) -> CountedStream {
    drop(stream.set_nodelay(true));
    let socket = socket2::SockRef::from(&stream);
    drop(socket.set_tcp_user_timeout(Some(ACK_TIMEOUT)));
    CountedStream {
        inner: stream.compat(),
        count,
    }
}

/// Starts the protocol on a connection that this side opened.
pub async fn open(stream: TcpStream, coding: Coding, count: ByteCount) -> io::Result<System> {
    let mut stream = counted(stream, count);
    stream.write_all(&[coding as u8]).await?;
    Ok(system(stream, coding, Side::Client, None))
}

/// Starts the protocol on a connection that another daemon opened.
pub async fn accept(stream: TcpStream, host: capnp::capability::Client) -> io::Result<System> {
    let mut stream = counted(stream, ByteCount::default());
    let mut coding = [0];
    stream.read_exact(&mut coding).await?;
    let coding = match coding[0] {
        0 => Coding::Plain,
        1 => Coding::Deflate,
        other => return Err(io::Error::other(format!("unknown coding {other}"))),
    };
    Ok(system(stream, coding, Side::Server, Some(host)))
}

fn system(
    stream: CountedStream,
    coding: Coding,
    side: Side,
    host: Option<capnp::capability::Client>,
) -> System {
    let (reader, writer) = stream.split();
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer));
    let network: Box<dyn Network<Side>> = match coding {
        Coding::Plain => Box::new(VatNetwork::new(reader, writer, side, reader_options())),
        Coding::Deflate => {
            let reader = DeflateDecoder::new(reader);
            let writer = DeflateEncoder::with_quality(writer, Level::Fastest);
            Box::new(VatNetwork::new(reader, writer, side, reader_options()))
        }
    };
    RpcSystem::new(network, host)
}

/// Returns options that bound a message.
fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_WORDS));
    options
}
