//! The `store_follow` module provides the following of configurations and targets, by the store or by a router that
//! follows it.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::ChangeSource;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreListing, StoreNews};
use tokio::time::{sleep, timeout};

use super::follow_call::{FollowStep, follow_router};
use super::news_intake::{take_listing, take_news};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// How long to wait after a failure at least, in milliseconds. A path that fails at once would
/// otherwise be asked without pause, by all routers together.
const LEAST_PAUSE_MS: u64 = 60;

/// How long to wait after a failure at most, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 500;

/// How far apart two answers of a watch are, in milliseconds. Targets that start change their entries
/// with every heartbeat, and each change would end the watch of each router and cost a call. Changes
/// that come in the pause are in the next answer. The first change after a calm span is told at once;
/// one that follows it is told this much later at most, a fifth of the time that a leaving target
/// still serves.
const NEWS_SPAN_MS: u64 = 400;

/// How long a watch waits of a router whose followers are in doubt, and how long it pauses where the store does
/// not answer it either: it goes back to them as soon as they are in touch.
const DOUBT_WATCH: Duration = Duration::from_millis(1_000);
/// See [`DOUBT_WATCH`].
const DOUBT_PAUSE: Duration = Duration::from_millis(250);

/// How long a router that starts waits until it knows the others: well within the time in which it has to be as
/// up to date as they are.
pub(in crate::gateway) const SETTLE_WAIT: Duration = Duration::from_millis(2_500);

/// What was told of a kind next.
enum StoreStep {
    /// Changes since the last step.
    News(StoreNews),
    /// Everything, as changes may have been missed.
    Listing(StoreListing),
}

/// Follows one kind of objects for ever: a listing, then changes from its revision on, from the store or from a
/// router that follows it.
///
/// Where a watch is late or a probe fails, a listing is asked for over a new connection, because changes
/// may have been missed; the listing is the whole truth, whatever came before. The watch is waited for
/// all the same, and whichever answers first counts. Behind a full link of the router's own an answer is
/// late but comes, while new connections time out: giving the old one up left routers of a large fleet
/// without new configurations for three to eight seconds.
pub(in crate::gateway) async fn follow_kind(state: Rc<GatewayState>, kind: ObjectKind) {
    let started = state.now();
    let listing = list_again(&state, kind).await;
    note_known(&state, kind, started);
    state.relay.begin(kind, &listing);
    take_listing(&state, kind, &listing);
    // Whom to follow is known once the others that started with this router are listed. Each of them would begin
    // with some watches of its own.
    let settled = timeout(SETTLE_WAIT, state.lending.settled()).await;
    if settled.is_err() {
        let fields = [("duty", duty_name(kind).to_owned())];
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
        revision = match is_follower {
            true => follow_store(&state, kind, revision).await,
            false => follow_fleet(&state, kind, revision).await,
        };
    }
}

/// Follows the store for one step; gives the revision to go on from.
async fn follow_store(state: &GatewayState, kind: ObjectKind, revision: u64) -> u64 {
    let started = state.now();
    state.relay.note_watched(kind, true);
    let step = next_step(state, kind, revision).await;
    let revision = take_step(state, kind, revision, step);
    note_known(state, kind, started);
    let took_ms = state.now().since(started);
    sleep(Duration::from_millis(NEWS_SPAN_MS.saturating_sub(took_ms))).await;
    revision
}

/// Follows a router that follows the store for one step; gives the revision to go on from.
async fn follow_fleet(state: &GatewayState, kind: ObjectKind, revision: u64) -> u64 {
    let started = state.now();
    state.relay.note_watched(kind, false);
    let source = {
        let choice = state.relay.choice.borrow();
        choice.source(state.now(), &state.lending.ring.borrow())
    };
    let step = match source {
        ChangeSource::Store => FollowStep::Gone,
        ChangeSource::Router(peer) => follow_router(state, &peer, kind, revision).await,
    };
    match step {
        FollowStep::News(batches, known) => {
            for news in batches {
                take_step(state, kind, revision, StoreStep::News(news));
            }
            note_known(state, kind, started);
            known.max(revision)
        }
        FollowStep::Gone => follow_briefly(state, kind, revision).await,
        FollowStep::Doubted => revision,
    }
}

/// Asks the store itself what changed, where no follower can tell.
async fn follow_briefly(state: &GatewayState, kind: ObjectKind, revision: u64) -> u64 {
    if !state.store_health.answers() {
        sleep(DOUBT_PAUSE).await;
        return revision;
    }
    let started = state.now();
    let watching = state.store.watch(kind, revision, DOUBT_WATCH);
    let on_time = DOUBT_WATCH + state.settings().store.call_timeout;
    let watched = match timeout(on_time, watching).await {
        Ok(watched) => watched,
        Err(_) => Err(StoreFailure::Unknown("no answer in time".to_owned())),
    };
    state.note_store_call(StoreCall::Watch(kind), started, &watched);
    let step = match watched {
        Ok(news) => StoreStep::News(news),
        Err(StoreFailure::HistoryGone) => match try_list(state, kind).await {
            Some(listing) => StoreStep::Listing(listing),
            None => return revision,
        },
        Err(failure) => {
            // Probes tell when it is worth another try.
            state.store_health.note(!failure.is_away());
            sleep(DOUBT_PAUSE).await;
            return revision;
        }
    };
    note_known(state, kind, started);
    take_step(state, kind, revision, step)
}

/// Notes that what the store told after `started` is known. An answer may have been on its way for long behind a full
/// link, so that nothing later is certain.
fn note_known(state: &GatewayState, kind: ObjectKind, started: ClockTime) {
    if kind == ObjectKind::Targets {
        state.note_targets_known(started);
    }
}

/// Takes over a step and keeps it for those that follow this router; gives the revision to go on from.
fn take_step(state: &GatewayState, kind: ObjectKind, revision: u64, step: StoreStep) -> u64 {
    let (noted, known) = match &step {
        StoreStep::News(news) => {
            take_news(state, kind, news);
            let noted = state.relay.try_note_news(kind, news);
            (noted, news.revision.max(revision))
        }
        StoreStep::Listing(listing) => {
            take_listing(state, kind, listing);
            let noted = state.relay.try_note_listing(kind, listing);
            (noted, listing.revision)
        }
    };
    if let Err(error) = noted {
        let fields = [
            ("duty", duty_name(kind).to_owned()),
            ("error", error.to_string()),
        ];
        let report = &state.report;
        report.log(LogLevel::Error, "news_not_passed_on", fields);
    }
    known
}

/// Waits for what the store tells after `revision`.
async fn next_step(state: &GatewayState, kind: ObjectKind, revision: u64) -> StoreStep {
    let settings = state.settings();
    let started = state.now();
    let mut watching = pin!(state.store.watch(kind, revision, settings.watch_wait));
    let on_time = settings.watch_wait + settings.store.call_timeout;
    let watched = tokio::select! {
        watched = &mut watching => Some(watched),
        () = state.store_health.lost() => None,
        () = sleep(on_time) => None,
    };
    let Some(watched) = watched else {
        let late = StoreFailure::Unknown("no answer in time, or a probe failed".to_owned());
        state.note_store_call::<()>(StoreCall::Watch(kind), started, &Err(late.clone()));
        return regain(state, kind, &late, watching.as_mut()).await;
    };
    state.note_store_call(StoreCall::Watch(kind), started, &watched);
    match watched {
        Ok(news) => StoreStep::News(news),
        // Its history being gone is no fault of the store: the listing is asked for at once.
        Err(StoreFailure::HistoryGone) => {
            state.relay.note_watched(kind, false);
            StoreStep::Listing(list_again(state, kind).await)
        }
        Err(failure) => regain(state, kind, &failure, pending()).await,
    }
}

/// Waits for a listing, or for the late answer of a watch, whichever comes first.
async fn regain(
    state: &GatewayState,
    kind: ObjectKind,
    failure: &StoreFailure,
    watching: impl Future<Output = Result<StoreNews, StoreFailure>>,
) -> StoreStep {
    log_dependency(state, "store_lost", kind, failure.to_string());
    state.relay.note_watched(kind, false);
    let mut listing = pin!(list_later(state, kind));
    let step = tokio::select! {
        watched = watching => match watched {
            Ok(news) => StoreStep::News(news),
            // Whatever became of the watch, the listing decides.
            Err(_) => StoreStep::Listing(listing.await),
        },
        listing = &mut listing => StoreStep::Listing(listing),
    };
    state.note_store_answer();
    let revision = match &step {
        StoreStep::News(news) => news.revision,
        StoreStep::Listing(listing) => listing.revision,
    };
    log_dependency(state, "store_regained", kind, revision.to_string());
    step
}

/// Asks for a listing after a pause, until there is one.
async fn list_later(state: &GatewayState, kind: ObjectKind) -> StoreListing {
    let mut backoff = state.backoff(duty_name(kind));
    loop {
        if state.store_health.answering().await {
            backoff.reset();
        }
        let pause_ms = backoff.next_ms(LEAST_PAUSE_MS).min(LONGEST_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
        if let Some(listing) = try_list(state, kind).await {
            return listing;
        }
    }
}

/// Asks for a listing at once, then after pauses, until there is one.
async fn list_again(state: &GatewayState, kind: ObjectKind) -> StoreListing {
    match try_list(state, kind).await {
        Some(listing) => listing,
        None => list_later(state, kind).await,
    }
}

/// Asks for a listing; a failure is counted and logged as a call to the store.
async fn try_list(state: &GatewayState, kind: ObjectKind) -> Option<StoreListing> {
    let started = state.now();
    let listed = state.store.list(kind).await;
    state.note_store_call(StoreCall::List(kind), started, &listed);
    listed.ok()
}

fn log_dependency(state: &GatewayState, event: &'static str, kind: ObjectKind, detail: String) {
    let fields = [("duty", duty_name(kind).to_owned()), ("detail", detail)];
    state.report.log(LogLevel::Warning, event, fields);
}

pub(super) fn duty_name(kind: ObjectKind) -> &'static str {
    match kind {
        ObjectKind::Config => "config",
        ObjectKind::Targets => "targets",
        ObjectKind::Routers => "routers",
        ObjectKind::Budgets => "budgets",
        ObjectKind::Crashes => "crashes",
    }
}
