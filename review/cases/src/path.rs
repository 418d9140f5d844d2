//! One router's way to one target, which can be cut without a sign.

use std::io;
use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A way that copies bytes while it is open. It runs until the runtime ends.
pub struct TargetPath {
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl TargetPath {
    pub fn try_start(target: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        // With a short queue, a few connections that nobody accepts make further ones time out.
        let listener = socket.listen(4)?;
        let address = listener.local_addr()?;
        let is_cut = watch::Sender::new(false);
        tokio::spawn(run(listener, address, target, is_cut.subscribe()));
        Ok(TargetPath { address, is_cut })
    }

    /// Cuts the way: new connections get no answer, and nothing passes on those that exist.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    pub fn heal(&self) {
        self.is_cut.send_replace(false);
    }
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut is_cut: watch::Receiver<bool>,
) {
    let mut fillers = JoinSet::new();
    loop {
        if *is_cut.borrow_and_update() {
            for _ in 0..8 {
                fillers.spawn(async move {
                    // Held until the way is open again.
                    let _held = TcpStream::connect(address).await;
                    std::future::pending::<()>().await;
                });
            }
            if is_cut.changed().await.is_err() {
                return;
            }
            fillers.abort_all();
            continue;
        }
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((router, _)) => {
                    tokio::spawn(forward(router, target, is_cut.clone()));
                }
                Err(_) => return,
            },
            changed = is_cut.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

async fn forward(mut router: TcpStream, target: SocketAddr, mut is_cut: watch::Receiver<bool>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        // Either end may close at any moment.
        _ = copy_bidirectional(&mut router, &mut server) => return,
        _ = is_cut.wait_for(|is_cut| *is_cut) => {}
    }
    // Neither end sees anything while the way is cut.
    let _ = is_cut.wait_for(|is_cut| !is_cut).await;
}
