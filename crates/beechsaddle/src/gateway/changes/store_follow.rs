//! The `store_follow` module provides the following of configurations and targets, through the
//! store or a router that follows it.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::ChangeSource;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{CONFIG_NAME, ObjectKind, StoreChanges, StoreFailure, StoreListing};
use tokio::time::{sleep, timeout};

use super::change_apply::{ChangeOrigin, apply_changes, apply_listing, try_apply_difference};
use super::config_follow::follow_config;
use super::follow_call::{FollowStep, RelayedConfig, follow_router};
use super::outage_follow::follow_others;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// Minimum delay after a failure, in milliseconds. Without it, all routers would repeat calls that
/// fail at once without a pause.
const MIN_BACKOFF_MS: u64 = 60;

/// Maximum delay after a failure, in milliseconds.
const MAX_BACKOFF_MS: u64 = 500;

/// Minimum interval between two answers of a watch, in milliseconds. Starting targets change their
/// entries with every heartbeat, and each change would end the watch of each router and cost a
/// call. Changes within the interval are part of the next answer. The first change after a quiet
/// time is delivered at once; one that follows it is delayed by this much at most, a fifth of the
/// time for which a leaving target still serves.
const WATCH_INTERVAL_MS: u64 = 400;

/// Maximum duration of a watch by a router that no follower could serve, and the pause if the store
/// does not answer it either. Both are short, so that the router returns to the followers as soon
/// as they reach the store.
const FALLBACK_WATCH: Duration = Duration::from_millis(1_000);
/// See [`FALLBACK_WATCH`].
const FALLBACK_PAUSE: Duration = Duration::from_millis(250);

/// Time limit for a starting router to learn the list of the other routers: well below the time
/// within which it must know the same changes as they do.
pub(in crate::gateway) const SETTLE_WAIT: Duration = Duration::from_millis(2_500);

/// The next step of following a kind.
enum StoreStep {
    Changes(StoreChanges, ChangeOrigin),
    /// A complete listing, as changes may have been missed.
    Listing(StoreListing),
}

/// Follows one kind of objects indefinitely: a listing, then changes from its revision on, from the
/// store or from a router that follows it.
///
/// If a watch is late or a probe fails, a listing is requested over a new connection, because
/// changes may have been missed; a listing is authoritative. The watch is still awaited, and the
/// first of the two to answer counts. Over a saturated link of the router, answers arrive late
/// while new connections time out: dropping the old watch left routers of a large fleet without new
/// configurations for three to eight seconds.
pub(in crate::gateway) async fn follow_kind(state: Rc<GatewayState>, kind: ObjectKind) {
    let started = state.now();
    let listing = list_until_success(&state, kind).await;
    record_known(&state, kind, started);
    state.relay.begin(kind, &listing);
    apply_listing(&state, kind, &listing);
    // The router to follow is known once the routers that started together are listed. Without the
    // wait, each of them would begin with watches of its own.
    let roles_enabled = timeout(SETTLE_WAIT, state.lending.roles_enabled()).await;
    if roles_enabled.is_err() {
        let fields = [("duty", kind_name(kind).to_owned())];
        let report = &state.report;
        report.log(LogLevel::Warning, "routers_unlisted", fields);
    }
    let mut revision = listing.revision;
    loop {
        let is_follower = {
            let choice = state.relay.choice.borrow();
            choice.is_follower(state.now(), &state.lending.ring.borrow())
        };
        state.metrics.follows_store.set(is_follower.into());
        revision = match (is_follower, kind) {
            (true, _) => follow_store(&state, kind, revision).await,
            (false, ObjectKind::Config) => follow_config(&state, revision).await,
            (false, _) => follow_peer(&state, kind, revision).await,
        };
    }
}

/// Follows the store for one step; returns the revision to continue from.
async fn follow_store(state: &GatewayState, kind: ObjectKind, revision: u64) -> u64 {
    let started = state.now();
    state.relay.set_watched(kind, true);
    let step = next_store_step(state, kind, revision).await;
    let revision = apply_step(state, kind, revision, step);
    record_known(state, kind, started);
    let took_ms = state.now().since(started);
    sleep(Duration::from_millis(
        WATCH_INTERVAL_MS.saturating_sub(took_ms),
    ))
    .await;
    revision
}

/// Follows a router that follows the store for one step; returns the revision to continue from.
async fn follow_peer(state: &GatewayState, kind: ObjectKind, revision: u64) -> u64 {
    let started = state.now();
    state.relay.set_watched(kind, false);
    let source = {
        let choice = state.relay.choice.borrow();
        choice.source(state.now(), &state.lending.ring.borrow())
    };
    let step = match source {
        ChangeSource::Store => FollowStep::Gone,
        ChangeSource::Router(peer) => follow_router(state, &peer, kind, revision).await,
    };
    match step {
        FollowStep::Changes(batches, known) => {
            for changes in batches {
                let step = StoreStep::Changes(changes, ChangeOrigin::Router);
                apply_step(state, kind, revision, step);
            }
            record_known(state, kind, started);
            known.max(revision)
        }
        FollowStep::Config(config, known) => {
            let known = apply_relayed(state, &config, known, started);
            known.unwrap_or(revision)
        }
        FollowStep::Gone => watch_store_once(state, kind, revision).await,
        FollowStep::Failed => revision,
    }
}

/// Applies a difference of configurations that another router sent in answer to a request at `started`;
/// returns the revision to continue from, `None` if the difference does not apply here.
pub(super) fn apply_relayed(
    state: &GatewayState,
    config: &RelayedConfig,
    revision: u64,
    started: ClockTime,
) -> Option<u64> {
    match try_apply_difference(state, config, revision) {
        Ok(()) => {
            state.record_config_known(started);
            Some(revision)
        }
        Err(mismatch) => {
            let fields = [("error", mismatch.to_string())];
            let report = &state.report;
            report.log(LogLevel::Warning, "config_mismatch", fields);
            None
        }
    }
}

/// Reads the newest configuration from the store, as no follower can tell what has changed. Versions in
/// between, which a watch would return too, are of no use.
pub(super) async fn read_config_once(state: &GatewayState, revision: u64) -> u64 {
    let kind = ObjectKind::Config;
    if !state.store_health.answers() {
        sleep(FALLBACK_PAUSE).await;
        return revision;
    }
    let started = state.now();
    let read = state.store.read_changes(kind, CONFIG_NAME).await;
    state.record_store_call(StoreCall::ReadConfig, started, &read);
    match read {
        Ok(changes) => {
            record_known(state, kind, started);
            let step = StoreStep::Changes(changes, ChangeOrigin::Watch);
            apply_step(state, kind, revision, step)
        }
        Err(failure) => {
            state.store_health.record(!failure.is_unavailable());
            sleep(FALLBACK_PAUSE).await;
            revision
        }
    }
}

/// Reads changes from the store itself when no follower can provide them.
pub(super) async fn watch_store_once(state: &GatewayState, kind: ObjectKind, revision: u64) -> u64 {
    if !state.store_health.answers() {
        sleep(FALLBACK_PAUSE).await;
        return revision;
    }
    let started = state.now();
    let watching = state.store.watch_briefly(kind, revision, FALLBACK_WATCH);
    let watched = watching.await;
    state.record_store_call(StoreCall::Watch(kind), started, &watched);
    let step = match watched {
        Ok(changes) => StoreStep::Changes(changes, ChangeOrigin::Watch),
        Err(StoreFailure::HistoryGone) => match try_list(state, kind).await {
            Some(listing) => StoreStep::Listing(listing),
            None => return revision,
        },
        Err(failure) => {
            // Probes show when another try is worthwhile.
            state.store_health.record(!failure.is_unavailable());
            sleep(FALLBACK_PAUSE).await;
            return revision;
        }
    };
    record_known(state, kind, started);
    apply_step(state, kind, revision, step)
}

/// Records that all changes up to `started` are known. An answer may have been delayed by a
/// saturated link, so that nothing later is certain.
pub(super) fn record_known(state: &GatewayState, kind: ObjectKind, started: ClockTime) {
    match kind {
        ObjectKind::Targets => state.record_targets_known(started),
        ObjectKind::Config => state.record_config_known(started),
        ObjectKind::Routers
        | ObjectKind::Budgets
        | ObjectKind::Crashes
        | ObjectKind::Evacuations => {}
    }
}

/// Applies a step and records it for the routers that follow this one; returns the revision to
/// continue from.
fn apply_step(state: &GatewayState, kind: ObjectKind, revision: u64, step: StoreStep) -> u64 {
    let (recorded, known) = match &step {
        StoreStep::Changes(changes, origin) => {
            apply_changes(state, kind, changes, *origin);
            let recorded = state.relay.try_record_changes(kind, changes);
            (recorded, changes.revision.max(revision))
        }
        StoreStep::Listing(listing) => {
            apply_listing(state, kind, listing);
            let recorded = state.relay.try_record_listing(kind, listing);
            (recorded, listing.revision)
        }
    };
    if let Err(error) = recorded {
        let fields = [
            ("duty", kind_name(kind).to_owned()),
            ("error", error.to_string()),
        ];
        let report = &state.report;
        report.log(LogLevel::Error, "news_not_passed_on", fields);
    }
    known
}

/// Waits for changes in the store after `revision`.
async fn next_store_step(state: &GatewayState, kind: ObjectKind, revision: u64) -> StoreStep {
    let settings = state.settings();
    let started = state.now();
    let mut watching = pin!(state.store.watch(kind, revision, settings.watch_wait));
    let deadline = settings.watch_wait + settings.store.call_timeout;
    let watched = tokio::select! {
        watched = &mut watching => Some(watched),
        () = state.store_health.lost() => None,
        () = sleep(deadline) => None,
    };
    let Some(watched) = watched else {
        let late = StoreFailure::Unknown("no answer in time, or the store probe failed".to_owned());
        state.record_store_call::<()>(StoreCall::Watch(kind), started, &Err(late.clone()));
        return recover_watch(state, kind, revision, &late, watching.as_mut()).await;
    };
    state.record_store_call(StoreCall::Watch(kind), started, &watched);
    match watched {
        Ok(changes) => StoreStep::Changes(changes, ChangeOrigin::Watch),
        // A compacted history is no failure of the store: the listing is requested at once.
        Err(StoreFailure::HistoryGone) => {
            state.relay.set_watched(kind, false);
            StoreStep::Listing(list_until_success(state, kind).await)
        }
        Err(failure) => recover_watch(state, kind, revision, &failure, pending()).await,
    }
}

/// Waits for a listing or the late answer of a watch, whichever comes first. Meanwhile the changes
/// that other routers know are applied.
async fn recover_watch(
    state: &GatewayState,
    kind: ObjectKind,
    revision: u64,
    failure: &StoreFailure,
    watching: impl Future<Output = Result<StoreChanges, StoreFailure>>,
) -> StoreStep {
    log_dependency(state, "store_lost", kind, failure.to_string());
    state.relay.set_watched(kind, false);
    let mut listing = pin!(list_with_backoff(state, kind));
    let step = tokio::select! {
        watched = watching => match watched {
            Ok(changes) => StoreStep::Changes(changes, ChangeOrigin::Watch),
            // The listing decides, whatever the watch failed with.
            Err(_) => StoreStep::Listing(listing.await),
        },
        listing = &mut listing => StoreStep::Listing(listing),
        never = follow_others(state, kind, revision) => match never {},
    };
    state.record_store_answer();
    let revision = match &step {
        StoreStep::Changes(changes, _) => changes.revision,
        StoreStep::Listing(listing) => listing.revision,
    };
    log_dependency(state, "store_regained", kind, revision.to_string());
    step
}

/// Requests a listing after a delay, until one succeeds.
async fn list_with_backoff(state: &GatewayState, kind: ObjectKind) -> StoreListing {
    let mut backoff = state.backoff(kind_name(kind));
    loop {
        if state.store_health.answering().await {
            backoff.reset();
        }
        let pause_ms = backoff.next_ms(MIN_BACKOFF_MS).min(MAX_BACKOFF_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        if let Some(listing) = try_list(state, kind).await {
            return listing;
        }
    }
}

/// Requests a listing at once, then after delays, until one succeeds.
async fn list_until_success(state: &GatewayState, kind: ObjectKind) -> StoreListing {
    match try_list(state, kind).await {
        Some(listing) => listing,
        None => list_with_backoff(state, kind).await,
    }
}

/// Requests a listing; a failure is counted and logged as a store call.
async fn try_list(state: &GatewayState, kind: ObjectKind) -> Option<StoreListing> {
    let started = state.now();
    let listed = state.store.list(kind).await;
    state.record_store_call(StoreCall::List(kind), started, &listed);
    listed.ok()
}

fn log_dependency(state: &GatewayState, event: &'static str, kind: ObjectKind, detail: String) {
    let fields = [("duty", kind_name(kind).to_owned()), ("detail", detail)];
    state.report.log(LogLevel::Warning, event, fields);
}

pub(super) fn kind_name(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Config => "config",
        ObjectKind::Targets => "targets",
        ObjectKind::Routers => "routers",
        ObjectKind::Budgets => "budgets",
        ObjectKind::Crashes => "crashes",
        ObjectKind::Evacuations => "evacuations",
    }
}
