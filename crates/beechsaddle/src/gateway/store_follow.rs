//! The `store_follow` module provides the following of the store: configuration and targets.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{
    CONFIG_NAME, ObjectKind, StoreEvent, StoreFailure, StoreListing, StoreObject, read_config,
    read_target,
};
use tokio::time::sleep;

use super::gateway_state::GatewayState;
use super::store_call::StoreCall;
use super::token_lending::update_roles;

/// How often targets that stayed unlisted are looked at.
const EXPIRY_SPAN: Duration = Duration::from_millis(250);

/// How long to wait after a failure at least, in milliseconds. A path that fails at once would
/// otherwise be asked without pause, by all routers together.
const LEAST_PAUSE_MS: u64 = 60;

/// How long to wait after a failure at most, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 500;

/// How far apart two answers of a watch are, in milliseconds. Targets that start change their entries
/// with every heartbeat, and each change would end the watch of each router: with 143 targets that
/// started together 86 routers made 10,300 of a day's 19,000 store calls in these four seconds. Changes
/// that come in the pause are in the next answer. The first change after a calm span is told at once;
/// one that follows it is told this much later at most, a fifth of the time that a leaving target
/// still serves.
const NEWS_SPAN_MS: u64 = 400;

/// Follows one kind of objects for ever: a listing, then changes from its revision on.
///
/// A lost watch begins again with a listing over a new connection as soon as the store answers,
/// because changes may have been missed; the listing is the whole truth, whatever came before.
pub(super) async fn follow_kind(state: Rc<GatewayState>, kind: ObjectKind) {
    let mut backoff = state.backoff(duty_name(kind));
    let mut is_lost = false;
    loop {
        let failure = match follow_once(&state, kind, &mut is_lost, &mut backoff).await {
            Ok(never) => match never {},
            Err(failure) => failure,
        };
        if !is_lost {
            is_lost = true;
            log_dependency(&state, "store_lost", kind, failure.to_string());
        }
        // Its history being gone is no fault of the store: the listing is asked for at once.
        if failure != StoreFailure::HistoryGone {
            if state.store_health.answering().await {
                backoff.reset();
            }
            let pause_ms = backoff.next_ms(LEAST_PAUSE_MS).min(LONGEST_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }
}

/// Nothing of this type exists: following ends only by a failure.
enum Never {}

async fn follow_once(
    state: &GatewayState,
    kind: ObjectKind,
    is_lost: &mut bool,
    backoff: &mut beechsaddle_core::backoff::RetryBackoff,
) -> Result<Never, StoreFailure> {
    let started = state.now();
    let listed = state.store.list(kind).await;
    state.note_store_call(StoreCall::List(kind), started, &listed);
    let listing = listed?;
    backoff.reset();
    if *is_lost {
        *is_lost = false;
        log_dependency(state, "store_regained", kind, listing.revision.to_string());
    }
    let mut revision = listing.revision;
    take_listing(state, kind, &listing);
    loop {
        let wait = state.settings().watch_wait;
        let started = state.now();
        let watched = tokio::select! {
            watched = state.store.watch(kind, revision, wait) => watched,
            () = state.store_health.lost() => Err(StoreFailure::Unknown("probe failed".to_owned())),
        };
        state.note_store_call(StoreCall::Watch(kind), started, &watched);
        let news = watched?;
        for event in &news.events {
            take_event(state, kind, event);
        }
        revision = news.revision.max(revision);
        let took_ms = state.now().since(started);
        sleep(Duration::from_millis(NEWS_SPAN_MS.saturating_sub(took_ms))).await;
    }
}

fn take_listing(state: &GatewayState, kind: ObjectKind, listing: &StoreListing) {
    match kind {
        ObjectKind::Config => listing
            .objects
            .iter()
            .for_each(|object| take_config(state, object)),
        ObjectKind::Targets => {
            let records: Vec<_> = listing
                .objects
                .iter()
                .filter_map(|object| read_entry(state, object))
                .collect();
            let changes = state.roster.borrow_mut().take_listing(state.now(), records);
            state.log_roster(changes);
        }
        ObjectKind::Routers | ObjectKind::Budgets => {}
    }
}

fn take_event(state: &GatewayState, kind: ObjectKind, event: &StoreEvent) {
    match (kind, event.is_removed) {
        (ObjectKind::Config, false) => take_config(state, &event.object),
        (ObjectKind::Targets, true) => {
            let name = TargetName::new(event.object.name());
            let change = state.roster.borrow_mut().remove(state.now(), &name);
            state.log_roster(change);
        }
        (ObjectKind::Targets, false) => {
            if let Some(record) = read_entry(state, &event.object) {
                let change = state.roster.borrow_mut().put(state.now(), record);
                state.log_roster(change);
            }
        }
        // A configuration that was removed stays in force: there is nothing newer.
        (ObjectKind::Config, true) | (ObjectKind::Routers | ObjectKind::Budgets, _) => {}
    }
}

fn read_entry(
    state: &GatewayState,
    object: &StoreObject,
) -> Option<beechsaddle_core::gateway::TargetRecord> {
    match read_target(object) {
        Ok(record) => Some(record),
        Err(what) => {
            let fields = [("target", object.name().to_owned()), ("error", what)];
            state
                .report
                .log(LogLevel::Error, "target_unreadable", fields);
            None
        }
    }
}

/// Takes over a configuration if it is newer than the one in force. An older one, as a late answer
/// may bring it, would undo what callers have seen.
fn take_config(state: &GatewayState, object: &StoreObject) {
    if object.name() != CONFIG_NAME {
        return;
    }
    let config = match read_config(object) {
        Ok(config) => config,
        Err(fault) => {
            let fields = [
                ("revision", object.revision().to_string()),
                ("error", fault.to_string()),
            ];
            state
                .report
                .log(LogLevel::Error, "config_unreadable", fields);
            return;
        }
    };
    let known = state.config().map(|config| config.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    let now = state.now();
    let fields = [
        ("version", config.version.to_string()),
        (
            "before",
            known.map_or("none".to_owned(), |known| known.to_string()),
        ),
        ("revision", object.revision().to_string()),
        ("routes", config.route_count().to_string()),
    ];
    state.report.log(LogLevel::Info, "config_in_force", fields);
    state.metrics.config_version.set(config.version as i64);
    state.escrow.borrow_mut().set_config(now, &config);
    *state.config.borrow_mut() = Some(Rc::new(config));
    state.config_at.set(now);
    update_roles(state);
    state.escrow_wake.notify_one();
    state.escrow_changed.notify_waiters();
}

/// Drops targets that stayed unlisted after the store came back, and idle connections.
pub(super) async fn run_expiry(state: Rc<GatewayState>) {
    loop {
        sleep(EXPIRY_SPAN).await;
        let now = state.now();
        let changes = state.roster.borrow_mut().expire(now);
        state.log_roster(changes);
        state.pool.prune(now);
    }
}

fn log_dependency(state: &GatewayState, event: &'static str, kind: ObjectKind, detail: String) {
    let fields = [("duty", duty_name(kind).to_owned()), ("detail", detail)];
    state.report.log(LogLevel::Warning, event, fields);
}

fn duty_name(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Config => "config",
        ObjectKind::Targets => "targets",
        ObjectKind::Routers => "routers",
        ObjectKind::Budgets => "budgets",
    }
}
