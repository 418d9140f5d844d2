//! Proxies between one router and the targets, which can be cut while other routers reach them.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::rc::Rc;

use beechsaddle_platform_stand_in::TargetStandIn;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// What a router's path to a target does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathMode {
    /// Forwards everything.
    Open,
    /// Drops everything without a sign.
    Hanging,
    /// Resets connections and refuses new ones.
    Refusing,
    /// Leaves connections as they are and refuses new ones.
    RefusingNew,
}

/// A router's path to one target.
pub struct TargetPath {
    target: SocketAddr,
    address: SocketAddr,
    mode: watch::Sender<PathMode>,
}

impl TargetPath {
    async fn start(target: SocketAddr) -> Rc<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)));
        let address = listener.local_addr().expect("its address");
        let path = Rc::new(TargetPath {
            target,
            address,
            mode: watch::Sender::new(PathMode::Open),
        });
        tokio::spawn(run_path(listener, address, target, path.mode.subscribe()));
        path
    }

    pub fn set_mode(&self, mode: PathMode) {
        self.mode.send_replace(mode);
    }

    /// Returns the address at which the router reaches the path.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an option");
    socket.bind(address).expect("an address");
    // With a short queue, a few connections that nobody accepts make further ones time out.
    socket.listen(4).expect("a listener")
}

async fn run_path(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut mode: watch::Receiver<PathMode>,
) {
    let mut listener = Some(listener);
    let mut fillers: Vec<JoinHandle<()>> = Vec::new();
    loop {
        let now = *mode.borrow_and_update();
        fillers.drain(..).for_each(|filler| filler.abort());
        match now {
            PathMode::Open => {
                let open = listener.take().unwrap_or_else(|| listen(address));
                tokio::select! {
                    () = accept_all(&open, target, mode.clone()) => {}
                    _ = mode.changed() => {}
                }
                listener = Some(open);
            }
            PathMode::Hanging => {
                let filler = || async move {
                    // Held until the path is open again.
                    let _held = TcpStream::connect(address).await;
                    std::future::pending::<()>().await;
                };
                fillers.extend((0..8).map(|_| tokio::spawn(filler())));
                if mode.changed().await.is_err() {
                    return;
                }
                listener = None;
            }
            PathMode::Refusing | PathMode::RefusingNew => {
                listener = None;
                if mode.changed().await.is_err() {
                    return;
                }
            }
        }
        if mode.has_changed().is_err() {
            return;
        }
    }
}

async fn accept_all(listener: &TcpListener, target: SocketAddr, mode: watch::Receiver<PathMode>) {
    while let Ok((router, _)) = listener.accept().await {
        tokio::spawn(forward(router, target, mode.clone()));
    }
}

async fn forward(mut router: TcpStream, target: SocketAddr, mut mode: watch::Receiver<PathMode>) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let mut cuts = mode.clone();
    tokio::select! {
        // Either end may close at any moment; the other one notices.
        _ = copy_bidirectional(&mut router, &mut server) => return,
        _ = cuts.wait_for(|mode| matches!(mode, PathMode::Hanging | PathMode::Refusing)) => {}
    }
    let is_reset = *mode.borrow() == PathMode::Refusing;
    if is_reset {
        // A socket that is already gone needs no reset.
        let _ = router.set_zero_linger();
    } else {
        // Neither end sees anything until the path opens again.
        let _ = mode.wait_for(|mode| *mode == PathMode::Open).await;
    }
}

/// Starts a router's path to the store, which can be cut while other routers reach the store.
pub async fn store_path(store: SocketAddr) -> Rc<TargetPath> {
    TargetPath::start(store).await
}

/// One router's view of the store: the addresses of targets are those of its own paths.
pub struct StoreView {
    pub address: SocketAddr,
    pub paths: Vec<Rc<TargetPath>>,
}

impl StoreView {
    /// Starts paths to the targets and a proxy to the store that names the paths' addresses.
    pub async fn start<'a>(
        store: SocketAddr,
        targets: impl IntoIterator<Item = &'a TargetStandIn>,
    ) -> Self {
        let mut paths = Vec::new();
        for target in targets {
            paths.push(TargetPath::start(target.address()).await);
        }
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let names = paths.iter().map(|path| Renaming {
            from: path.target.to_string().into_bytes(),
            to: path.address.to_string().into_bytes(),
        });
        let names: Vec<_> = names.collect();
        for name in &names {
            assert_eq!(
                name.from.len(),
                name.to.len(),
                "lengths in heads stay valid"
            );
        }
        tokio::spawn(async move {
            while let Ok((router, _)) = listener.accept().await {
                tokio::spawn(serve_view(router, store, names.clone()));
            }
        });
        StoreView { address, paths }
    }

    /// Sets what all paths do.
    pub fn set_mode(&self, mode: PathMode) {
        self.paths.iter().for_each(|path| path.set_mode(mode));
    }
}

#[derive(Clone)]
struct Renaming {
    from: Vec<u8>,
    to: Vec<u8>,
}

async fn serve_view(router: TcpStream, store: SocketAddr, names: Vec<Renaming>) {
    let Ok(server) = TcpStream::connect(store).await else {
        return;
    };
    let (mut router_reader, mut router_writer) = router.into_split();
    let (mut server_reader, mut server_writer) = server.into_split();
    let requests = async move {
        // The connection ends with either of its ends.
        let _ = tokio::io::copy(&mut router_reader, &mut server_writer).await;
    };
    let responses = async move {
        let mut buffer = vec![0; 64 * 1_024];
        while let Ok(count @ 1..) = server_reader.read(&mut buffer).await {
            rename(&mut buffer[..count], &names);
            if router_writer.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

/// Replaces the targets' addresses. The store writes each response at once, so that none is split.
fn rename(bytes: &mut [u8], names: &[Renaming]) {
    for name in names {
        let length = name.from.len();
        let mut start = 0;
        while let Some(offset) = bytes[start..]
            .windows(length)
            .position(|part| part == name.from)
        {
            bytes[start + offset..start + offset + length].copy_from_slice(&name.to);
            start += offset + length;
        }
    }
}
