//! The `crash_store` module provides the writing of crashes to the store, for routers that nobody can tell.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{CrashFacts, CrashReport, RequestFingerprint, TargetIncarnation};
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreObject};
use tokio::time::sleep;

use super::crash_desk::take_sightings;
use super::crash_document::{CRASHES_NAME, read_crashes, write_crashes};
use super::crash_spread::{NoteOrigin, spread_notes};
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// How long the other routers wait for the one whose turn it is to write, in milliseconds: a few calls to the store,
/// and short against the time in which everybody has to know.
const TURN_MS: u64 = 400;

/// How long to wait after a failure at least, in milliseconds.
const LEAST_PAUSE_MS: u64 = 60;

/// What the store has, as this router last saw it.
#[derive(Debug, Default)]
pub(super) struct StoredCrashes {
    revision: Option<u64>,
    crashes: BTreeMap<(RequestFingerprint, TargetIncarnation), CrashFacts>,
}

impl StoredCrashes {
    /// Whether the store lacks something that changes a verdict.
    fn lacks(&self, sighting: &CrashReport) -> bool {
        let key = (sighting.fingerprint, sighting.target.clone());
        let facts = sighting.facts;
        self.crashes.get(&key).is_none_or(|known| {
            let is_repeat = facts.known_before > 0 && known.known_before == 0;
            is_repeat || (facts.is_cleared && !known.is_cleared)
        })
    }

    /// Takes over an object; an older one changes nothing.
    fn take(&mut self, revision: u64, reports: &[CrashReport]) {
        if self.revision.is_some_and(|known| known >= revision) {
            return;
        }
        self.revision = Some(revision);
        let crashes = reports.iter().map(|sighting| {
            let key = (sighting.fingerprint, sighting.target.clone());
            (key, sighting.facts)
        });
        self.crashes = crashes.collect();
    }
}

/// Takes over what the store has.
pub(super) fn take_object(state: &Rc<GatewayState>, object: &StoreObject) {
    if object.name() != CRASHES_NAME {
        return;
    }
    let reports = match read_crashes(&object.spec) {
        Ok(reports) => reports,
        Err(error) => {
            let fields = [
                ("duty", "crashes".to_owned()),
                ("name", object.name().to_owned()),
                ("error", error.to_string()),
            ];
            let report = &state.report;
            report.log(LogLevel::Error, "object_unreadable", fields);
            Vec::new()
        }
    };
    let mut stored = state.crashes.stored.borrow_mut();
    stored.take(object.revision(), &reports);
    drop(stored);
    let news = take_sightings(state, reports);
    spread_notes(state, news, NoteOrigin::Store);
}

/// Writes for ever what the store lacks.
pub(in crate::gateway) async fn run_crash_writer(state: Rc<GatewayState>) {
    let mut backoff = state.backoff("crashes");
    loop {
        state.crashes.wake.notified().await;
        if !is_first(&state) {
            sleep(Duration::from_millis(TURN_MS)).await;
        }
        while !pending(&state).is_empty() {
            match write_once(&state).await {
                Ok(()) => backoff.reset(),
                Err(_) => {
                    // Nothing is lost: what is pending stays so until it is in the store.
                    let _ = state.store_health.answering().await;
                    sleep(Duration::from_millis(backoff.next_ms(LEAST_PAUSE_MS))).await;
                }
            }
        }
    }
}

/// What the store lacks.
fn pending(state: &GatewayState) -> Vec<RequestFingerprint> {
    let book = state.crashes.book.borrow();
    let stored = state.crashes.stored.borrow();
    let missing = book.shared().filter(|sighting| stored.lacks(sighting));
    missing.map(|sighting| sighting.fingerprint).collect()
}

/// Whether it is this router's turn to write something that is pending.
fn is_first(state: &GatewayState) -> bool {
    let ring = state.lending.ring.borrow();
    let pending = pending(state);
    let mut names = pending.iter().map(ToString::to_string);
    names.any(|name| ring.leader_of(state.now(), &name).is_none())
}

/// Makes one write. A conflict is taken over, so that the next write is made from what is there.
async fn write_once(state: &Rc<GatewayState>) -> Result<(), StoreFailure> {
    let reports: Vec<_> = state.crashes.book.borrow().shared().collect();
    let spec =
        write_crashes(&reports).map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    let known = state.crashes.stored.borrow().revision;
    let started = state.now();
    let (kind, name) = (ObjectKind::Crashes, CRASHES_NAME);
    let written = match known {
        Some(revision) => state.store.replace(kind, name, revision, &spec).await,
        None => state.store.create(kind, name, &spec).await,
    };
    state.note_store_call(StoreCall::WriteCrashes, started, &written);
    match written {
        Ok(object) => {
            let mut stored = state.crashes.stored.borrow_mut();
            stored.take(object.revision(), &reports);
        }
        Err(StoreFailure::Conflict(Some(object))) => take_object(state, &object),
        // An operator has removed it, or an answer did not say what is there: it is read and tried again.
        Err(StoreFailure::Missing | StoreFailure::Conflict(None)) => {
            let started = state.now();
            let read = state.store.read(kind, name).await;
            state.note_store_call(StoreCall::ReadCrashes, started, &read);
            match read {
                Ok(object) => take_object(state, &object),
                Err(StoreFailure::Missing) => {
                    *state.crashes.stored.borrow_mut() = StoredCrashes::default();
                }
                Err(failure) => return Err(failure),
            }
        }
        Err(failure) => return Err(failure),
    }
    Ok(())
}
