//! Tests of the HTTP library's behaviour that the edge relies on; they fail if an update changes
//! it.

mod calls_support;

use std::error::Error;
use std::net::TcpListener;
use std::time::Duration;

use calls_support::*;
use http_body_util::BodyExt;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::error::client::ErrorKind;

fn run<T>(task: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(task)
}

#[test]
fn client_connect_error_kind() {
    let free = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let error = run(async {
        let client = Client::builder().build().expect("a client");
        let sending = client.get("/").address(address).send::<Body>();
        sending.await.expect_err("no listener at the address")
    });
    assert_eq!(*error.kind(), ErrorKind::Request);
    assert!(
        error
            .source()
            .is_some_and(|cause| cause.is::<std::io::Error>())
    );
}

#[test]
fn client_timeout_ends_with_head() {
    let target = RawTarget::start(|connection| {
        connection.read_request();
        connection.start_chunked("text/plain");
        for _ in 0..4 {
            std::thread::sleep(Duration::from_millis(50));
            connection.chunk("x");
        }
        connection.end_chunks();
    });
    let body = run(async {
        let mut builder = Client::builder();
        builder.set_request_timeout(Duration::from_millis(100));
        let client: Client = builder.build().expect("a client");
        let sending = client.get("/").address(target.address).send::<Body>();
        let answer = sending.await.expect("a head");
        answer.into_body().collect().await.expect("a complete body")
    });
    assert_eq!(body.to_bytes(), "xxxx");
}
