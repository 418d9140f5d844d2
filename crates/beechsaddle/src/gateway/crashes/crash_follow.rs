//! The `crash_follow` module provides the watching of crash reports that routers wrote to the
//! store.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_platform::{ObjectKind, StoreChanges, StoreFailure};
use tokio::time::{sleep, timeout};

use super::crash_store::apply_object;
use crate::gateway::changes::{SETTLE_WAIT, drop_unreadable};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// Maximum duration of a watch. It may be long, although the store can silently forget a watch:
/// routers also report to each other, and the object is listed again after an outage of the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval at which a router that relies on reports of others lists the crashes itself, in case no
/// report reached it.
const RELIST_INTERVAL: Duration = Duration::from_secs(20);

/// Interval at which such a router checks whether it now has to follow the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum delay after a failure, in milliseconds.
const MIN_BACKOFF_MS: u64 = 60;

/// Follows crash reports indefinitely. Routers that follow the store for their domain watch them;
/// others list them now and then.
pub(in crate::gateway) async fn run_crash_follow(state: Rc<GatewayState>) {
    let mut revision = list_crashes(&state).await;
    // The followers of the store are known once the routers that started together with this one are
    // listed. If that takes too long, this router follows the store itself.
    let _ = timeout(SETTLE_WAIT, state.lending.roles_enabled()).await;
    loop {
        while is_follower(&state)
            && let Some(batch) = watch_crashes(&state, revision).await
        {
            revision = batch.revision.max(revision);
            drop_unreadable(&state, ObjectKind::Crashes, &batch.unreadable);
            for event in batch.events.iter().filter(|event| !event.is_removed) {
                apply_object(&state, &event.object);
            }
        }
        // Changes may have been missed during a failed watch.
        sleep(ROLE_CHECK_INTERVAL).await;
        revision = list_crashes(&state).await;
        wait_for_relist(&state).await;
    }
}

fn is_follower(state: &GatewayState) -> bool {
    let choice = state.relay.choice.borrow();
    choice.is_follower(state.now(), &state.lending.ring.borrow())
}

/// Waits until the crashes have to be listed again.
async fn wait_for_relist(state: &GatewayState) {
    let started = state.now();
    while !is_follower(state) && state.now().since(started) < RELIST_INTERVAL.as_millis() as u64 {
        sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Lists and applies all crash reports, and returns the revision to watch from. The listing may be
/// some seconds stale, at a tenth of the cost of a current one. A watch from there returns anything
/// newer; routers without a watch get it from reports or the next listing.
async fn list_crashes(state: &Rc<GatewayState>) -> u64 {
    let mut backoff = state.backoff("crashes");
    loop {
        let started = state.now();
        let kind = ObjectKind::Crashes;
        let listed = state.store.list_stale(kind).await;
        state.record_store_call(StoreCall::List(kind), started, &listed);
        if let Ok(listing) = listed {
            drop_unreadable(state, kind, &listing.unreadable);
            for object in &listing.objects {
                apply_object(state, object);
            }
            state.unreadable.retain_listed(kind, &listing);
            return listing.revision;
        }
        // Whether the store recovered or the wait timed out makes no difference.
        let _ = state.store_health.answering().await;
        sleep(Duration::from_millis(backoff.next_ms(MIN_BACKOFF_MS))).await;
    }
}

/// Waits for changes; returns `None` if some may have been missed.
async fn watch_crashes(state: &GatewayState, revision: u64) -> Option<StoreChanges> {
    let started = state.now();
    let kind = ObjectKind::Crashes;
    let watched = tokio::select! {
        watched = state.store.watch(kind, revision, WATCH_TIMEOUT) => watched,
        () = state.store_health.lost() => {
            Err(StoreFailure::Unknown("store probe failed".to_owned()))
        }
    };
    state.record_store_call(StoreCall::Watch(kind), started, &watched);
    watched.ok()
}
