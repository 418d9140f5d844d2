//! Tests of how connections end, as their servers see it.

use std::io::ErrorKind;
use std::time::Duration;

use beechsaddle_link::{HttpLink, LinkOptions};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const SIZED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
const CLOSING: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody";
const EMPTY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
const PARTIAL: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";
const INVALID: &str = "no answer\r\n\r\n";

async fn connected() -> (HttpLink, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let options = LinkOptions::default();
    let (link, accepted) = tokio::join!(HttpLink::try_connect(address, options), listener.accept());
    let (stream, _) = accepted.expect("a connection");
    (link.expect("a link"), stream)
}

fn request() -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::new());
    Request::get("/").body(body).expect("a request")
}

/// Reads a request without a body and answers it.
async fn answer(stream: &mut TcpStream, answer: &str) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let count = stream.read_buf(&mut bytes).await.expect("a request");
        assert!(count > 0, "closed before the request");
    }
    stream.write_all(answer.as_bytes()).await.expect("written");
}

/// Whether the connection ends with a reset.
async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    let read = timeout(Duration::from_secs(5), stream.read_to_end(&mut rest)).await;
    match read.expect("an end") {
        Ok(_) => false,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

// Fails if the bytes of a request whose caller has left stay on their way to the server.
#[tokio::test]
async fn unanswered_request_resets_its_connection() {
    let (mut link, mut stream) = connected().await;
    {
        let sending = link.send(request());
        tokio::select! {
            _ = sending => panic!("answered"),
            () = answer(&mut stream, "") => {}
        }
    }
    // The link may be dropped later than the request is given up.
    sleep(Duration::from_millis(50)).await;
    drop(link);
    assert!(is_reset(&mut stream).await);
}

// Fails if a response that is not read to its end, or is none, counts as an answer.
#[tokio::test]
async fn partial_answer_resets_its_connection() {
    for response in [SIZED, CLOSING, PARTIAL, INVALID] {
        let (mut link, mut stream) = connected().await;
        let (sent, ()) = tokio::join!(link.send(request()), answer(&mut stream, response));
        drop(link);
        assert!(is_reset(&mut stream).await, "{response}");
        drop(sent);
    }
}

// Fails if a connection whose answer was read whole is reset.
#[tokio::test]
async fn whole_answer_closes_its_connection() {
    for response in [SIZED, CLOSING, EMPTY] {
        let (mut link, mut stream) = connected().await;
        let (sent, ()) = tokio::join!(link.send(request()), answer(&mut stream, response));
        let body = sent.expect("a response").into_body();
        body.collect().await.expect("a body");
        drop(link);
        assert!(!is_reset(&mut stream).await, "{response}");
    }
}

// Fails if an answer that ends with its connection resets it, or an idle connection is reset.
#[tokio::test]
async fn idle_connection_and_unframed_answer_close() {
    let (link, mut stream) = connected().await;
    drop(link);
    assert!(!is_reset(&mut stream).await);
    let (mut link, mut stream) = connected().await;
    let head = "HTTP/1.1 200 OK\r\n\r\nbody";
    let (sent, ()) = tokio::join!(link.send(request()), answer(&mut stream, head));
    stream.shutdown().await.expect("an end");
    let body = sent.expect("a response").into_body();
    body.collect().await.expect("a body");
    assert!(!is_reset(&mut stream).await);
    drop(link);
}
