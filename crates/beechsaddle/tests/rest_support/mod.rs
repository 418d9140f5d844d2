//! A router and targets that ask for rest.

#![allow(dead_code)]

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallReply, CallRequest, EntryState, TargetFault, TargetStandIn, call,
};
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::gateway_support::{GatewayBench, draft, request, wait_for};

pub const AMPLE: u64 = 1_000_000;

/// The rest that a target asks for in calls of [`RestBench::check_one_resting`].
const REST_SPAN: Duration = Duration::from_secs(3);

/// How long calls that were under way may still reach a target that has asked for rest.
const SETTLE_LIMIT: Duration = Duration::from_millis(500);

/// Number of calls that may reach a target between that time and the end of its rest.
const ARRIVALS_MAX: usize = 2;

/// The time of the other targets' answers. A target that turns calls away at once looks faster.
const RESPONSE_DELAY: Duration = Duration::from_millis(60);

/// Time between two calls.
const CALL_GAP: Duration = Duration::from_millis(33);

/// A router with a number of targets of each service.
pub struct RestBench {
    pub gateway: GatewayBench,
    count: usize,
}

impl RestBench {
    /// Starts three targets of each service.
    pub async fn start() -> Self {
        RestBench::start_with_targets(3).await
    }

    /// Starts `count` targets of each service, one to three.
    pub async fn start_with_targets(count: usize) -> Self {
        let mut gateway = GatewayBench::start(&draft(1, AMPLE)).await;
        if count == 3 {
            for service in ["plain", "engine"] {
                let name = format!("{service}-3");
                let target = TargetStandIn::try_start(&name).await.expect("a target");
                let store = &gateway.store;
                store.put_target(&target, service, "north", EntryState::Ready);
                gateway.router.wait_log(&["target_joined", &name]).await;
                match service {
                    "plain" => gateway.plain.push(target),
                    _ => gateway.engines.push(target),
                }
            }
        }
        if count == 1 {
            for name in ["plain-2", "engine-2"] {
                gateway.store.remove_target(name);
                gateway.router.wait_log(&["target_gone", name]).await;
            }
        }
        RestBench { gateway, count }
    }

    /// Returns the targets of a call's service.
    pub fn targets(&self, line: &str) -> &[TargetStandIn] {
        match line.contains("/stream/") {
            true => &self.gateway.engines[..self.count],
            false => &self.gateway.plain[..self.count],
        }
    }

    pub fn spawn_call(&self, line: &str, id: &str) -> JoinHandle<CallReply> {
        let (address, call_request) = (self.gateway.router.address, rest_call(line, id));
        tokio::spawn(async move { call(address, &call_request).await.expect("an answer") })
    }

    /// Waits until calls have reached the service's targets this many times.
    pub async fn wait_arrivals(&self, line: &str, count: usize) {
        wait_for("an arrival", || async {
            GatewayBench::arrival_count(self.targets(line)) >= count
        })
        .await;
    }

    /// Calls until each target of the service has turned a call away. Several calls at once reach all
    /// targets.
    async fn call_until_all_rest(&self, line: &str) {
        let calls_max = match self.count {
            1 => 1,
            _ => 12,
        };
        wait_for("rest of all targets", || async {
            let calls =
                (0..calls_max).map(|number| self.spawn_call(line, &format!("rest-{number}")));
            for call in calls.collect::<Vec<_>>() {
                call.await.expect("no panic");
            }
            let mut targets = self.targets(line).iter();
            targets.all(|target| target.runs().iter().any(|run| !run.is_run))
        })
        .await;
    }

    /// Makes all targets of the service ask for rest, until each has done so.
    pub async fn rest_all(&self, line: &str, rest: &str) {
        self.rest_each(line, &[rest; 3]).await;
    }

    /// Makes all targets of the service ask for rests of their own, until each has done so.
    pub async fn rest_each(&self, line: &str, rests: &[&str]) {
        for (target, rest) in self.targets(line).iter().zip(rests) {
            target.set_response_delay(RESPONSE_DELAY);
            target.set_fault(TargetFault::Full);
            target.set_rest(Some(rest));
        }
        self.call_until_all_rest(line).await;
        for target in self.targets(line) {
            target.set_response_delay(Duration::ZERO);
        }
    }

    /// Calls while one of three targets rests, and checks that it gets no calls and all are served.
    pub async fn check_one_resting(&self, line: &str) {
        for target in &self.targets(line)[1..] {
            target.set_response_delay(RESPONSE_DELAY);
        }
        let resting = &self.targets(line)[0];
        resting.set_fault(TargetFault::Full);
        resting.set_rest(Some("3"));
        let started = Instant::now();
        let mut calls = Vec::new();
        while started.elapsed() < REST_SPAN + SETTLE_LIMIT {
            let id = format!("call-{}", calls.len());
            calls.push(self.spawn_call(line, &id));
            if let Some(first) = resting.arrivals().first()
                && first.elapsed() >= REST_SPAN
            {
                break;
            }
            sleep(CALL_GAP).await;
        }
        let arrivals = resting.arrivals();
        let first = *arrivals.first().expect("an arrival");
        let late = arrivals.iter().filter(|at| {
            let span = at.duration_since(first);
            span >= SETTLE_LIMIT && span < REST_SPAN
        });
        let (late, made) = (late.count(), calls.len());
        let mut failed = Vec::new();
        for call in calls {
            let reply = call.await.expect("no panic");
            if reply.status != 200 || !reply.is_complete {
                failed.push(reply.body);
            }
        }
        assert!(
            late <= ARRIVALS_MAX && failed.is_empty(),
            "{late} arrivals at the resting target, {} of {made} calls failed: {:?}",
            failed.len(),
            failed.first()
        );
    }

    /// Writes the entry of the first plain target with a start time.
    pub fn put_entry_born(&self, born: u64) {
        let target = &self.gateway.plain[0];
        let mut entry = target.entry("plain", "north", EntryState::Ready);
        entry["born"] = born.into();
        self.gateway.store.put("servers", target.name(), &entry);
    }

    /// Writes that entry and waits until the router knows of the restart.
    pub async fn put_born(&self, born: u64) {
        let words = ["target_restarted", self.gateway.plain[0].name()];
        let router = &self.gateway.router;
        let before = router.log_lines(&words).len();
        self.put_entry_born(born);
        wait_for("a restart", || async {
            router.log_lines(&words).len() > before
        })
        .await;
    }

    /// Returns the router's status.
    pub async fn status(&self) -> Value {
        let request = request("GET /admin/status", "status");
        let reply = call(self.gateway.router.ready, &request).await;
        serde_json::from_str(&reply.expect("a status").body).expect("JSON")
    }
}

/// Returns a call with the tokens that streams need.
pub fn rest_call(line: &str, id: &str) -> CallRequest {
    let mut call = request(line, id);
    if line.contains("/stream/") {
        call.tokens = Some((100, 60));
    }
    call
}

/// Returns the wait that a refusal names, in milliseconds.
pub fn retry_ms(reply: &CallReply) -> u64 {
    let seconds: f64 = reply.headers["retry-after"].parse().expect("seconds");
    (seconds * 1_000.0) as u64
}

/// Checks that a call was refused as all targets rest.
pub fn check_resting(reply: &CallReply) {
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.body.contains("targets_resting"), "{reply:?}");
}
