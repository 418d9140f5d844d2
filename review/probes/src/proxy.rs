//! A proxy in front of the store. On request the connections that are open go silent for good, without a
//! reset; new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    silenced: watch::Sender<u64>,
    opened: Arc<AtomicU64>,
}

impl Proxy {
    pub async fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let proxy = Proxy {
            address: listener.local_addr().expect("an address"),
            silenced: watch::Sender::new(0),
            opened: Arc::default(),
        };
        let own = proxy.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                own.opened.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(carry(client, server, own.silenced.subscribe()));
            }
        });
        proxy
    }

    /// Silences all connections that are open now.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|count| *count += 1);
    }

    /// The number of connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }
}

async fn carry(mut client: TcpStream, server: SocketAddr, mut silenced: watch::Receiver<u64>) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let ended = {
        let (mut client_in, mut client_out) = client.split();
        let (mut server_in, mut server_out) = server.split();
        tokio::select! {
            () = copy(&mut client_in, &mut server_out) => true,
            () = copy(&mut server_in, &mut client_out) => true,
            _ = silenced.changed() => false,
        }
    };
    if !ended {
        // Nothing passes any more in either direction until the client closes.
        let mut part = [0; 4_096];
        while !matches!(client.read(&mut part).await, Ok(0) | Err(_)) {}
    }
}

async fn copy(reader: &mut (impl AsyncReadExt + Unpin), writer: &mut (impl AsyncWriteExt + Unpin)) {
    let mut part = [0; 16_384];
    while let Ok(count @ 1..) = reader.read(&mut part).await {
        if writer.write_all(&part[..count]).await.is_err() {
            return;
        }
    }
}
