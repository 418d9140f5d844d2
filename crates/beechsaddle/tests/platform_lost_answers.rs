//! Tests of platform calls whose response is lost.

mod platform_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use beechsaddle::platform::PlatformOptions;
use beechsaddle_core::platform::{PlatformReply, WriteGuard};
use beechsaddle_lab::stand_in::platform::{PlatformFault, PlatformFaults};
use beechsaddle_lab::stand_in::{PlatformOptions as ServerOptions, PlatformServer};
use platform_support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn server() -> PlatformServer {
    PlatformServer::try_start(ServerOptions::default()).unwrap()
}

// The write of a grant takes effect and its response is lost. If the outcome counted as a failure,
// the holder would take the grant a second time. It must read back instead.
#[tokio::test]
async fn write_lost_answer() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(write_faults(PlatformFault::LostAnswer));
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(found_version(&client.read("a/1").await), 1);
}

// The response is lost before the write takes effect: an immediate read finds nothing, and the
// write appears later.
#[tokio::test]
async fn write_late_effect() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(write_faults(PlatformFault::LateWrite { late_ms: 60 }));
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Unknown);
    assert_eq!(client.read("a/1").await, PlatformReply::Absent);
    tokio::time::sleep(Duration::from_millis(120)).await;
    assert_eq!(found_version(&client.read("a/1").await), 1);
}

// The platform refuses connections, so nothing was written and a waiting call may be refused as not
// run. The same holds when the client had a working connection before.
#[tokio::test]
async fn write_refused_connect() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(PlatformFaults {
        refuse_ms: 60_000,
        ..PlatformFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(30)).await;
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Unreachable);

    server.set_faults(PlatformFaults::default());
    tokio::time::sleep(Duration::from_millis(50)).await;
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Written { version: 1 });
}

// The platform accepts the write and never responds. The call must end within its time limit with
// an unknown outcome.
#[tokio::test]
async fn write_without_answer() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(faults(PlatformFault::Hang));
    let started = Instant::now();
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Unknown);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_millis(300) && elapsed < Duration::from_secs(2));
}

#[tokio::test]
async fn write_slow_answer() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(faults(PlatformFault::Delay { ms: 100 }));
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Written { version: 1 });
}

/// Sends `response` to every request except the one numbered `unanswered`, after which it closes
/// the connection. Counts the requests that arrive on all connections.
async fn raw_server(response: &'static str, unanswered: u32) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrived = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&arrived);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(raw_connection(
                stream,
                response,
                unanswered,
                Arc::clone(&counter),
            ));
        }
    });
    (address, arrived)
}

async fn raw_connection(
    mut stream: TcpStream,
    response: &'static str,
    unanswered: u32,
    arrived: Arc<AtomicU32>,
) {
    let mut buffer = vec![0; 4096];
    // The requests are small and arrive in one read.
    while stream.read(&mut buffer).await.is_ok_and(|size| size > 0) {
        let number = arrived.fetch_add(1, Ordering::SeqCst) + 1;
        if number == unanswered || stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn raw_options(address: SocketAddr) -> PlatformOptions {
    PlatformOptions {
        timeout_ms: 300,
        ..PlatformOptions::new(address)
    }
}

// The second write uses the connection of the first. The platform reads it, possibly executes it,
// and closes. An HTTP client that takes this for a stale idle connection resends the write, which
// would then be executed twice.
#[tokio::test]
async fn write_reused_connection_closed() {
    let response = "HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: 0\r\n\r\n";
    let (address, arrived) = raw_server(response, 2).await;
    let client = client(&raw_options(address));
    let first = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(first, PlatformReply::Written { version: 5 });
    let second = client.write("a/2", layout(2), WriteGuard::Absent).await;
    assert_eq!(second, PlatformReply::Unknown);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(arrived.load(Ordering::SeqCst), 2);
}

// The platform closes an idle connection. The next write may use the closed connection, and must
// end in a reply and arrive at most once.
#[tokio::test]
async fn write_idle_connection_closed() {
    for pause_ms in [0, 1, 20] {
        let response = "HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: 0\r\n\r\n";
        let (address, arrived) = raw_server(response, 2).await;
        let client = client(&raw_options(address));
        let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
        assert_eq!(reply, PlatformReply::Written { version: 5 });
        let reply = client.write("a/2", layout(1), WriteGuard::Absent).await;
        assert_eq!(reply, PlatformReply::Unknown);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let before = arrived.load(Ordering::SeqCst);
        let reply = client.write("a/3", layout(1), WriteGuard::Absent).await;
        let after = arrived.load(Ordering::SeqCst);
        match reply {
            PlatformReply::Written { .. } => assert_eq!(after, before + 1),
            PlatformReply::Unknown => assert!(after <= before + 1),
            other => panic!("unexpected {other:?}"),
        }
    }
}

// The platform dies in the middle of a response. A partial value must not be used as the value, and
// a partial response to a write leaves its outcome unknown.
#[tokio::test]
async fn read_broken_answer() {
    let response = "HTTP/1.1 200 OK\r\netag: \"5\"\r\ncontent-length: 100\r\n\r\nhalf";
    let (address, _) = raw_server(response, 0).await;
    let client = client(&raw_options(address));
    assert_eq!(client.read("a/1").await, PlatformReply::Unknown);
    let write = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(write, PlatformReply::Unknown);
}

// A proxy in front of the platform responds for it after forwarding the write, so its 503 without a
// retry delay does not mean that nothing was changed.
#[tokio::test]
async fn write_error_of_proxy() {
    for response in [
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 504 Gateway Timeout\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
    ] {
        let (address, arrived) = raw_server(response, 0).await;
        let client = client(&raw_options(address));
        let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
        assert_eq!(reply, PlatformReply::Unknown, "{response}");
        assert_eq!(arrived.load(Ordering::SeqCst), 1);
    }
}

// A server with another protocol listens at the address.
#[tokio::test]
async fn write_to_non_http_server() {
    let (address, _) = raw_server("220 mail.example ESMTP\r\n", 0).await;
    let client = client(&raw_options(address));
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Unknown);
}
