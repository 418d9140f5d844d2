//! Tests of the engine stand-in.

use std::time::Duration;

use beechsaddle_core::hash::prefix_chain;
use beechsaddle_core::names::ModelName;
use beechsaddle_core::target::{CacheUpdate, EngineRole, EngineState};
use beechsaddle_lab::fleet::{CallerResponse, FleetCaller, chat_body};
use beechsaddle_lab::load::HttpClient;
use beechsaddle_lab::stand_in::engine::EngineOrder;
use beechsaddle_lab::stand_in::{
    ChatProof, EngineOptions, EngineServer, TargetFault, TargetFaults, TargetRule,
};
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::Value;

fn engine(options: EngineOptions) -> (EngineServer, String) {
    let server = EngineServer::try_start(options).unwrap();
    let address = server.address().to_string();
    (server, address)
}

fn chat(text: &str, streamed: bool, max_tokens: u64, attempt: &str) -> Request<Full<Bytes>> {
    let body = chat_body("small", text, streamed, max_tokens).to_string();
    Request::post("/v1/chat/completions")
        .header("host", "engine")
        .header("beechsaddle-attempt", attempt)
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

async fn send_request(
    address: &str,
    request: Request<Full<Bytes>>,
) -> eyre::Result<CallerResponse> {
    FleetCaller::new().send(address, request).await
}

fn one_fault(fault: TargetFault) -> TargetFaults {
    TargetFaults {
        rules: vec![TargetRule {
            count: Some(1),
            ..TargetRule::all(fault)
        }],
        ..TargetFaults::default()
    }
}

#[tokio::test]
async fn chat_buffered_and_streamed() {
    let (server, address) = engine(EngineOptions::default());
    let text = "tokens=5 crate request-7";
    for streamed in [false, true] {
        let answer = send_request(&address, chat(text, streamed, 100, "r@1#2.0")).await;
        let answer = answer.unwrap();
        assert_eq!(answer.headers["beechsaddle-attempt"], "r@1#2.0");
        let proof = ChatProof::read(&answer.chat_content().unwrap()).unwrap();
        assert_eq!(proof.attempt, "r@1#2.0");
        assert_eq!(
            proof.prompt,
            ChatProof::prompt_hash(format!("user\n{text}\n"))
        );
        assert_eq!((proof.tokens, proof.mark.as_str()), (5, "request-7"));
    }
    let ran = server.ran();
    assert_eq!(ran.attempts["r@1#2.0"], 2);
    assert_eq!((ran.started, ran.completed, ran.tokens), (2, 2, 10));
}

#[tokio::test]
async fn chat_max_tokens() {
    let (_server, address) = engine(EngineOptions::default());
    let answer = send_request(&address, chat("tokens=50", false, 3, "a"))
        .await
        .unwrap();
    let body = answer.json();
    assert_eq!(body["usage"]["completion_tokens"], 3);
    assert_eq!(body["choices"][0]["finish_reason"], "length");
}

#[tokio::test]
async fn chat_other_model() {
    let (server, address) = engine(EngineOptions::default());
    let body = chat_body("large", "hello", false, 3).to_string();
    let request = Request::post("/v1/chat/completions").header("host", "engine");
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    let answer = send_request(&address, request).await.unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    assert_eq!(server.ran().started, 0);
}

// The engine dies during a stream, so the connection closes without the end of the stream.
#[tokio::test]
async fn chat_dies_after_tokens() {
    let (server, address) = engine(EngineOptions::default());
    server.set_faults(one_fault(TargetFault::DieAfter { tokens: 3 }));
    let truncated = send_request(&address, chat("tokens=9", true, 100, "a")).await;
    assert!(truncated.is_err());
    let ran = server.ran();
    assert_eq!(
        (ran.started, ran.completed, ran.cancelled, ran.tokens),
        (1, 0, 1, 3)
    );
    let complete = send_request(&address, chat("tokens=9", true, 100, "b")).await;
    assert!(complete.unwrap().chat_content().is_some());
}

#[tokio::test]
async fn chat_faults_and_reported_runs() {
    let (server, address) = engine(EngineOptions::default());
    let expected = [
        (TargetFault::ServerError, Some(500), 1),
        (TargetFault::Busy { retry_after_ms: 9 }, Some(503), 0),
        (TargetFault::CloseAfterRead, None, 1),
        (TargetFault::Garbage, Some(200), 1),
    ];
    for (fault, status, runs) in expected {
        let before = server.ran().started;
        server.set_faults(one_fault(fault));
        let answer = send_request(&address, chat("hello", false, 3, "a"))
            .await
            .ok();
        let found = answer.map(|answer| answer.status.as_u16());
        assert_eq!(found, status, "{fault:?}");
        assert_eq!(server.ran().started - before, runs, "{fault:?}");
    }
}

#[tokio::test]
async fn chat_wrong_attempt() {
    let (server, address) = engine(EngineOptions::default());
    server.set_faults(one_fault(TargetFault::WrongAttempt));
    let answer = send_request(&address, chat("hello", false, 3, "a"))
        .await
        .unwrap();
    assert_ne!(answer.headers["beechsaddle-attempt"], "a");
    assert_eq!(server.ran().attempts["a"], 1);
}

// The caller disconnects during a stream, so the engine stops and does not generate the remainder.
#[tokio::test]
async fn chat_client_disconnects() {
    let (server, address) = engine(EngineOptions {
        between_tokens_ms: 5,
        ..EngineOptions::default()
    });
    let client = HttpClient::new();
    let request = chat("tokens=1000", true, 1000, "a");
    let (mut response, connection) = client.send(&address, request).await.unwrap();
    response.frame().await.unwrap().unwrap();
    drop((response, connection));
    for _ in 0..100 {
        if server.ran().cancelled == 1 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let ran = server.ran();
    assert_eq!((ran.cancelled, ran.completed), (1, 0));
    assert!(ran.tokens < 100);
}

#[tokio::test]
async fn cache_events_after_lag() {
    let (_server, address) = engine(EngineOptions {
        cache_blocks: 3,
        event_lag_ms: 60,
        ..EngineOptions::default()
    });
    let caller = FleetCaller::new();
    let text = "bread ".repeat(200);
    send_request(&address, chat(&text, false, 1, "a"))
        .await
        .unwrap();
    let early: CacheUpdate = caller.get(&address, "/cache-events?after=0").await.unwrap();
    assert_eq!(early, CacheUpdate::default());
    tokio::time::sleep(Duration::from_millis(80)).await;
    let update: CacheUpdate = caller.get(&address, "/cache-events?after=0").await.unwrap();
    let chain = prefix_chain(format!("user\n{text}\n"));
    assert_eq!(update.added, chain);
    assert_eq!(update.removed, chain[..chain.len() - 3]);
    let later = format!("/cache-events?after={}", update.next);
    let nothing: CacheUpdate = caller.get(&address, &later).await.unwrap();
    assert!(nothing.added.is_empty() && nothing.first == update.next);
}

#[tokio::test]
async fn order_outdated_fence() {
    let state = |version| EngineState {
        model: ModelName::new("small"),
        version,
        adapters: Vec::new(),
        role: EngineRole::Whole,
    };
    let order = |fence, version| EngineOrder {
        fence,
        state: state(version),
    };
    for (checks_fence, old_fence_status, version) in [(true, 409, 3), (false, 202, 2)] {
        let (server, address) = engine(EngineOptions {
            checks_fence,
            load_ms: 20,
            ..EngineOptions::default()
        });
        let caller = FleetCaller::new();
        let taken = caller.post(&address, "/orders", &order(7, 3)).await;
        assert_eq!(taken.unwrap().status, StatusCode::ACCEPTED);
        let old = caller.post(&address, "/orders", &order(6, 2)).await;
        assert_eq!(old.unwrap().status.as_u16(), old_fence_status);
        tokio::time::sleep(Duration::from_millis(40)).await;
        let health: Value = caller.get(&address, "/health").await.unwrap();
        assert_eq!(health["engine"]["version"], version);
        assert_eq!(server.orders().len(), if checks_fence { 1 } else { 2 });
    }
}

#[tokio::test]
async fn health_leaving() {
    let (server, address) = engine(EngineOptions::default());
    let caller = FleetCaller::new();
    let health: Value = caller.get(&address, "/health").await.unwrap();
    assert_eq!(health["state"], "live");
    server.leave();
    let health: Value = caller.get(&address, "/health").await.unwrap();
    assert_eq!(health["state"], "leaving");
}
