//! Tests of probes, orders and the operators' listener.

mod calls_support;

use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_core::status::RouterStatus;
use beechsaddle_core::target::{
    CacheUpdate, EngineRole, EngineState, LoadReport, OrderOutcome, ProbeOutcome, TargetAction,
    TargetEvent,
};
use calls_support::*;

fn engine() -> EngineState {
    EngineState {
        model: "m1".into(),
        version: 3,
        adapters: vec!["a1".to_owned()],
        role: EngineRole::Whole,
    }
}

fn probe(core: &FakeCore, target: &RawTarget, cache_after: Option<u64>) -> TargetEvent {
    core.handle.send(CoreAction::Target(TargetAction::Probe {
        target: "t".into(),
        address: target.address.to_string(),
        cache_after,
    }));
    next_target_event(core)
}

fn next_target_event(core: &FakeCore) -> TargetEvent {
    match core.events.recv_timeout(WAIT_LIMIT).expect("an event") {
        CoreEvent::Target(event) => event,
        event => panic!("unexpected {event:?}"),
    }
}

fn order_at(status: &'static str, extra: &'static str) -> (OrderOutcome, String) {
    let target = RawTarget::start(move |connection| {
        connection.read_request();
        if !status.is_empty() {
            connection.answer(status, extra, "");
        }
    });
    let core = FakeCore::start();
    core.handle.send(CoreAction::Target(TargetAction::Order {
        target: "t".into(),
        address: target.address.to_string(),
        fence: 9,
        state: engine(),
    }));
    match next_target_event(&core) {
        TargetEvent::Ordered {
            fence: 9, outcome, ..
        } => (outcome, target.next_request()),
        event => panic!("unexpected {event:?}"),
    }
}

#[test]
fn probe_engine() {
    let target = RawTarget::start(|connection| {
        while let Some(request) = connection.read_request() {
            let body = match request.starts_with("GET /health ") {
                true => {
                    "{\"state\":\"live\",\"load\":{\"running\":2,\"waiting\":1,\
                     \"cache_permille\":300},\"engine\":{\"model\":\"m1\",\"version\":3,\
                     \"adapters\":[\"a1\"],\"role\":\"whole\"}}"
                }
                false => "{\"first\":4,\"next\":6,\"added\":[7],\"removed\":[8]}",
            };
            connection.answer("200 OK", "", body);
        }
    });
    let core = FakeCore::start();
    let load = LoadReport {
        running: 2,
        waiting: 1,
        cache_permille: 300,
    };
    let expected = TargetEvent::Probed {
        target: "t".into(),
        outcome: ProbeOutcome::Healthy {
            load,
            engine: Some(engine()),
        },
        cache: Some(CacheUpdate {
            first: 4,
            next: 6,
            added: vec![7],
            removed: vec![8],
        }),
    };
    assert_eq!(probe(&core, &target, Some(4)), expected);
    target.next_request();
    assert!(
        target
            .next_request()
            .starts_with("GET /cache-events?after=4 ")
    );
}

#[test]
fn probe_outcomes() {
    let cases = [
        ("200 OK", "{\"state\":\"leaving\"}", ProbeOutcome::Leaving),
        (
            "503 Leaving",
            "{\"state\":\"leaving\"}",
            ProbeOutcome::Leaving,
        ),
        ("500 Oops", "{\"state\":\"live\"}", ProbeOutcome::Failed),
        ("200 OK", "nonsense", ProbeOutcome::Failed),
    ];
    for (status, body, expected) in cases {
        let target = RawTarget::start(move |connection| {
            connection.read_request();
            connection.answer(status, "", body);
        });
        let core = FakeCore::start();
        let TargetEvent::Probed { outcome, .. } = probe(&core, &target, None) else {
            panic!("expected a probe's outcome");
        };
        assert_eq!(outcome, expected);
    }
}

#[test]
fn probe_unresponsive_target() {
    let target = RawTarget::start(|connection| connection.await_close());
    let core = FakeCore::start();
    let TargetEvent::Probed { outcome, .. } = probe(&core, &target, None) else {
        panic!("expected a probe's outcome");
    };
    assert_eq!(outcome, ProbeOutcome::Failed);
}

#[test]
fn order_outcomes() {
    let (outcome, request) = order_at("202 Accepted", "");
    assert_eq!(outcome, OrderOutcome::Accepted);
    let body = request.split("\r\n\r\n").nth(1).expect("a body");
    let order: serde_json::Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(order["fence"], 9);
    assert_eq!(order["role"], "whole");
    assert_eq!(order["adapters"][0], "a1");
    assert_eq!(order_at("409 Conflict", "").0, OrderOutcome::Fenced);
    let retry_after_ms = 250;
    assert_eq!(
        order_at("429 Busy", "retry-after-ms: 250\r\n").0,
        OrderOutcome::Throttled { retry_after_ms }
    );
    assert_eq!(order_at("500 Oops", "").0, OrderOutcome::Unknown);
    assert_eq!(order_at("", "").0, OrderOutcome::Unknown);
}

#[test]
fn status_answered() {
    let core = FakeCore::start();
    let request = "GET /admin/status HTTP/1.1\r\nhost: router\r\n\r\n";
    let mut operator = RawCaller::send(core.handle.admin_address(), request);
    let CoreEvent::StatusQuery { query } = core.events.recv_timeout(WAIT_LIMIT).expect("an event")
    else {
        panic!("expected a status query");
    };
    let status = RouterStatus {
        router: RouterIncarnation::new("host-a", 7),
        domain: "graz-nord".into(),
        state: beechsaddle_core::peer::RouterState::Live,
        catalogue_revision: 12,
        open_calls: 1,
        unjournalled_bills: 0,
        peers: Vec::new(),
        grants: Vec::new(),
        targets: Vec::new(),
    };
    let status_action = CoreAction::Status {
        query,
        status: Box::new(status.clone()),
    };
    core.handle.send(status_action);
    let answer = operator.read_answer();
    assert_eq!(answer.status, 200);
    let read: RouterStatus = serde_json::from_str(&answer.body).expect("a status");
    assert_eq!(read, status);
}

#[test]
fn status_of_unresponsive_core() {
    let core = FakeCore::start();
    let request = "GET /admin/status HTTP/1.1\r\nhost: router\r\n\r\n";
    assert_eq!(exchange(core.handle.admin_address(), request).status, 503);
    let request = request.replace("/admin/status", "/v1/models");
    assert_eq!(exchange(core.handle.admin_address(), request).status, 404);
}

/// Targets in trouble that send large answers to probes, all at once, took more memory than the router's
/// host has.
#[test]
fn probe_answers_without_end_take_little_memory() {
    const PROBES: usize = 400;
    // Shared by all connections, so that the target itself takes no memory for each.
    static BODY: [u8; 1_000_000] = [b' '; 1_000_000];
    let target = RawTarget::start(|connection| {
        connection.read_request();
        // The router closes the connection at any moment.
        connection.write("HTTP/1.1 200 OK\r\ncontent-length: 1048576\r\n\r\n");
        connection.write(BODY.as_slice());
        connection.await_close();
    });
    let core = FakeCore::start();
    let before = resident_kb();
    for _ in 0..PROBES {
        core.handle.send(CoreAction::Target(TargetAction::Probe {
            target: "t".into(),
            address: target.address.to_string(),
            cache_after: None,
        }));
    }
    let mut most = before;
    let mut outcomes = 0;
    while outcomes < PROBES {
        most = most.max(resident_kb());
        match core.events.recv_timeout(Duration::from_millis(10)) {
            Ok(CoreEvent::Target(TargetEvent::Probed { outcome, .. })) => {
                assert_eq!(outcome, ProbeOutcome::Failed);
                outcomes += 1;
            }
            Ok(event) => panic!("unexpected {event:?}"),
            Err(_) => {}
        }
    }
    let used = most - before;
    println!("{used} kB");
    assert!(used < 200_000, "{used} kB");
}

/// Returns the memory that this process uses, in kilobytes.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let fields: Vec<_> = line.expect("a size").split_whitespace().collect();
    fields[1].parse().expect("a number")
}
