//! The `change_apply` module provides the application of changed configurations and targets.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ConfigMismatch, EvacuationChange, GatewayConfig, TargetRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{
    CONFIG_NAME, ObjectKind, StoreChanges, StoreEvent, StoreListing, StoreObject, TransferRecord,
    UnreadableObject, read_config, read_evacuation, read_target,
};
use tokio::time::sleep;

use super::follow_call::RelayedConfig;
use super::store_follow::kind_name;
use super::unreadable_log::note_unreadable;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::update_roles;

/// Interval between checks for targets that stayed unlisted.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Where a change came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeOrigin {
    /// A watch of the store, or a read of one object.
    Watch,
    /// A listing of the store.
    Listing,
    /// Another router.
    Router,
}

impl ChangeOrigin {
    /// Returns the name in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ChangeOrigin::Watch => "watch",
            ChangeOrigin::Listing => "listing",
            ChangeOrigin::Router => "router",
        }
    }
}

/// How a configuration was received.
#[derive(Clone, Copy, Debug)]
struct ConfigReceipt {
    origin: ChangeOrigin,
    transfer: TransferRecord,
}

pub(super) fn apply_changes(
    state: &GatewayState,
    kind: ObjectKind,
    changes: &StoreChanges,
    origin: ChangeOrigin,
) {
    let receipt = ConfigReceipt {
        origin,
        transfer: changes.transfer,
    };
    for event in &changes.events {
        apply_event(state, kind, event, receipt);
    }
    if kind == ObjectKind::Evacuations {
        let mut evacuations = state.evacuations.borrow_mut();
        evacuations.record_revision(changes.revision);
    }
    drop_unreadable(state, kind, &changes.unreadable);
}

pub(super) fn apply_listing(state: &GatewayState, kind: ObjectKind, listing: &StoreListing) {
    drop_unreadable(state, kind, &listing.unreadable);
    let receipt = ConfigReceipt {
        origin: ChangeOrigin::Listing,
        transfer: listing.transfer,
    };
    match kind {
        ObjectKind::Config => listing
            .objects
            .iter()
            .for_each(|object| apply_config(state, object, receipt)),
        ObjectKind::Targets => {
            let records: Vec<_> = listing
                .objects
                .iter()
                .filter_map(|object| read_entry(state, object))
                .collect();
            let changes = state.roster.borrow_mut().take_listing(state.now(), records);
            state.log_roster_changes(changes);
        }
        ObjectKind::Evacuations => apply_evacuations(state, listing),
        ObjectKind::Routers | ObjectKind::Budgets | ObjectKind::Crashes => {}
    }
    state.unreadable.retain_listed(kind, listing);
}

fn apply_event(state: &GatewayState, kind: ObjectKind, event: &StoreEvent, receipt: ConfigReceipt) {
    match (kind, event.is_removed) {
        (ObjectKind::Config, false) => apply_config(state, &event.object, receipt),
        (ObjectKind::Targets, true) => {
            let name = TargetName::new(event.object.name());
            state.unreadable.forget(kind, name.as_str());
            let mut roster = state.roster.borrow_mut();
            let change = roster.remove_at(state.now(), &name, event.object.revision());
            drop(roster);
            state.log_roster_changes(change);
        }
        (ObjectKind::Targets, false) => {
            if let Some(record) = read_entry(state, &event.object) {
                let change = state.roster.borrow_mut().take_entry(state.now(), record);
                state.log_roster_changes(change);
            }
        }
        (ObjectKind::Evacuations, is_removed) => {
            let record = read_evacuation(&event.object);
            let now = state.now();
            let mut evacuations = state.evacuations.borrow_mut();
            let change = match is_removed {
                true => evacuations.withdraw(now, &record.domain),
                false => evacuations.start(now, record),
            };
            drop(evacuations);
            log_evacuations(state, change);
        }
        // A removed configuration stays in effect, as there is nothing newer.
        (ObjectKind::Config, true)
        | (ObjectKind::Routers | ObjectKind::Budgets | ObjectKind::Crashes, _) => {}
    }
}

/// Reads a target entry; withdraws the target if its entry cannot be read.
fn read_entry(state: &GatewayState, object: &StoreObject) -> Option<TargetRecord> {
    match read_target(object) {
        Ok(record) => {
            let unreadable = &state.unreadable;
            unreadable.forget(ObjectKind::Targets, object.name());
            Some(record)
        }
        Err(error) => {
            withdraw_target(state, object.name(), error);
            None
        }
    }
}

/// Logs malformed objects, and withdraws the targets of their names.
pub(in crate::gateway) fn drop_unreadable(
    state: &GatewayState,
    kind: ObjectKind,
    objects: &[UnreadableObject],
) {
    for object in objects {
        match kind {
            ObjectKind::Targets => withdraw_target(state, &object.name, object.error.clone()),
            ObjectKind::Config
            | ObjectKind::Routers
            | ObjectKind::Budgets
            | ObjectKind::Crashes
            | ObjectKind::Evacuations => {
                if !note_unreadable(state, kind, &object.name, &object.error) {
                    continue;
                }
                let fields = [
                    ("duty", kind_name(kind).to_owned()),
                    ("name", object.name.clone()),
                    ("error", object.error.clone()),
                ];
                let report = &state.report;
                report.log(LogLevel::Error, "object_unreadable", fields);
            }
        }
    }
}

fn apply_evacuations(state: &GatewayState, listing: &StoreListing) {
    let records = listing.objects.iter().map(read_evacuation);
    let mut evacuations = state.evacuations.borrow_mut();
    let changes = evacuations.take_listing(state.now(), listing.revision, records);
    drop(evacuations);
    log_evacuations(state, changes);
}

/// Logs and counts changes of evacuations.
fn log_evacuations(state: &GatewayState, changes: impl IntoIterator<Item = EvacuationChange>) {
    for change in changes {
        let (event, domain, revision) = match change {
            EvacuationChange::Started(record) => (
                "evacuation_in_force",
                record.domain,
                Some(record.revision.to_string()),
            ),
            EvacuationChange::Withdrawn(domain) => ("evacuation_withdrawn", domain, None),
        };
        state.metrics.evacuation_changes.inc();
        let revision = revision.map(|revision| ("revision", revision));
        let fields = [("domain", domain.to_string())].into_iter().chain(revision);
        state.report.log(LogLevel::Warning, event, fields);
    }
    let count = state.evacuations.borrow().in_force().count();
    state.metrics.evacuations.set(count as i64);
}

fn withdraw_target(state: &GatewayState, name: &str, error: String) {
    let mut roster = state.roster.borrow_mut();
    let change = roster.withdraw(state.now(), &TargetName::new(name));
    drop(roster);
    if note_unreadable(state, ObjectKind::Targets, name, &error) {
        let fields = [("target", name.to_owned()), ("error", error)];
        let report = &state.report;
        report.log(LogLevel::Error, "target_unreadable", fields);
    }
    state.log_roster_changes(change);
}

/// Applies a configuration if it is newer than the current one. An older one, which a late answer
/// may carry, would undo what callers have already seen.
fn apply_config(state: &GatewayState, object: &StoreObject, receipt: ConfigReceipt) {
    if object.name() != CONFIG_NAME {
        return;
    }
    let started = state.now();
    let config = match read_config(object) {
        Ok(config) => config,
        Err(fault) => {
            let error = fault.to_string();
            if !note_unreadable(state, ObjectKind::Config, CONFIG_NAME, &error) {
                return;
            }
            let fields = [
                ("revision", object.revision().to_string()),
                ("error", error),
            ];
            state
                .report
                .log(LogLevel::Error, "config_unreadable", fields);
            return;
        }
    };
    state.unreadable.forget(ObjectKind::Config, CONFIG_NAME);
    let known = state.config().map(|config| config.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    put_in_force(state, config, object.revision(), started, receipt);
}

/// Applies a difference of configurations that another router sent. An older version is ignored.
///
/// # Errors
///
/// If the difference does not apply to the version in force, which has to be read from the store.
pub(super) fn try_apply_difference(
    state: &GatewayState,
    relayed: &RelayedConfig,
    revision: u64,
) -> Result<(), ConfigMismatch> {
    let started = state.now();
    let difference = &relayed.difference;
    let known = state.config();
    if known
        .as_ref()
        .is_some_and(|known| known.version >= difference.version)
    {
        return Ok(());
    }
    let base = known.filter(|_| difference.base > 0).unwrap_or_default();
    let config = base.try_apply(difference)?;
    let bounds = state.settings().change_bounds;
    let mut limits = state.limit_history.borrow_mut();
    for passed in &difference.passed_limits {
        limits.record_version(started, *passed, bounds);
    }
    drop(limits);
    let receipt = ConfigReceipt {
        origin: ChangeOrigin::Router,
        transfer: relayed.transfer,
    };
    put_in_force(state, config, revision, started, receipt);
    Ok(())
}

/// Puts a version in force that is newer than the known one, and makes it known to the routers that follow
/// this one. `started` is when its reading began.
fn put_in_force(
    state: &GatewayState,
    config: GatewayConfig,
    revision: u64,
    started: ClockTime,
    receipt: ConfigReceipt,
) {
    let now = state.now();
    log_in_force(state, &config, revision, started, receipt);
    state.metrics.config_version.set(config.version as i64);
    state.escrow.borrow_mut().set_config(now, &config);
    let bounds = state.settings().change_bounds;
    let mut limits = state.limit_history.borrow_mut();
    limits.record_version(now, config.limits, bounds);
    drop(limits);
    let config = Rc::new(config);
    *state.config.borrow_mut() = Some(Rc::clone(&config));
    state.config_at.set(now);
    state.relay.configs.record(config);
    state.relay.changed.notify_waiters();
    update_roles(state);
    // A total may have been raised.
    state
        .lending
        .refusals
        .borrow_mut()
        .forget_before(now.plus_ms(1));
    state.escrow_wake.notify_one();
    state.escrow_changed.notify_waiters();
}

fn log_in_force(
    state: &GatewayState,
    config: &GatewayConfig,
    revision: u64,
    started: ClockTime,
    receipt: ConfigReceipt,
) {
    let now = state.now();
    let before = state.config().map(|known| known.version.to_string());
    let transfer = receipt.transfer;
    let fields = [
        ("version", config.version.to_string()),
        ("before", before.unwrap_or("none".to_owned())),
        ("revision", revision.to_string()),
        ("routes", config.route_count().to_string()),
        ("origin", receipt.origin.as_str().to_owned()),
        ("bytes", transfer.bytes.to_string()),
        ("body_ms", transfer.body_ms.to_string()),
        ("decode_ms", transfer.decode_ms.to_string()),
        ("read_ms", now.since(started).to_string()),
        ("loop_lag_ms", state.loop_lag.recent_ms(now).to_string()),
    ];
    state.report.log(LogLevel::Info, "config_in_force", fields);
    let origin = receipt.origin.as_str();
    state.metrics.record_config(origin, transfer);
}

/// Periodically removes targets that stayed unlisted after the store recovered, expired idle
/// connections and expired crash reports.
pub(in crate::gateway) async fn run_expiry(state: Rc<GatewayState>) {
    loop {
        let due = state.now().plus_ms(EXPIRY_INTERVAL.as_millis() as u64);
        sleep(EXPIRY_INTERVAL).await;
        let now = state.now();
        state.loop_lag.record(now, now.since(due));
        let lag_s = now.since(due) as f64 / 1_000.0;
        state.metrics.loop_lag_s.observe(lag_s);
        let changes = state.roster.borrow_mut().expire(now);
        state.log_roster_changes(changes);
        state.pool.prune(now);
        state.crashes.expire(now);
        state.update_blocked_count();
    }
}
