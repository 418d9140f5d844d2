//! Tests of the stand-in for plain services.

use std::time::Duration;

use beechsaddle_lab::fleet::{CallerResponse, FleetCaller};
use beechsaddle_lab::stand_in::{
    PlainEcho, PlainOptions, PlainServer, TargetFault, TargetFaults, TargetRule,
};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;

async fn claim(address: &str, key: &str) -> eyre::Result<CallerResponse> {
    let request = Request::post("/claims?crate=17")
        .header("host", "plain")
        .header("idempotency-key", key)
        .header("beechsaddle-attempt", "r@1#1.0")
        .body(Full::new(Bytes::from_static(b"crate 17")))?;
    FleetCaller::new().send(address, request).await
}

#[tokio::test]
async fn call_echo() {
    let server = PlainServer::try_start(PlainOptions::default()).unwrap();
    let address = server.address().to_string();
    for runs in 1..=2 {
        let answer = claim(&address, "k").await.unwrap();
        let echo: PlainEcho = serde_json::from_str(&answer.body).unwrap();
        let expected = PlainEcho {
            method: "POST".to_owned(),
            path: "/claims".to_owned(),
            query: "crate=17".to_owned(),
            body: "crate 17".to_owned(),
            key: "k".to_owned(),
            attempt: "r@1#1.0".to_owned(),
            runs,
        };
        assert_eq!(echo, expected);
    }
    assert_eq!(server.ran().keys["k"], 2);
}

#[tokio::test]
async fn call_faults_and_reported_runs() {
    let server = PlainServer::try_start(PlainOptions::default()).unwrap();
    let address = server.address().to_string();
    let expected = [
        (TargetFault::CloseAfterRead, None, 1),
        (TargetFault::DieAfter { tokens: 0 }, None, 1),
        (TargetFault::ServerError, Some(500), 1),
        (TargetFault::Busy { retry_after_ms: 5 }, Some(503), 0),
    ];
    for (fault, status, runs) in expected {
        let rule = TargetRule {
            count: Some(1),
            ..TargetRule::all(fault)
        };
        server.set_faults(TargetFaults {
            rules: vec![rule],
            ..TargetFaults::default()
        });
        let before = server.ran().started;
        let answer = claim(&address, "k").await.ok();
        let found = answer.map(|answer| answer.status.as_u16());
        assert_eq!(found, status, "{fault:?}");
        assert_eq!(server.ran().started - before, runs, "{fault:?}");
    }
    assert!(claim(&address, "k").await.is_ok());
}

#[tokio::test]
async fn call_refused_connections() {
    let server = PlainServer::try_start(PlainOptions::default()).unwrap();
    let address = server.address().to_string();
    server.set_faults(TargetFaults {
        refuse_ms: 60,
        ..TargetFaults::default()
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(claim(&address, "k").await.is_err());
    tokio::time::sleep(Duration::from_millis(90)).await;
    assert!(claim(&address, "k").await.is_ok());
    assert_eq!(server.ran().started, 1);
}
