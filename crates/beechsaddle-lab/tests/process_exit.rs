//! Tests of calls that reach a router process while it shuts down.

mod process_support;

use std::time::Duration;

use beechsaddle_lab::demo::demo_fleet::{KEY, MODEL};
use beechsaddle_lab::fleet::{LabFleet, chat_body};
use process_support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time after which a router without open calls has decided to exit.
const EXIT_DELAY: Duration = Duration::from_millis(1_000);
/// Number of callers that connect to a frozen router.
const CALLERS: usize = 12;

const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nhost: beechsaddle\r\n\r\n";

/// Returns a chat that ends its connection.
fn last_chat() -> String {
    let body = chat_body(MODEL, "tokens=4 request last", false, 4).to_string();
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: beechsaddle\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

async fn connect(fleet: &LabFleet, host: &str) -> TcpStream {
    let address = fleet.call_address(host).unwrap();
    TcpStream::connect(address).await.unwrap()
}

/// Reads a response up to the end of its connection.
async fn read_last(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let ended = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    assert!(matches!(ended, Ok(Ok(_))), "{ended:?} after {text:?}");
    text
}

/// Returns a router that does not hold the budget.
async fn find_entry(fleet: &LabFleet) -> String {
    let holder = find_holder(fleet).await;
    others(fleet, &holder)[0].clone()
}

async fn expect_exit(fleet: &mut LabFleet, host: &str) {
    let status = fleet.process(host).unwrap().wait(WAIT_TIMEOUT).unwrap();
    assert_eq!(status.map(|status| status.code()), Some(Some(0)));
}

fn expect_draining(response: &str) {
    let refusal = "\"reason\":\"draining\",\"ran\":\"no\"";
    assert!(response.contains(refusal), "{response:?}");
}

// The core's thread ends with its decision to exit, while calls are still read: their callers are told
// nothing, or that the router is busy.
#[tokio::test]
async fn exit_body_that_arrives_after_the_decision() {
    let mut fleet = start_fleet().await;
    let host = find_entry(&fleet).await;
    let call = last_chat();
    let (first, rest) = call.split_at(call.len() - 5);
    let mut stream = connect(&fleet, &host).await;
    stream.write_all(first.as_bytes()).await.unwrap();
    sleep(EXIT_DELAY).await;
    fleet.process(&host).unwrap().terminate().unwrap();
    sleep(EXIT_DELAY).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    expect_draining(&read_last(&mut stream).await);
    expect_exit(&mut fleet, &host).await;
}

// A router without open calls exits at the signal, and closes the connection of a call that is under way.
#[tokio::test]
async fn exit_call_on_kept_connection() {
    let mut fleet = start_fleet().await;
    let host = find_entry(&fleet).await;
    let mut stream = connect(&fleet, &host).await;
    stream.write_all(HEALTH_REQUEST.as_bytes()).await.unwrap();
    assert!(stream.read(&mut [0; 4_096]).await.unwrap() > 0);
    fleet.process(&host).unwrap().terminate().unwrap();
    sleep(EXIT_DELAY).await;
    stream.write_all(last_chat().as_bytes()).await.unwrap();
    expect_draining(&read_last(&mut stream).await);
    expect_exit(&mut fleet, &host).await;
}

// A router that is held up gets the signal while calls wait in its listener's queue, and resets them.
#[tokio::test]
async fn exit_of_frozen_router_answers_waiting_calls() {
    let mut fleet = start_fleet().await;
    let host = find_entry(&fleet).await;
    fleet.process(&host).unwrap().freeze().unwrap();
    let mut streams = Vec::new();
    for _ in 0..CALLERS {
        let mut stream = connect(&fleet, &host).await;
        stream.write_all(last_chat().as_bytes()).await.unwrap();
        streams.push(stream);
    }
    fleet.process(&host).unwrap().terminate().unwrap();
    fleet.process(&host).unwrap().thaw().unwrap();
    for stream in &mut streams {
        let response = read_last(stream).await;
        assert!(
            response.starts_with("HTTP/1.1 200") || response.contains("\"ran\":\"no\""),
            "{response:?}"
        );
    }
    expect_exit(&mut fleet, &host).await;
}

// A router that gets the signal before it serves never exits, or resets the first caller.
#[tokio::test]
async fn exit_right_after_start() {
    let mut fleet = start_fleet().await;
    let host = find_entry(&fleet).await;
    fleet.kill_router(&host).unwrap();
    fleet.start_router(&host).unwrap();
    let address = fleet.call_address(&host).unwrap();
    let mut stream = timeout(WAIT_TIMEOUT, async {
        loop {
            match TcpStream::connect(&address).await {
                Ok(stream) => break stream,
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    })
    .await
    .expect("the router listens");
    stream.write_all(last_chat().as_bytes()).await.unwrap();
    fleet.process(&host).unwrap().terminate().unwrap();
    let response = read_last(&mut stream).await;
    assert!(response.contains("\"ran\":\"no\""), "{response:?}");
    expect_exit(&mut fleet, &host).await;
}
