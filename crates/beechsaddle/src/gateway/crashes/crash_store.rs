//! The `crash_store` module provides the writing of crash reports to the store, for routers that no
//! other router can reach.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{CrashFacts, CrashReport, SuspectKey, TargetIncarnation};
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreObject, UnreadableObject};
use tokio::time::sleep;

use super::crash_broadcast::{ReportOrigin, distribute_reports};
use super::crash_document::{CRASHES_NAME, read_crashes, write_crashes};
use super::crash_manager::apply_reports;
use crate::gateway::changes::drop_unreadable;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;

/// How long other routers leave the write to the designated writer, in milliseconds: a few calls to
/// the store, and short against the time in which every router must have the report.
const WRITE_DELAY_MS: u64 = 400;

/// Minimum delay after a failure, in milliseconds.
const MIN_BACKOFF_MS: u64 = 60;

/// The content of the store's object as last seen by this router.
#[derive(Debug, Default)]
pub(super) struct StoredCrashes {
    revision: Option<u64>,
    crashes: BTreeMap<(SuspectKey, TargetIncarnation), CrashFacts>,
}

impl StoredCrashes {
    /// Returns whether the store lacks something that changes a verdict.
    fn lacks(&self, report: &CrashReport) -> bool {
        let key = (report.key, report.target.clone());
        let facts = report.facts;
        let Some(known) = self.crashes.get(&key) else {
            return !facts.is_cleared;
        };
        let is_repeat = facts.known_before > 0 && known.known_before == 0;
        is_repeat || (facts.is_cleared && !known.is_cleared)
    }

    /// Replaces the known content; ignores a revision that is not newer.
    fn replace(&mut self, revision: u64, reports: &[CrashReport]) {
        if self.revision.is_some_and(|known| known >= revision) {
            return;
        }
        self.revision = Some(revision);
        let crashes = reports.iter().map(|report| {
            let key = (report.key, report.target.clone());
            (key, report.facts)
        });
        self.crashes = crashes.collect();
    }
}

/// Applies the store's crash object.
pub(super) fn apply_object(state: &Rc<GatewayState>, object: &StoreObject) {
    if object.name() != CRASHES_NAME {
        return;
    }
    let reports = match read_crashes(object) {
        Ok(reports) => {
            state.unreadable.forget(ObjectKind::Crashes, object.name());
            reports
        }
        Err(error) => {
            let object = UnreadableObject {
                name: object.name().to_owned(),
                error: error.to_string(),
            };
            drop_unreadable(state, ObjectKind::Crashes, &[object]);
            Vec::new()
        }
    };
    let mut stored = state.crashes.stored.borrow_mut();
    stored.replace(object.revision(), &reports);
    drop(stored);
    let changed = apply_reports(state, reports);
    distribute_reports(state, changed, ReportOrigin::Store);
}

/// Writes missing reports to the store, indefinitely.
pub(in crate::gateway) async fn run_crash_writer(state: Rc<GatewayState>) {
    let mut backoff = state.backoff("crashes");
    loop {
        state.crashes.writer_wake.notified().await;
        if !is_designated_writer(&state) {
            sleep(Duration::from_millis(WRITE_DELAY_MS)).await;
        }
        while !pending(&state).is_empty() {
            match write_once(&state).await {
                Ok(()) => backoff.reset(),
                Err(_) => {
                    // Pending reports stay pending until the store has them.
                    let _ = state.store_health.answering().await;
                    sleep(Duration::from_millis(backoff.next_ms(MIN_BACKOFF_MS))).await;
                }
            }
        }
    }
}

/// Returns the suspects with reports that the store lacks and this router writes: those that it
/// coordinates in its domain. The others know no more, and do not see what was written.
fn pending(state: &GatewayState) -> Vec<SuspectKey> {
    let registry = state.crashes.registry.borrow();
    let stored = state.crashes.stored.borrow();
    let missing = registry.stored().filter(|report| stored.lacks(report));
    let missing: BTreeSet<_> = missing.map(|report| report.key).collect();
    let ring = state.lending.ring.borrow();
    let now = state.now();
    let is_own = |key: &SuspectKey| ring.coordinator_of(now, &key.to_string()).is_none();
    missing.into_iter().filter(is_own).collect()
}

/// Returns whether this router is the designated writer of any pending report.
fn is_designated_writer(state: &GatewayState) -> bool {
    let ring = state.lending.ring.borrow();
    let pending = pending(state);
    let mut names = pending.iter().map(ToString::to_string);
    names.any(|name| ring.leader_of(state.now(), &name).is_none())
}

/// Makes one write. On a conflict the store's content is applied, so that the next write builds on
/// it.
async fn write_once(state: &Rc<GatewayState>) -> Result<(), StoreFailure> {
    let reports: Vec<_> = state.crashes.registry.borrow().stored().collect();
    let spec =
        write_crashes(&reports).map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    let known = state.crashes.stored.borrow().revision;
    let started = state.now();
    let (kind, name) = (ObjectKind::Crashes, CRASHES_NAME);
    let written = match known {
        Some(revision) => state.store.replace(kind, name, revision, &spec).await,
        None => state.store.create(kind, name, &spec).await,
    };
    state.record_store_call(StoreCall::WriteCrashes, started, &written);
    match written {
        Ok(object) => {
            let mut stored = state.crashes.stored.borrow_mut();
            stored.replace(object.revision(), &reports);
        }
        Err(StoreFailure::Conflict(Some(object))) => apply_object(state, &object),
        // An operator removed the object, or the conflict did not include its content: it is read,
        // and the write is retried.
        Err(StoreFailure::Missing | StoreFailure::Conflict(None)) => {
            let started = state.now();
            let read = state.store.read(kind, name).await;
            state.record_store_call(StoreCall::ReadCrashes, started, &read);
            match read {
                Ok(object) => apply_object(state, &object),
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
