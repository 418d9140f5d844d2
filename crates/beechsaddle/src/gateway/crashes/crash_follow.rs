//! The `crash_follow` module provides the following of crashes that routers wrote to the store.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_platform::{ObjectKind, StoreFailure, StoreNews};
use tokio::time::{sleep, timeout};

use super::crash_store::take_object;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::news::SETTLE_WAIT;
use crate::gateway::store_call::StoreCall;

/// How long a watch waits. Routers tell each other as well, and a store that was lost is listed anew, so that a
/// watch which was forgotten unnoticed may stay so for a while.
const WATCH_SPAN: Duration = Duration::from_secs(20);

/// How often a router that others tell looks for itself, in case nobody reached it.
const LOOK_SPAN: Duration = Duration::from_secs(20);

/// How often such a router finds out whether it has to follow the store by itself now.
const ROLE_SPAN: Duration = Duration::from_millis(500);

/// How long to wait after a failure at least, in milliseconds.
const LEAST_PAUSE_MS: u64 = 60;

/// Follows crashes for ever. Those that follow the store for their domain watch them; others look now and then.
pub(in crate::gateway) async fn run_crash_follow(state: Rc<GatewayState>) {
    let mut revision = look_at_crashes(&state).await;
    // Who follows the store is known once the routers that started with this one are listed. Where that takes long
    // this router follows it by itself.
    let _ = timeout(SETTLE_WAIT, state.lending.settled()).await;
    loop {
        while is_follower(&state)
            && let Some(news) = watch_crashes(&state, revision).await
        {
            revision = news.revision.max(revision);
            for event in news.events.iter().filter(|event| !event.is_removed) {
                take_object(&state, &event.object);
            }
        }
        // After a failed watch some changes may have been missed.
        sleep(ROLE_SPAN).await;
        revision = look_at_crashes(&state).await;
        wait_for_role(&state).await;
    }
}

fn is_follower(state: &GatewayState) -> bool {
    let choice = state.relay.choice.borrow();
    choice.is_follower(state.now(), &state.lending.ring.borrow())
}

/// Waits until it is time to look again.
async fn wait_for_role(state: &GatewayState) {
    let started = state.now();
    while !is_follower(state) && state.now().since(started) < LOOK_SPAN.as_millis() as u64 {
        sleep(ROLE_SPAN).await;
    }
}

/// Takes over all crashes, as they were some seconds ago, for a tenth of the price; gives the revision to watch from.
/// A watch from there brings what is newer, and those that do not watch are told by others, or look again.
async fn look_at_crashes(state: &Rc<GatewayState>) -> u64 {
    let mut backoff = state.backoff("crashes");
    loop {
        let started = state.now();
        let kind = ObjectKind::Crashes;
        let listed = state.store.list_stale(kind).await;
        state.note_store_call(StoreCall::List(kind), started, &listed);
        if let Ok(listing) = listed {
            for object in &listing.objects {
                take_object(state, object);
            }
            return listing.revision;
        }
        // A wait that was cut short by the store's return is as good as a whole one.
        let _ = state.store_health.answering().await;
        sleep(Duration::from_millis(backoff.next_ms(LEAST_PAUSE_MS))).await;
    }
}

/// Waits for changes; `None` where some may have been missed.
async fn watch_crashes(state: &GatewayState, revision: u64) -> Option<StoreNews> {
    let started = state.now();
    let kind = ObjectKind::Crashes;
    let watched = tokio::select! {
        watched = state.store.watch(kind, revision, WATCH_SPAN) => watched,
        () = state.store_health.lost() => {
            Err(StoreFailure::Unknown("a probe failed".to_owned()))
        }
    };
    state.note_store_call(StoreCall::Watch(kind), started, &watched);
    watched.ok()
}
