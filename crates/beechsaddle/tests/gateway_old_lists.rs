//! Tests of routers that are out of step while targets of a new software version join.

mod gateway_support;
mod path_support;

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_platform_stand_in::{
    CallReply, CallRequest, ConfigDraft, EntryState, TargetStandIn, call as send_call,
};
use gateway_support::{GatewayBench, GatewayProcess, SETTLE_SPAN, draft, request, wait_for};
use nix::sys::signal::Signal;
use path_support::{PathMode, TargetPath, store_path};
use tokio::task::JoinSet;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// Streams that are interrupted in one test.
const STREAMS: usize = 6;

/// Events of a whole stream, and the gap before each.
const EVENTS: u64 = 50;
const EVENT_GAP: Duration = Duration::from_millis(25);

/// The timeout of streams, in milliseconds.
const STREAM_TIMEOUT_MS: u64 = 1_800;

/// How long a caller stays with its stream before it leaves.
const LEAVE_AFTER: Duration = Duration::from_millis(200);

/// A router in step, and one whose path to the store can be cut. Both begin with engines of `v1`.
struct ReleaseBench {
    bench: GatewayBench,
    late: GatewayProcess,
    path: Rc<TargetPath>,
    /// The engines of `v2`.
    joined: Vec<TargetStandIn>,
}

impl ReleaseBench {
    async fn start() -> Self {
        let bench = GatewayBench::start(&short_draft(1)).await;
        for engine in &bench.engines {
            engine.set_events(EVENTS, EVENT_GAP);
        }
        let path = store_path(bench.store.address()).await;
        // In a domain of its own, it allocates no tokens to the router in step.
        let late = GatewayProcess::start(path.address(), "host-2", "south");
        late.wait_ready().await;
        late.wait_log(&["target_joined", "engine-2"]).await;
        for router in [&bench.router, &late] {
            router.wait_log(&["routers_listed", "routers=2"]).await;
        }
        sleep(SETTLE_SPAN).await;
        wait_for("a list that is old enough", || async {
            let mut call = stream_request("early");
            call.resume_unnamed(EVENTS - 1);
            is_whole(&late.call(&call).await)
        })
        .await;
        ReleaseBench {
            bench,
            late,
            path,
            joined: Vec::new(),
        }
    }

    /// Adds engines of `v2` that take all new streams of the router in step.
    async fn release(&mut self) {
        let store = &self.bench.store;
        for number in [3, 4] {
            let name = format!("engine-{number}");
            let engine = TargetStandIn::try_start(&name).await.expect("a target");
            engine.set_version("v2");
            engine.set_events(EVENTS, EVENT_GAP);
            store.put_target(&engine, "engine", "north", EntryState::Ready);
            self.joined.push(engine);
        }
        for engine in &self.bench.engines {
            store.put_target(engine, "engine", "north", EntryState::Draining);
        }
        let router = &self.bench.router;
        for name in ["engine-3", "engine-4"] {
            router.wait_log(&["target_joined", name]).await;
        }
        for name in ["engine-1", "engine-2"] {
            router.wait_log(&["target_draining", name]).await;
        }
    }

    /// Begins streams at `v2` through the router in step; their callers leave. Returns their ids.
    async fn interrupted(&self) -> Vec<String> {
        self.interrupted_at(&self.joined).await
    }

    /// Begins streams at targets through the router in step; their callers leave. Returns their ids.
    async fn interrupted_at(&self, targets: &[TargetStandIn]) -> Vec<String> {
        let ids = (0..STREAMS).map(|number| format!("begun-{number}"));
        let ids: Vec<String> = ids.collect();
        for id in &ids {
            let (address, call) = (self.bench.router.address, stream_request(id));
            let caller = tokio::spawn(async move { send_call(address, &call).await });
            wait_for("a running stream", || async { runs(targets, id) == 1 }).await;
            sleep(LEAVE_AFTER).await;
            assert!(!caller.is_finished(), "{id} ended");
            caller.abort();
        }
        ids
    }
}

/// Returns a configuration whose streams end soon.
fn short_draft(version: u64) -> ConfigDraft {
    let mut draft = draft(version, AMPLE);
    let routes = draft.routes.iter_mut();
    let streams = routes.filter(|route| route.service == "engine");
    streams.for_each(|route| route.timeout_ms = STREAM_TIMEOUT_MS);
    draft
}

fn stream_request(id: &str) -> CallRequest {
    let mut call = request("POST /stream/on/1", id);
    call.tokens = Some((100, EVENTS));
    call
}

/// Returns how often targets ran a call.
fn runs(targets: &[TargetStandIn], id: &str) -> usize {
    let runs = targets.iter().flat_map(TargetStandIn::runs);
    runs.filter(|run| run.is_run && run.request_id() == id)
        .count()
}

fn is_whole(reply: &CallReply) -> bool {
    reply.status == 200 && reply.is_complete
}

/// Streams of a new version went on at the old one: the router that took them up without their names did not hear of the store.
#[tokio::test]
async fn unnamed_stream_is_not_resumed_by_an_old_list() {
    let mut bench = ReleaseBench::start().await;
    bench.path.set_mode(PathMode::Hanging);
    bench.release().await;
    for began_as in bench.interrupted().await {
        let id = format!("again-{began_as}");
        let mut call = stream_request(&id);
        call.resume_unnamed(2);
        let reply = bench.late.call(&call).await;
        assert_eq!(runs(&bench.bench.engines, &id), 0, "{reply:?}");
        assert!(is_whole(&reply) || reply.status == 503, "{reply:?}");
    }
}

/// Streams of a new version went on at the old one: the router that took them up had stood still and had not read its news.
#[tokio::test]
async fn unnamed_stream_is_not_resumed_by_a_router_that_stood_still() {
    let mut bench = ReleaseBench::start().await;
    bench.late.signal(Signal::SIGSTOP);
    bench.release().await;
    let mut calls = JoinSet::new();
    for began_as in bench.interrupted().await {
        let id = format!("again-{began_as}");
        let mut call = stream_request(&id);
        call.resume_unnamed(2);
        let address = bench.late.address;
        calls.spawn(async move { (id, send_call(address, &call).await) });
    }
    sleep(LEAVE_AFTER).await;
    bench.late.signal(Signal::SIGCONT);
    for (id, reply) in calls.join_all().await {
        let reply = reply.expect("an answer");
        assert_eq!(runs(&bench.bench.engines, &id), 0, "{reply:?}");
        assert!(is_whole(&reply) || reply.status == 503, "{reply:?}");
    }
}

/// Streams of an old version went on at the new one: the router that took them up without their names had started after the old one left.
#[tokio::test]
async fn unnamed_stream_is_not_resumed_by_a_router_that_has_just_started() {
    let mut bench = ReleaseBench::start().await;
    let ids = bench.interrupted_at(&bench.bench.engines).await;
    bench.release().await;
    for engine in &bench.bench.engines {
        bench.bench.store.remove_target(engine.name());
    }
    bench.late.restart();
    bench.late.wait_ready().await;
    bench.late.wait_log(&["target_joined", "engine-4"]).await;
    for began_as in ids {
        let id = format!("again-{began_as}");
        let mut call = stream_request(&id);
        call.resume_unnamed(2);
        let reply = bench.late.call(&call).await;
        assert_eq!(runs(&bench.joined, &id), 0, "{reply:?}");
        assert_eq!(reply.status, 503, "{reply:?}");
    }
}

/// Streams without names were refused although all targets are of one version, or each of them cost a call to the store.
#[tokio::test]
async fn unnamed_streams_go_on_at_the_sole_version() {
    let bench = ReleaseBench::start().await;
    let before = bench.bench.store.target_listings();
    let mut calls = JoinSet::new();
    let count = 20;
    for number in 0..count {
        let mut call = stream_request(&format!("again-{number}"));
        call.resume_unnamed(EVENTS - 1);
        let address = bench.late.address;
        calls.spawn(async move { send_call(address, &call).await });
    }
    for reply in calls.join_all().await {
        let reply = reply.expect("an answer");
        assert!(is_whole(&reply), "{reply:?}");
    }
    let asked = bench.bench.store.target_listings() - before;
    assert!(asked < count, "{asked} calls for {count} streams");
}

/// Streams that name their begin were refused: the router that took them up had lost the store, and asked no router for the targets.
#[tokio::test]
async fn named_streams_go_on_at_targets_that_other_routers_know() {
    let mut bench = ReleaseBench::start().await;
    bench.path.set_mode(PathMode::Hanging);
    bench.release().await;
    let ids = bench.interrupted().await;
    bench.late.wait_log(&["target_joined", "engine-3"]).await;
    for began_as in ids {
        let id = format!("again-{began_as}");
        let mut call = stream_request(&id);
        call.resume(&began_as, EVENTS - 1);
        let reply = bench.late.call(&call).await;
        assert!(is_whole(&reply), "{reply:?}");
        assert_eq!(runs(&bench.joined, &id), 1);
    }
}

/// A configuration did not reach a router that had lost the store while other routers reached it.
#[tokio::test]
async fn configuration_reaches_a_router_without_the_store() {
    let bench = ReleaseBench::start().await;
    bench.path.set_mode(PathMode::Hanging);
    bench.bench.store.put_config(&short_draft(7));
    let words = ["config_in_force", "version=7 "];
    bench.bench.router.wait_log(&words).await;
    wait_for("the configuration", || async {
        !bench.late.log_lines(&words).is_empty()
    })
    .await;
}
