//! Tests of a gateway that follows the store.

mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{DraftKind, EntryState, RouteDraft, StoreFault};
use gateway_support::{GatewayBench, draft, request, wait_for};
use nix::sys::signal::Signal;
use tokio::time::sleep;

const AMPLE: u64 = 1_000_000;

/// The time within which a removed target must get no more calls.
const LEAVE_LIMIT: Duration = Duration::from_millis(2_000);

async fn status_of(bench: &GatewayBench, path: &str) -> u16 {
    let call = request(&format!("GET {path}"), "call-1");
    bench.router.call(&call).await.status
}

async fn wait_status(bench: &GatewayBench, path: &str, status: u16) {
    wait_for(&format!("status {status}"), || async {
        status_of(bench, path).await == status
    })
    .await;
}

#[tokio::test]
async fn new_config_takes_effect() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    assert_eq!(status_of(&bench, "/more/1").await, 404);
    let mut newer = draft(4, AMPLE);
    let route = RouteDraft::new("more", "/more/", DraftKind::Idempotent, "plain");
    newer.routes.push(route);
    bench.store.put_config(&newer);
    wait_status(&bench, "/more/1", 200).await;
}

/// The store returns an older version after a newer one, and then one that cannot be decoded. The newest
/// valid version stays in effect, and the invalid one is logged.
#[tokio::test]
async fn older_and_unreadable_configs_change_nothing() {
    let bench = GatewayBench::start(&draft(5, AMPLE)).await;
    let mut older = draft(3, AMPLE);
    older.routes.retain(|route| route.name != "get");
    bench.store.put_config(&older);
    let mut broken = draft(9, AMPLE);
    broken.routes[0].kind = DraftKind::Unknown;
    bench.store.put_config(&broken);
    bench
        .router
        .wait_log(&["config_unreadable", "sometimes"])
        .await;
    assert_eq!(status_of(&bench, "/get/1").await, 200);
}

/// The store compacts its history while a watch waits, and a new version is written. The watch reports it,
/// the router lists again, and the version comes into force all the same.
#[tokio::test]
async fn lost_history_is_relisted() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let mut newer = draft(2, AMPLE);
    let route = RouteDraft::new("more", "/more/", DraftKind::Idempotent, "plain");
    newer.routes.push(route);
    bench.store.put_config(&newer);
    bench.store.compact();
    wait_status(&bench, "/more/1", 200).await;
}

/// The store refuses calls, then accepts them without an answer. Calls are served throughout, the router
/// stays ready, and a version written meanwhile comes into force after the outage.
#[tokio::test]
async fn serving_continues_during_store_outage() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for fault in [StoreFault::Refusing, StoreFault::Silent] {
        bench.store.set_fault(fault);
        bench.router.wait_log(&["store_lost"]).await;
        for _ in 0..5 {
            assert_eq!(status_of(&bench, "/get/1").await, 200);
            sleep(Duration::from_millis(100)).await;
        }
        assert!(bench.router.is_ready().await);
        bench.store.set_fault(StoreFault::None);
        bench.router.wait_log(&["store_regained"]).await;
    }
    let mut newer = draft(2, AMPLE);
    let route = RouteDraft::new("more", "/more/", DraftKind::Idempotent, "plain");
    newer.routes.push(route);
    bench.store.put_config(&newer);
    wait_status(&bench, "/more/1", 200).await;
}

/// The store becomes silent while a watch waits, receives a new version, and never answers the watch, not
/// even after the outage. The failed probe makes the router list again without waiting for the end of its
/// long watch: the version is in effect within two seconds of the end of the outage.
#[tokio::test]
async fn watch_lost_in_an_outage_is_restarted() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    sleep(Duration::from_millis(600)).await;
    bench.store.set_fault(StoreFault::Silent);
    let mut newer = draft(2, AMPLE);
    let route = RouteDraft::new("more", "/more/", DraftKind::Idempotent, "plain");
    newer.routes.push(route);
    bench.store.put_config(&newer);
    sleep(Duration::from_millis(2_500)).await;
    bench.store.set_fault(StoreFault::None);
    sleep(Duration::from_millis(2_000)).await;
    assert_eq!(status_of(&bench, "/more/1").await, 200);
}

/// The store is silent for a moment between two probes, receives a new version, and loses the waiting
/// watch. No probe fails. The version is still in effect within three seconds, since a watch waits for at
/// most two.
#[tokio::test]
async fn watch_lost_between_probes_is_restarted() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    sleep(Duration::from_millis(600)).await;
    bench.store.set_fault(StoreFault::Silent);
    let mut newer = draft(2, AMPLE);
    let route = RouteDraft::new("more", "/more/", DraftKind::Idempotent, "plain");
    newer.routes.push(route);
    bench.store.put_config(&newer);
    sleep(Duration::from_millis(60)).await;
    bench.store.set_fault(StoreFault::None);
    sleep(Duration::from_millis(3_000)).await;
    assert_eq!(status_of(&bench, "/more/1").await, 200);
}

/// A store that refuses everything is polled with pauses: some calls a second, not hundreds.
#[tokio::test]
async fn unavailable_store_is_polled_with_pauses() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.wait_log(&["store_lost", "duty=targets"]).await;
    let before = bench.store.target_listings();
    sleep(Duration::from_secs(2)).await;
    let listings = bench.store.target_listings() - before;
    assert!(listings <= 20, "{listings} calls in two seconds");
}

/// Targets that start change their entries constantly, and a watch ends with the first change. If a router
/// watched again at once, it would make a call for each change, and all routers together would exhaust the
/// store's rate limit. It pauses between two answers, and misses no change.
#[tokio::test]
async fn changing_targets_are_followed_with_pauses() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let before = bench.store.target_listings();
    for number in 0..40 {
        let state = match number % 2 {
            0 => EntryState::Draining,
            _ => EntryState::Ready,
        };
        bench
            .store
            .put_target(&bench.plain[0], "plain", "north", state);
        sleep(Duration::from_millis(40)).await;
    }
    bench.store.remove_target("plain-2");
    bench.router.wait_log(&["target_gone", "plain-2"]).await;
    let listings = bench.store.target_listings() - before;
    assert!(
        listings <= 8,
        "{listings} calls for 41 changes in 1.6 seconds"
    );
    let call = request("GET /get/1", "call-1");
    assert_eq!(bench.router.call(&call).await.body, "plain-1");
}

#[tokio::test]
async fn draining_and_removed_targets_get_no_new_calls() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let store = &bench.store;
    store.put_target(&bench.plain[0], "plain", "north", EntryState::Draining);
    bench.router.wait_log(&["target_draining", "plain-1"]).await;
    let before = bench.plain[0].runs().len();
    for number in 0..10 {
        let call = request("GET /get/1", &format!("call-{number}"));
        assert_eq!(bench.router.call(&call).await.body, "plain-2");
    }
    assert_eq!(bench.plain[0].runs().len(), before);
    bench.store.remove_target("plain-2");
    bench.router.wait_log(&["target_gone", "plain-2"]).await;
    let reply = bench.router.call(&request("GET /get/1", "last")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));
}

/// Settings change, first without a signal and then with SIGHUP. They are reloaded without a restart;
/// invalid settings have no effect and are logged with their position.
#[tokio::test]
async fn settings_are_reloaded() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.router.edit_settings("ratio = 0.2", "ratio = 0.3");
    bench
        .router
        .wait_log(&["settings_reloaded", "changed=true"])
        .await;
    bench.router.edit_settings("ratio = 0.3", "ratio = many");
    bench.router.signal(Signal::SIGHUP);
    let line = bench.router.wait_log(&["settings_unreadable"]).await;
    assert!(line.contains(".toml:"), "{line}");
    assert_eq!(status_of(&bench, "/get/1").await, 200);
}

/// A watch of the configuration waits while the store refuses all new calls and probes. The waiting watch
/// is still answered: the new version is in effect at once, and not only when the store accepts new calls
/// again.
#[tokio::test]
async fn pending_watch_delivers_changes_while_new_calls_fail() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let begun = bench.store.calls("GET config");
    wait_for("a new watch", || async {
        bench.store.calls("GET config") > begun
    })
    .await;
    bench.store.set_fault(StoreFault::Refusing);
    bench.router.wait_log(&["store_lost", "duty=config"]).await;
    let mut newer = draft(2, AMPLE);
    let route = RouteDraft::new("more", "/more/", DraftKind::Idempotent, "plain");
    newer.routes.push(route);
    bench.store.put_config(&newer);
    wait_status(&bench, "/more/1", 200).await;
    bench
        .router
        .wait_log(&["store_regained", "duty=config"])
        .await;
}

/// A target crashes and restarts under its id at another address. Its entry changes, and later calls go
/// there on new connections. Then the entry is overwritten with one that names no target, until the target
/// writes it again.
#[tokio::test]
async fn restarted_and_overwritten_entries() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    bench.store.remove_target("plain-2");
    bench.router.wait_log(&["target_gone", "plain-2"]).await;
    let call = request("GET /get/1", "call-1");
    assert_eq!(bench.router.call(&call).await.body, "plain-1");
    let mut entry = bench.plain[1].entry("plain", "north", EntryState::Ready);
    entry["born"] = 1_770_000_000_000_u64.into();
    bench.store.put("servers", "plain-1", &entry);
    bench
        .router
        .wait_log(&["target_restarted", "plain-1"])
        .await;
    assert_eq!(bench.router.call(&call).await.body, "plain-2");
    bench.store.put("servers", "plain-1", &"torn".into());
    bench
        .router
        .wait_log(&["target_unreadable", "plain-1"])
        .await;
    bench.router.wait_log(&["target_gone", "plain-1"]).await;
    let entry = bench.plain[0].entry("plain", "north", EntryState::Ready);
    bench.store.put("servers", "plain-1", &entry);
    wait_status(&bench, "/get/1", 200).await;
}

/// Entries of another writer at the addresses of live targets, for other services, took all of them out
/// of use, and again after a restart of the router.
#[tokio::test]
async fn entries_at_addresses_of_targets_take_none_out_of_use() {
    let mut bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for (target, service) in bench.plain.iter().zip(["plain-old", "engine"]) {
        let name = format!("x-{}", target.name());
        let entry = target.entry(service, "north", EntryState::Ready);
        bench.store.put("servers", &name, &entry);
        bench.router.wait_log(&["target_joined", &name]).await;
    }
    for round in 0..2 {
        for number in 0..5 {
            let call = request("GET /get/1", &format!("call-{round}-{number}"));
            assert_eq!(bench.router.call(&call).await.status, 200, "{round}");
        }
        bench.router.restart();
        bench.router.wait_ready().await;
        bench.router.wait_log(&["target_joined", "x-plain-2"]).await;
    }
}

/// A removed target stayed in use without end: a watch that the store cut off counted as an outage of the store.
#[tokio::test]
async fn removed_target_is_gone_while_watches_are_cut() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    let targets = ["plain-1", "plain-2", "engine-1", "engine-2"];
    for (target, cut_ms) in targets.into_iter().zip([150, 900, 1_500, 1_900]) {
        bench
            .store
            .cut_watches_after(Some(Duration::from_millis(cut_ms)));
        let cuts = bench.router.log_lines(&["store_lost"]).len();
        wait_for("cut watches", || async {
            bench.router.log_lines(&["store_lost"]).len() >= cuts + 3
        })
        .await;
        let removed = Instant::now();
        bench.store.remove_target(target);
        bench.router.wait_log(&["target_gone", target]).await;
        assert!(removed.elapsed() < LEAVE_LIMIT, "{:?}", removed.elapsed());
    }
}

/// Targets whose entries lapsed while the store was away were dropped as it came back.
#[tokio::test]
async fn lapsed_target_stays_after_an_outage() {
    let bench = GatewayBench::start(&draft(1, AMPLE)).await;
    for (fault, target) in [
        (StoreFault::Refusing, "plain-1"),
        (StoreFault::Silent, "plain-2"),
    ] {
        bench.store.set_fault(fault);
        sleep(Duration::from_millis(2_500)).await;
        bench.store.remove_target(target);
        bench.store.set_fault(StoreFault::None);
        bench.router.wait_log(&["target_unconfirmed", target]).await;
        bench.router.wait_log(&["target_gone", target]).await;
    }
}
