//! The `router_registry` module provides the registration of this router in the store and the list
//! of the fleet's routers.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::PeerRecord;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreListing, StoreObject};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::change_apply::drop_unreadable;
use super::unreadable_log::note_unreadable;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;
use crate::gateway::token_lending::update_roles;

/// Interval between listings of the routers. A larger fleet is noticed before its share of the
/// allowances is used up.
const LIST_INTERVAL: Duration = Duration::from_secs(4);

/// Delay before the second listing: routers that started together have registered by then.
const SECOND_LIST_DELAY: Duration = Duration::from_millis(1_500);

/// Minimum delay after a failure, in milliseconds.
const MIN_BACKOFF_MS: u64 = 60;

/// The name of the object that holds the routers' shared secret.
pub(in crate::gateway) const SECRET_NAME: &str = "peer-secret";

/// Time over which the routers of a starting fleet spread their attempts to create the secret, in
/// milliseconds: long against a call to the store, and shorter than the delay of the second
/// listing.
const SECRET_SPREAD_MS: u64 = 400;

/// Length of the secret, in random bytes.
const SECRET_BYTES: usize = 24;

/// A router's own entry in the store.
#[derive(Debug, Deserialize, PartialEq, Eq, Serialize)]
struct RouterEntry {
    domain: String,
    address: Option<String>,
    /// The bandwidth of the host's link, in Mbit/s.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    link_mbps: Option<u32>,
}

/// The shared secret's entry in the store.
#[derive(Debug, Deserialize, Serialize)]
struct SecretEntry {
    secret: String,
}

/// Whether this host was already registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnEntry {
    /// An earlier process on this host registered it, so the list usually holds the rest of the
    /// fleet already. There is no need to wait for others, so that callers are served at once after
    /// a loss of all routers.
    Existing,
    /// The entry is new, as in a fleet that starts for the first time.
    Created,
}

/// Registers this router in the store and follows the list of routers.
pub(in crate::gateway) async fn run_registration(state: Rc<GatewayState>) {
    spawn_local(run_secret_setup(Rc::clone(&state)));
    let mut backoff = state.backoff("registration");
    let entry = loop {
        if let Ok(entry) = register(&state).await {
            break entry;
        }
        state.lending.set_registration_failing(true);
        sleep(Duration::from_millis(backoff.next_ms(MIN_BACKOFF_MS))).await;
    };
    state.lending.set_registration_failing(false);
    list_routers(&state).await;
    let is_complete = entry == OwnEntry::Existing && state.lending.knows_routers();
    if !is_complete {
        sleep(SECOND_LIST_DELAY).await;
        list_routers(&state).await;
    }
    state.lending.enable_roles();
    update_roles(&state);
    loop {
        sleep(LIST_INTERVAL).await;
        list_routers(&state).await;
    }
}

/// Loads the shared secret. The assignment of workspaces does not wait for it, as an allocator
/// serves its own callers without it.
async fn run_secret_setup(state: Rc<GatewayState>) {
    let mut backoff = state.backoff("secret");
    while load_or_create_secret(&state).await.is_err() {
        sleep(Duration::from_millis(backoff.next_ms(MIN_BACKOFF_MS))).await;
    }
}

/// Reads the list of routers. While the store is unavailable the known routers are retained; those
/// that are gone are detected when a request to them fails.
async fn list_routers(state: &GatewayState) {
    let started = state.now();
    let listed = state.store.list_stale(ObjectKind::Routers).await;
    state.record_store_call(StoreCall::List(ObjectKind::Routers), started, &listed);
    if let Ok(listing) = listed {
        apply_routers(state, &listing);
    }
}

fn apply_routers(state: &GatewayState, listing: &StoreListing) {
    drop_unreadable(state, ObjectKind::Routers, &listing.unreadable);
    let records = listing.objects.iter();
    let records = records.filter_map(|object| read_entry(state, object));
    let records: Vec<_> = records.collect();
    let unreadable = &state.unreadable;
    unreadable.retain_listed(ObjectKind::Routers, listing);
    let mut ring = state.lending.ring.borrow_mut();
    let before = ring.router_count();
    ring.take_listing(records);
    let routers = ring.router_count().max(1);
    drop(ring);
    state.retries.borrow_mut().set_routers(routers);
    update_roles(state);
    if before != routers {
        let fields = [
            ("before", before.to_string()),
            ("routers", routers.to_string()),
        ];
        state.report.log(LogLevel::Info, "routers_listed", fields);
    }
}

fn read_entry(state: &GatewayState, object: &StoreObject) -> Option<PeerRecord> {
    match decode_entry(object) {
        Ok(record) => {
            let unreadable = &state.unreadable;
            unreadable.forget(ObjectKind::Routers, object.name());
            Some(record)
        }
        Err(error) => {
            if note_unreadable(state, ObjectKind::Routers, object.name(), &error) {
                let fields = [("router", object.name().to_owned()), ("error", error)];
                let report = &state.report;
                report.log(LogLevel::Error, "router_unreadable", fields);
            }
            None
        }
    }
}

fn decode_entry(object: &StoreObject) -> Result<PeerRecord, String> {
    let entry: RouterEntry = object.try_content().map_err(|error| error.to_string())?;
    let address = match entry.address {
        Some(text) => {
            let address = text.parse();
            Some(address.map_err(|_| format!("`address` is {text:?}, expected IP:PORT"))?)
        }
        None => None,
    };
    Ok(PeerRecord {
        host: HostName::new(object.name()),
        domain: DomainName::new(entry.domain),
        address,
        link_mbps: entry.link_mbps.unwrap_or(0),
    })
}

/// Creates or corrects this host's entry. It remains after the router ends: a host that is gone for
/// good only makes the others' shares smaller, and one that returns has its share at once.
async fn register(state: &GatewayState) -> Result<OwnEntry, StoreFailure> {
    let settings = state.settings();
    let entry = RouterEntry {
        domain: settings.domain.to_string(),
        address: settings.peer_address.map(|address| address.to_string()),
        link_mbps: settings.link_mbps.map(|link_mbps| link_mbps as u32),
    };
    let spec =
        serde_json::to_value(&entry).map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    let name = settings.host.as_str();
    if is_listed(state, name, &spec).await {
        return Ok(OwnEntry::Existing);
    }
    let started = state.now();
    let created = state.store.create(ObjectKind::Routers, name, &spec).await;
    state.record_store_call(StoreCall::Register, started, &created);
    let object = match created {
        Ok(_) | Err(StoreFailure::Conflict(None)) => return Ok(OwnEntry::Created),
        Err(StoreFailure::Conflict(Some(object))) => object,
        Err(failure) => return Err(failure),
    };
    if object.spec == spec {
        return Ok(OwnEntry::Existing);
    }
    let started = state.now();
    let revision = object.revision();
    let kind = ObjectKind::Routers;
    let replaced = state.store.replace(kind, name, revision, &spec).await;
    state.record_store_call(StoreCall::Register, started, &replaced);
    replaced.map(|_| OwnEntry::Created)
}

/// Returns whether an earlier process left a correct entry of this host, as usual after a restart.
async fn is_listed(state: &GatewayState, name: &str, spec: &Value) -> bool {
    let started = state.now();
    let read = state.store.read_stale(ObjectKind::Routers, name).await;
    state.record_store_call(StoreCall::ReadStaleEntry, started, &read);
    read.is_ok_and(|object| object.spec == *spec)
}

/// Loads the shared secret. The first router of the fleet creates it; others that start at the same
/// time read it once more after a random delay, as each of them would otherwise try to create it.
async fn load_or_create_secret(state: &GatewayState) -> Result<(), StoreFailure> {
    if let Some(secret) = read_secret(state).await {
        return apply_secret(state, secret);
    }
    let delay_ms = rand::random_range(0..=SECRET_SPREAD_MS);
    sleep(Duration::from_millis(delay_ms)).await;
    if let Some(secret) = read_secret(state).await {
        return apply_secret(state, secret);
    }
    let created = create_secret(state).await?;
    apply_secret(state, created)
}

/// Reads the secret. It never changes, so a stale read suffices.
async fn read_secret(state: &GatewayState) -> Option<StoreObject> {
    let started = state.now();
    let kind = ObjectKind::Budgets;
    let read = state.store.read_stale(kind, SECRET_NAME).await;
    state.record_store_call(StoreCall::ReadStaleEntry, started, &read);
    read.ok()
}

fn apply_secret(state: &GatewayState, object: StoreObject) -> Result<(), StoreFailure> {
    let entry: SecretEntry = object
        .try_content()
        .map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    state.lending.set_secret(entry.secret);
    Ok(())
}

async fn create_secret(state: &GatewayState) -> Result<StoreObject, StoreFailure> {
    let mut bytes = [0_u8; SECRET_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    let entry = SecretEntry {
        secret: data_encoding::HEXLOWER.encode(&bytes),
    };
    let spec =
        serde_json::to_value(&entry).map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    let started = state.now();
    let kind = ObjectKind::Budgets;
    let created = state.store.create(kind, SECRET_NAME, &spec).await;
    state.record_store_call(StoreCall::Register, started, &created);
    match created {
        Err(StoreFailure::Conflict(Some(object))) => Ok(*object),
        created => created,
    }
}
