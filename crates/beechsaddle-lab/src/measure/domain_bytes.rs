//! The `domain_bytes` module provides the bytes sent between the routers of a domain, measured with
//! the real core and codec in simulated time.

use std::collections::{BTreeMap, VecDeque};

use beechsaddle_core::accounting::AccountingOptions;
use beechsaddle_core::admission::{AdmissionOptions, RetryOptions};
use beechsaddle_core::calls::CallOptions;
use beechsaddle_core::catalogue::{
    CatalogueChange, CatalogueEntry, CatalogueOptions, EntryClass, EntryEdit, EntryHeader,
    EntryLimits, WorkspaceEntry,
};
use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::event::TICK_MS;
use beechsaddle_core::members::{HostList, HostRecord, HostRole, HostState, MemberOptions};
use beechsaddle_core::objects::{FleetLayout, PlatformObject};
use beechsaddle_core::orders::OrderOptions;
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket, StoredObject};
use beechsaddle_core::prelude::*;
use beechsaddle_core::router::{RouterCore, RouterOptions};
use beechsaddle_core::targets::TargetOptions;

use super::SlopeFit;
use super::peer_bytes::packed_bytes;
use crate::key_values::KeyValues;

/// The sizes of the measured domains in routers; the last is the planned size.
const ROUTER_COUNTS: [usize; 5] = [2, 6, 12, 18, 24];

/// The time for routers to discover each other before counting starts, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

/// The time for which bytes are counted, in milliseconds.
const COUNTED_MS: u64 = 60_000;

/// The time between two edits, in milliseconds; about eight times the rate of 11,000 edits a day.
const EDIT_PERIOD_MS: u64 = 1_000;

/// The name of the simulated domain.
const DOMAIN: &str = "graz-nord";

/// Measures domains of several sizes.
pub fn run(seed: u64) -> Vec<String> {
    let mut lines = Vec::new();
    let mut heartbeat_points = Vec::new();
    let mut edit_points = Vec::new();
    for routers in ROUTER_COUNTS {
        let mut domain = ModelDomain::new(routers, seed);
        domain.run(WARM_UP_MS, false);
        domain.sent = SentBytes::default();
        domain.run(COUNTED_MS, true);
        let seconds = COUNTED_MS as f64 / 1_000.0;
        let heartbeats = domain.sent.heartbeats as f64 / seconds / routers as f64;
        let per_edit = domain.sent.catalogue as f64 / domain.edits as f64 / routers as f64;
        heartbeat_points.push((routers as f64, heartbeats));
        edit_points.push((routers as f64, per_edit));
        let line = KeyValues::new()
            .with("routers", routers)
            .with_float("heartbeat_bytes_per_second_and_router", heartbeats)
            .with_float("catalogue_bytes_per_edit_and_router", per_edit)
            .with("in_force_everywhere", domain.is_in_effect());
        lines.push(line.to_string());
    }
    let fits = [
        ("heartbeat_bytes_per_second", heartbeat_points),
        ("catalogue_bytes_per_edit", edit_points),
    ];
    for (unit, points) in fits {
        let fit = SlopeFit::of(&points).map(|fit| fit.pairs(unit, "router"));
        lines.extend(fit.map(|fit| fit.to_string()));
    }
    lines
}

/// Packed bytes sent between routers, without network headers.
#[derive(Debug, Default)]
struct SentBytes {
    heartbeats: u64,
    catalogue: u64,
}

struct WaitingWatch {
    router: usize,
    ticket: PlatformTicket,
    prefix: ObjectKey,
    after: u64,
}

/// A simulated domain and platform, without message loss or delay.
struct ModelDomain {
    now: ClockTime,
    names: Vec<RouterIncarnation>,
    routers: Vec<RouterCore>,
    queue: VecDeque<(usize, CoreEvent)>,
    store: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    revision: u64,
    watches: Vec<WaitingWatch>,
    edits: u64,
    sent: SentBytes,
}

impl ModelDomain {
    fn new(count: usize, seed: u64) -> Self {
        let name = |index: usize| RouterIncarnation::new(format!("router-{index}").as_str(), 1);
        let names: Vec<_> = (0..count).map(name).collect();
        let mut domain = ModelDomain {
            now: ClockTime::from_millis(1_000_000),
            routers: names.iter().map(|name| new_router(name, seed)).collect(),
            queue: (0..count)
                .map(|index| (index, CoreEvent::Started))
                .collect(),
            store: BTreeMap::new(),
            revision: 0,
            watches: Vec::new(),
            edits: 0,
            sent: SentBytes::default(),
            names,
        };
        let hosts = domain.names.iter().map(host_record).collect();
        let key = format!("hosts/{DOMAIN}");
        domain.put(&key, PlatformObject::Hosts(HostList { hosts }));
        domain
    }

    fn run(&mut self, span_ms: u64, is_edited: bool) {
        let end = self.now.plus_ms(span_ms);
        while self.now < end {
            if is_edited && end.since(self.now).is_multiple_of(EDIT_PERIOD_MS) {
                self.edit();
            }
            self.now = self.now.plus_ms(TICK_MS);
            for router in 0..self.routers.len() {
                self.queue.push_back((router, CoreEvent::Tick));
            }
            self.drain_queue();
        }
    }

    /// Whether all routers have applied the last edit, after a further 5 s.
    fn is_in_effect(&mut self) -> bool {
        self.run(5_000, false);
        let edits = self.edits;
        self.routers
            .iter()
            .all(|router| router.catalogue_revision() == edits)
    }

    fn edit(&mut self) {
        self.edits += 1;
        let change = change_of(self.edits);
        let key = format!("catalogue/change/{:012}", self.edits);
        self.put(&key, PlatformObject::Change(change));
        self.answer_watches();
    }

    fn drain_queue(&mut self) {
        while let Some((router, event)) = self.queue.pop_front() {
            let mut outbox = CoreOutbox::new();
            self.routers[router].handle(self.now, event, &mut outbox);
            for action in outbox.actions {
                self.execute(router, action);
            }
        }
    }

    fn execute(&mut self, router: usize, action: CoreAction) {
        match action {
            CoreAction::Peer { to, message, .. } => self.deliver(router, &to, message),
            CoreAction::Platform { ticket, call } => self.on_platform(router, ticket, call),
            CoreAction::Call(_)
            | CoreAction::Target(_)
            | CoreAction::Report(_)
            | CoreAction::Status { .. }
            | CoreAction::Exit => {}
        }
    }

    fn deliver(&mut self, router: usize, to: &RouterIncarnation, message: PeerMessage) {
        let bytes = packed_bytes(&message) as u64;
        match message {
            PeerMessage::Heartbeat(_) => self.sent.heartbeats += bytes,
            _ => self.sent.catalogue += bytes,
        }
        let from = self.names[router].clone();
        if let Some(index) = self.names.iter().position(|name| name.host == to.host) {
            self.queue
                .push_back((index, CoreEvent::Peer { from, message }));
        }
    }

    fn on_platform(&mut self, router: usize, ticket: PlatformTicket, call: PlatformCall) {
        if let PlatformCall::Watch { prefix, after } = call {
            let watch = WaitingWatch {
                router,
                ticket,
                prefix,
                after,
            };
            self.watches.push(watch);
            self.answer_watches();
            return;
        }
        let reply = self.serve(call);
        self.queue
            .push_back((router, CoreEvent::Platform { ticket, reply }));
    }

    fn serve(&mut self, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read { key } => match self.store.get(&key) {
                Some((version, object)) => PlatformReply::Found(stored(&key, *version, object)),
                None => PlatformReply::Absent,
            },
            PlatformCall::Write { key, object, .. } => {
                self.put(key.as_str(), *object);
                PlatformReply::Written {
                    version: self.revision,
                }
            }
            PlatformCall::Delete { .. } => PlatformReply::Deleted,
            PlatformCall::List { .. } => PlatformReply::Listed {
                objects: Vec::new(),
                revision: self.revision,
            },
            PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let objects: Vec<StoredObject> = self
                .store
                .iter()
                .filter(|(key, (version, _))| {
                    key.as_str().starts_with(watch.prefix.as_str()) && *version > watch.after
                })
                .map(|(key, (version, object))| stored(key, *version, object))
                .collect();
            if objects.is_empty() {
                self.watches.push(watch);
                continue;
            }
            let reply = PlatformReply::Changed {
                objects,
                revision: self.revision,
            };
            let event = CoreEvent::Platform {
                ticket: watch.ticket,
                reply,
            };
            self.queue.push_back((watch.router, event));
        }
    }

    fn put(&mut self, key: &str, object: PlatformObject) {
        self.revision += 1;
        self.store.insert(key.into(), (self.revision, object));
    }
}

fn stored(key: &ObjectKey, version: u64, object: &PlatformObject) -> StoredObject {
    StoredObject {
        key: key.clone(),
        version,
        object: Some(Box::new(object.clone())),
    }
}

fn new_router(me: &RouterIncarnation, seed: u64) -> RouterCore {
    RouterCore::new(RouterOptions {
        me: me.clone(),
        domain: DOMAIN.into(),
        peer_address: me.host.to_string(),
        seed,
        layout: FleetLayout {
            ledger_shards: 1,
            dedup_shards: 1,
        },
        calls: CallOptions::default(),
        accounting: AccountingOptions::default(),
        dedup: DedupOptions::default(),
        members: MemberOptions::default(),
        catalogue: CatalogueOptions::default(),
        targets: TargetOptions::default(),
        admission: AdmissionOptions::default(),
        retries: RetryOptions::default(),
        orders: OrderOptions::default(),
    })
}

fn host_record(router: &RouterIncarnation) -> HostRecord {
    let address = router.host.to_string();
    HostRecord {
        host: router.host.clone(),
        domain: DOMAIN.into(),
        epoch: 1,
        address: address.clone(),
        role: HostRole::Router {
            peer_address: address.clone(),
            admin_address: address,
        },
        state: HostState::Live,
    }
}

fn change_of(revision: u64) -> CatalogueChange {
    let workspace = WorkspaceEntry {
        header: EntryHeader {
            owner: "ana".into(),
            class: EntryClass::Standard,
            limits: EntryLimits::default(),
        },
        name: format!("workspace-{revision}").as_str().into(),
        keys: Vec::new(),
        budget: Some("main".into()),
        services: vec!["portal-notify".into()],
        models: vec!["pool-1".into()],
    };
    CatalogueChange {
        revision,
        write_id: format!("edit-{revision}"),
        author: "ana".into(),
        applied: ClockTime::ZERO,
        edits: vec![EntryEdit::Put(CatalogueEntry::Workspace(workspace))],
    }
}
