//! Tests of the bounds on what a server sends before the head of its response is complete.

use std::time::Duration;

use beechsaddle_link::{HttpLink, LinkBody, LinkFailure, LinkOptions};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

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

/// Reads a request without a body.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let count = stream.read_buf(&mut bytes).await.expect("a request");
        assert!(count > 0, "closed before the request");
    }
}

async fn send(link: &mut HttpLink) -> Result<Response<LinkBody>, LinkFailure> {
    let sending = link.send(request());
    timeout(Duration::from_secs(5), sending)
        .await
        .expect("an end")
}

// Fails if interim responses that trickle in without end keep a call waiting.
#[tokio::test]
async fn interims_are_bounded_by_count() {
    let (mut link, mut stream) = connected().await;
    let server = tokio::spawn(async move {
        read_request(&mut stream).await;
        let mut sent = 0;
        while stream.write_all(INTERIM.as_bytes()).await.is_ok() {
            sent += 1;
            sleep(Duration::from_millis(2)).await;
        }
        sent
    });
    let failure = send(&mut link).await.expect_err("no response");
    assert!(matches!(failure, LinkFailure::HeadTooLarge(_)), "{failure}");
    assert!(!failure.is_unsent() && !link.is_ready());
    let sent = timeout(Duration::from_secs(1), server).await;
    let sent = sent.expect("a closed connection").expect("a count");
    assert!((64..100).contains(&sent), "{sent} interim responses");
}

// Fails if the bound counts what came for earlier requests or for bodies, or takes a response from a
// call whose server reports its progress.
#[tokio::test]
async fn interims_and_large_bodies_before_bound_pass() {
    let (mut link, mut stream) = connected().await;
    let body = "b".repeat(200_000);
    let length = body.len();
    tokio::spawn(async move {
        for _ in 0..10 {
            read_request(&mut stream).await;
            for _ in 0..20 {
                stream.write_all(INTERIM.as_bytes()).await.expect("written");
                sleep(Duration::from_millis(1)).await;
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            let answer = [head.as_bytes(), body.as_bytes()].concat();
            stream.write_all(&answer).await.expect("written");
        }
    });
    for _ in 0..10 {
        let response = send(&mut link).await.expect("a response");
        let body = response.into_body().collect().await.expect("a body");
        assert_eq!(body.to_bytes().len(), length);
    }
}
