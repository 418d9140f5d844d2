//! Tests of connecting with several staggered attempts.

use std::net::SocketAddr;
use std::time::Duration;

use beechsaddle_link::{HttpLink, LinkFailure, LinkOptions};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Returns a listener with a full accept queue, so that the operating system drops further SYNs,
/// and the connections that fill the queue.
async fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&address.into()).expect("a port");
    socket.listen(0).expect("a listener");
    socket.set_nonblocking(true).expect("a mode");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let mut held = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(100), TcpStream::connect(address)).await
    {
        held.push(stream);
    }
    (listener, held)
}

fn options(attempts: u32) -> LinkOptions {
    LinkOptions {
        connect_timeout: Duration::from_millis(150),
        connect_attempts: attempts,
        ..LinkOptions::default()
    }
}

#[tokio::test]
async fn connect_times_out_after_last_attempt() {
    let (listener, _held) = full_listener().await;
    let address = listener.local_addr().expect("its address");
    let linked = HttpLink::try_connect(address, options(2)).await;
    assert!(matches!(linked, Err(LinkFailure::ConnectTimeout)));
}

/// The path to a server is cut when a router connects and restored soon after. The operating system
/// retransmits the SYN only after a second; a new attempt must connect before that.
#[tokio::test]
async fn connect_later_attempt_succeeds_first() {
    let (listener, held) = full_listener().await;
    let address = listener.local_addr().expect("its address");
    let connecting = tokio::spawn(HttpLink::try_connect(address, options(4)));
    sleep(Duration::from_millis(200)).await;
    for _ in &held {
        listener.accept().await.expect("a connection");
    }
    let linked = timeout(Duration::from_millis(500), connecting).await;
    assert!(linked.expect("in time").expect("a task").is_ok());
}

/// No process listens on the port. The refused connection must be reported at once, without further
/// attempts.
#[tokio::test]
async fn connect_refused_is_not_retried() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let linked = timeout(
        Duration::from_millis(100),
        HttpLink::try_connect(address, options(9)),
    );
    let linked = linked.await.expect("at once");
    assert!(matches!(linked, Err(LinkFailure::Connect(_))));
}
