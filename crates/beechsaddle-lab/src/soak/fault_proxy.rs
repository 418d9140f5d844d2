//! The `fault_proxy` module provides a proxy on loopback that harms what passes it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// What a path does to what passes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathFault {
    /// Nothing.
    #[default]
    None,
    /// It holds each part back for so long.
    Delayed(Duration),
    /// Nothing gets through in either direction, and nobody is told. What was sent arrives when the
    /// path is whole again.
    Silent,
    /// Nothing gets through towards the one that connected.
    SilentBack,
    /// Connections are reset, old and new ones.
    Reset,
    /// Old connections end and new ones are refused, as where a process has ended. It stays so.
    Refused,
}

/// The two directions of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Forth,
    Back,
}

/// A proxy in front of one address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<watch::Sender<PathFault>>,
}

impl FaultProxy {
    /// Starts a proxy on loopback that does no harm.
    ///
    /// # Errors
    ///
    /// When no port is free.
    pub async fn try_start(behind: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = FaultProxy {
            address: listener.local_addr()?,
            fault: Arc::new(watch::Sender::new(PathFault::None)),
        };
        tokio::spawn(proxy.clone().run(listener, behind));
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms the path, or not any more.
    pub fn set(&self, fault: PathFault) {
        self.fault.send_replace(fault);
    }

    async fn run(self, listener: TcpListener, behind: SocketAddr) {
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
            tokio::spawn(pass(stream, behind, fault));
        }
    }
}

/// Has the connection end with a reset instead of an end.
fn reset(stream: &TcpStream) {
    // A connection that is closed already needs no reset.
    let _ = stream.set_zero_linger();
}

async fn pass(stream: TcpStream, behind: SocketAddr, mut fault: watch::Receiver<PathFault>) {
    let Ok(other) = TcpStream::connect(behind).await else {
        reset(&stream);
        return;
    };
    // Small messages pass one by one, as they would without a proxy.
    let _ = stream.set_nodelay(true).and(other.set_nodelay(true));
    let (read, write) = stream.into_split();
    let (other_read, other_write) = other.into_split();
    let mut forth = tokio::spawn(pump(read, other_write, fault.clone(), Direction::Forth));
    let mut back = tokio::spawn(pump(other_read, write, fault.clone(), Direction::Back));
    tokio::select! {
        _ = async { let _ = (&mut forth).await; let _ = (&mut back).await; } => {}
        _ = fault.wait_for(|fault| matches!(fault, PathFault::Reset | PathFault::Refused)) => {
            forth.abort();
            back.abort();
        }
    }
}

/// Passes bytes on until one side ends. Halves that are dropped while bytes are unread reset.
async fn pump(
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
    // The other side may be gone already.
    let _ = write.shutdown().await;
}

async fn wait_until_open(fault: &mut watch::Receiver<PathFault>, direction: Direction) {
    loop {
        let current = *fault.borrow_and_update();
        match (current, direction) {
            (PathFault::Delayed(span), _) => return sleep(span).await,
            (PathFault::Silent, _) | (PathFault::SilentBack, Direction::Back) => {
                if fault.changed().await.is_err() {
                    return;
                }
            }
            (
                PathFault::None | PathFault::Reset | PathFault::Refused | PathFault::SilentBack,
                _,
            ) => return,
        }
    }
}
