//! The `router_registry` module provides the routers of the fleet, as they list themselves in the
//! store.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::PeerRecord;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreObject};
use rand::RngCore;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::store_call::StoreCall;
use crate::gateway::token_lending::update_roles;

/// How often the routers of the fleet are listed. A larger fleet is noticed before its part of the
/// allowances is used up.
const LIST_SPAN: Duration = Duration::from_secs(4);

/// When the routers are listed for the second time: those that started together are listed by then.
const SETTLE_SPAN: Duration = Duration::from_millis(1_500);

/// How long to wait after a failure at least, in milliseconds.
const LEAST_PAUSE_MS: u64 = 60;

/// The object with the secret that routers share.
pub(in crate::gateway) const SECRET_NAME: &str = "peer-secret";

/// Over how long the routers of a fleet that starts spread their tries to make the secret, in milliseconds: long
/// against a call to the store, and over before the second listing of routers.
const SECRET_SPREAD_MS: u64 = 400;

/// The length of the secret, in bytes of chance.
const SECRET_BYTES: usize = 24;

/// What a router writes of itself.
#[derive(Debug, Deserialize, PartialEq, Eq, Serialize)]
struct RouterEntry {
    domain: String,
    address: Option<String>,
}

/// What the routers of a fleet share.
#[derive(Debug, Deserialize, Serialize)]
struct SecretEntry {
    secret: String,
}

/// Whether this host was listed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnEntry {
    /// A process before listed it, and the fleet with it: nobody has to be waited for, and after a loss of all
    /// routers callers are served at once.
    Found,
    /// It is new, as it is for all of a fleet that starts for the first time.
    Made,
}

/// Lists this router in the store, and follows who else is listed.
pub(in crate::gateway) async fn run_registration(state: Rc<GatewayState>) {
    spawn_local(run_secret(Rc::clone(&state)));
    let mut backoff = state.backoff("registration");
    let entry = loop {
        if let Ok(entry) = register(&state).await {
            break entry;
        }
        sleep(Duration::from_millis(backoff.next_ms(LEAST_PAUSE_MS))).await;
    };
    list_routers(&state).await;
    let is_complete = entry == OwnEntry::Found && state.lending.knows_routers();
    if !is_complete {
        sleep(SETTLE_SPAN).await;
        list_routers(&state).await;
    }
    state.lending.settle();
    update_roles(&state);
    loop {
        sleep(LIST_SPAN).await;
        list_routers(&state).await;
    }
}

/// Learns the shared secret. Who keeps what does not wait for it: a keeper serves its own callers without.
async fn run_secret(state: Rc<GatewayState>) {
    let mut backoff = state.backoff("secret");
    while share_secret(&state).await.is_err() {
        sleep(Duration::from_millis(backoff.next_ms(LEAST_PAUSE_MS))).await;
    }
}

/// Learns who is listed. While the store is away the routers that are known stay; those that are
/// gone are noticed by asking them.
async fn list_routers(state: &GatewayState) {
    let started = state.now();
    let listed = state.store.list_stale(ObjectKind::Routers).await;
    state.note_store_call(StoreCall::List(ObjectKind::Routers), started, &listed);
    if let Ok(listing) = listed {
        take_routers(state, &listing.objects);
    }
}

fn take_routers(state: &GatewayState, objects: &[StoreObject]) {
    let records = objects
        .iter()
        .filter_map(|object| read_entry(state, object));
    let records: Vec<_> = records.collect();
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
        Ok(record) => Some(record),
        Err(error) => {
            let fields = [("router", object.name().to_owned()), ("error", error)];
            let report = &state.report;
            report.log(LogLevel::Error, "router_unreadable", fields);
            None
        }
    }
}

fn decode_entry(object: &StoreObject) -> Result<PeerRecord, String> {
    let entry: RouterEntry =
        serde_json::from_value(object.spec.clone()).map_err(|error| error.to_string())?;
    let address = match entry.address {
        Some(text) => {
            let address = text.parse();
            Some(address.map_err(|_| format!("`address` is {text:?}, not IP:PORT"))?)
        }
        None => None,
    };
    Ok(PeerRecord {
        host: HostName::new(object.name()),
        domain: DomainName::new(entry.domain),
        address,
    })
}

/// Makes or mends the entry of this host. It stays when the router ends: a host that is gone for
/// good only makes the others' parts smaller, and one that is back has its part at once.
async fn register(state: &GatewayState) -> Result<OwnEntry, StoreFailure> {
    let settings = state.settings();
    let entry = RouterEntry {
        domain: settings.domain.to_string(),
        address: settings.peer_address.map(|address| address.to_string()),
    };
    let spec =
        serde_json::to_value(&entry).map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    let name = settings.host.as_str();
    if is_listed(state, name, &spec).await {
        return Ok(OwnEntry::Found);
    }
    let started = state.now();
    let created = state.store.create(ObjectKind::Routers, name, &spec).await;
    state.note_store_call(StoreCall::Register, started, &created);
    let object = match created {
        Ok(_) | Err(StoreFailure::Conflict(None)) => return Ok(OwnEntry::Made),
        Err(StoreFailure::Conflict(Some(object))) => object,
        Err(failure) => return Err(failure),
    };
    if object.spec == spec {
        return Ok(OwnEntry::Found);
    }
    let started = state.now();
    let revision = object.revision();
    let kind = ObjectKind::Routers;
    let replaced = state.store.replace(kind, name, revision, &spec).await;
    state.note_store_call(StoreCall::Register, started, &replaced);
    replaced.map(|_| OwnEntry::Made)
}

/// Whether the entry of this host is there from a process before, as it usually is when a router starts again.
async fn is_listed(state: &GatewayState, name: &str, spec: &Value) -> bool {
    let started = state.now();
    let read = state.store.read_stale(ObjectKind::Routers, name).await;
    state.note_store_call(StoreCall::ReadStaleEntry, started, &read);
    read.is_ok_and(|object| object.spec == *spec)
}

/// Learns the secret that routers share. The first router of the fleet makes it; the others that start with it
/// look for it once more before they try, as each of them would do so otherwise.
async fn share_secret(state: &GatewayState) -> Result<(), StoreFailure> {
    if let Some(secret) = find_secret(state).await {
        return take_secret(state, secret);
    }
    let spread_ms = rand::random_range(0..=SECRET_SPREAD_MS);
    sleep(Duration::from_millis(spread_ms)).await;
    if let Some(secret) = find_secret(state).await {
        return take_secret(state, secret);
    }
    let made = make_secret(state).await?;
    take_secret(state, made)
}

/// Reads the secret, which never changes: an old answer is as good as a new one.
async fn find_secret(state: &GatewayState) -> Option<StoreObject> {
    let started = state.now();
    let kind = ObjectKind::Budgets;
    let read = state.store.read_stale(kind, SECRET_NAME).await;
    state.note_store_call(StoreCall::ReadStaleEntry, started, &read);
    read.ok()
}

fn take_secret(state: &GatewayState, object: StoreObject) -> Result<(), StoreFailure> {
    let entry: SecretEntry = serde_json::from_value(object.spec)
        .map_err(|error| StoreFailure::Malformed(error.to_string()))?;
    state.lending.set_secret(entry.secret);
    Ok(())
}

async fn make_secret(state: &GatewayState) -> Result<StoreObject, StoreFailure> {
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
    state.note_store_call(StoreCall::Register, started, &created);
    match created {
        Err(StoreFailure::Conflict(Some(object))) => Ok(*object),
        created => created,
    }
}
