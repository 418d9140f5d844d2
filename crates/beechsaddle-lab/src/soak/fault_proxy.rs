//! The `fault_proxy` module provides a loopback TCP proxy with fault injection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathFault {
    /// No fault.
    #[default]
    None,
    /// Each chunk of bytes is delayed by this time.
    Delayed(Duration),
    /// No bytes are forwarded in either direction, and connections stay open. Bytes sent meanwhile
    /// are delivered when the fault ends.
    Stalled,
    /// No bytes are forwarded towards the client that connected.
    ResponsesStalled,
    /// Open and new connections are reset.
    Reset,
    /// Open connections end and new ones are refused, as after the exit of a process. This is
    /// permanent.
    Refused,
}

/// The direction of forwarded bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Upstream,
    Downstream,
}

/// A proxy in front of an upstream address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<watch::Sender<PathFault>>,
}

impl FaultProxy {
    /// Starts a proxy on loopback, without a fault.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn try_start(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = FaultProxy {
            address: listener.local_addr()?,
            fault: Arc::new(watch::Sender::new(PathFault::None)),
        };
        tokio::spawn(proxy.clone().run(listener, upstream));
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of all connections; [`PathFault::None`] ends it.
    pub fn set(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }

    async fn run(self, listener: TcpListener, upstream: SocketAddr) {
        let mut ended = self.fault.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ended.wait_for(|fault| *fault == PathFault::Refused) => return,
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            let fault = self.fault.subscribe();
            if *fault.borrow() == PathFault::Reset {
                reset(&stream);
                continue;
            }
            tokio::spawn(forward(stream, upstream, fault));
        }
    }
}

/// Makes a connection close with RST instead of FIN.
fn reset(stream: &TcpStream) {
    // A connection that is already closed needs no reset.
    let _ = stream.set_zero_linger();
}

async fn forward(stream: TcpStream, upstream: SocketAddr, mut fault: watch::Receiver<PathFault>) {
    let Ok(upstream_stream) = TcpStream::connect(upstream).await else {
        reset(&stream);
        return;
    };
    // Small messages are forwarded one by one, as they would arrive without the proxy.
    let _ = stream
        .set_nodelay(true)
        .and(upstream_stream.set_nodelay(true));
    let (read, write) = stream.into_split();
    let (upstream_read, upstream_write) = upstream_stream.into_split();
    let mut to_upstream = tokio::spawn(copy_bytes(
        read,
        upstream_write,
        fault.clone(),
        Direction::Upstream,
    ));
    let mut to_client = tokio::spawn(copy_bytes(
        upstream_read,
        write,
        fault.clone(),
        Direction::Downstream,
    ));
    tokio::select! {
        _ = async { let _ = (&mut to_upstream).await; let _ = (&mut to_client).await; } => {}
        _ = fault.wait_for(|fault| matches!(fault, PathFault::Reset | PathFault::Refused)) => {
            to_upstream.abort();
            to_client.abort();
        }
    }
}

/// Forwards bytes until one side ends. Dropping a half with unread bytes resets its connection.
async fn copy_bytes(
    mut read: OwnedReadHalf,
    mut write: OwnedWriteHalf,
    mut fault: watch::Receiver<PathFault>,
    direction: Direction,
) {
    let mut buffer = [0_u8; 16_384];
    loop {
        let count = match read.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        wait_until_open(&mut fault, direction).await;
        if write.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    wait_until_open(&mut fault, direction).await;
    // The other side may already have closed the connection.
    let _ = write.shutdown().await;
}

async fn wait_until_open(fault: &mut watch::Receiver<PathFault>, direction: Direction) {
    loop {
        let current = *fault.borrow_and_update();
        match (current, direction) {
            (PathFault::Delayed(span), _) => return sleep(span).await,
            (PathFault::Stalled, _) | (PathFault::ResponsesStalled, Direction::Downstream) => {
                if fault.changed().await.is_err() {
                    return;
                }
            }
            (
                PathFault::None
                | PathFault::Reset
                | PathFault::Refused
                | PathFault::ResponsesStalled,
                _,
            ) => return,
        }
    }
}
