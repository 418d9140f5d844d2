//! The `fleet_setup` module provides the catalogue, hosts and settings of the test fleets.

#![allow(dead_code, reason = "each test file uses a part")]

use beechsaddle_core::accounting::AccountingOptions;
use beechsaddle_core::admission::{AdmissionOptions, RetryOptions};
use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::calls::CallOptions;
use beechsaddle_core::catalogue::{
    CatalogueChange, CatalogueEntry, CatalogueOptions, EntryClass, EntryEdit, EntryHeader,
    EntryLimits, ModelEntry, ServiceEntry, ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::dedup::DedupOptions;
use beechsaddle_core::members::{
    HostList, HostRecord, HostRole, HostState, MemberOptions, SeedPeer,
};
use beechsaddle_core::objects::FleetLayout;
use beechsaddle_core::orders::OrderOptions;
use beechsaddle_core::prelude::*;
use beechsaddle_core::router::{RouterCore, RouterOptions};
use beechsaddle_core::target::{EngineRole, EngineState, LoadReport, ProbeOutcome};
use beechsaddle_core::targets::TargetOptions;

/// The probe outcome of a healthy target.
pub fn probe_outcome(target: &TargetName) -> ProbeOutcome {
    let engine = target.as_str().starts_with("engine").then(|| EngineState {
        model: "glas".into(),
        version: 1,
        adapters: Vec::new(),
        role: EngineRole::Whole,
    });
    ProbeOutcome::Healthy {
        load: LoadReport::default(),
        engine,
    }
}

/// The domain of single-domain fleets.
pub const DOMAIN: &str = "graz-nord";

/// A router of the single domain that has the other routers as seeds.
pub fn new_router(me: &RouterIncarnation, all: &[RouterIncarnation]) -> RouterCore {
    let seeds = all.iter().filter(|name| *name != me);
    let seeds = seeds.map(|name| seed_peer(name, &DOMAIN.into())).collect();
    RouterCore::new(router_options(me, &DOMAIN.into(), seeds))
}

/// A router as listed in the settings of another one.
pub fn seed_peer(name: &RouterIncarnation, domain: &DomainName) -> SeedPeer {
    SeedPeer {
        host: name.host.clone(),
        domain: domain.clone(),
        address: name.host.to_string(),
    }
}

/// The default settings with one shard of each kind.
pub fn router_options(
    me: &RouterIncarnation,
    domain: &DomainName,
    seeds: Vec<SeedPeer>,
) -> RouterOptions {
    let layout = FleetLayout {
        ledger_shards: 1,
        dedup_shards: 1,
    };
    RouterOptions {
        me: me.clone(),
        domain: domain.clone(),
        peer_address: me.host.to_string(),
        seed: 1,
        layout,
        calls: CallOptions::default(),
        accounting: AccountingOptions {
            shard_count: 1,
            ..AccountingOptions::default()
        },
        dedup: DedupOptions {
            shard_count: 1,
            ..DedupOptions::default()
        },
        members: MemberOptions {
            seeds,
            ..MemberOptions::default()
        },
        catalogue: CatalogueOptions::default(),
        targets: TargetOptions::default(),
        admission: AdmissionOptions::default(),
        retries: RetryOptions::default(),
        orders: OrderOptions::default(),
    }
}

/// A router in the platform's list of hosts.
pub fn router_record(
    name: &RouterIncarnation,
    domain: &DomainName,
    state: HostState,
) -> HostRecord {
    HostRecord {
        host: name.host.clone(),
        domain: domain.clone(),
        epoch: name.epoch,
        address: name.host.to_string(),
        role: HostRole::Router {
            peer_address: name.host.to_string(),
            admin_address: name.host.to_string(),
        },
        state,
    }
}

/// A target in the platform's list of hosts.
pub fn target_record(host: &str, service: &str, domain: &DomainName) -> HostRecord {
    HostRecord {
        host: host.into(),
        domain: domain.clone(),
        epoch: 1,
        address: host.to_owned(),
        role: HostRole::Target {
            service: service.into(),
            checks_fence: true,
        },
        state: HostState::Live,
    }
}

/// The hosts of the single domain.
pub fn host_list(routers: &[RouterIncarnation]) -> HostList {
    let domain = DomainName::from(DOMAIN);
    let mut hosts: Vec<_> = routers
        .iter()
        .map(|name| router_record(name, &domain, HostState::Live))
        .collect();
    for (host, service) in [
        ("engine-1", "pool"),
        ("engine-2", "pool"),
        ("notify-1", "notify"),
        ("notify-2", "notify"),
    ] {
        hosts.push(target_record(host, service, &domain));
    }
    HostList { hosts }
}

/// The first catalogue: an engine service, a plain service, a model and a workspace.
pub fn first_change() -> CatalogueChange {
    let header = EntryHeader {
        owner: "ana".into(),
        class: EntryClass::Standard,
        limits: EntryLimits::default(),
    };
    let service = |name: &str, kind, call_cost| {
        EntryEdit::Put(CatalogueEntry::Service(ServiceEntry {
            header: header.clone(),
            name: name.into(),
            kind,
            repeatable: true,
            call_cost,
            head_timeout_ms: 1_000,
        }))
    };
    let model = EntryEdit::Put(CatalogueEntry::Model(ModelEntry {
        header: header.clone(),
        name: "glas".into(),
        service: "pool".into(),
        version: 1,
        adapters: Vec::new(),
        role: EngineRole::Whole,
        output_limit: 100,
    }));
    let workspace = EntryEdit::Put(CatalogueEntry::Workspace(WorkspaceEntry {
        header: header.clone(),
        name: "verlag".into(),
        keys: vec![KeyDigest([7; 32])],
        budget: Some("main".into()),
        services: vec!["notify".into()],
        models: vec!["glas".into()],
    }));
    CatalogueChange {
        revision: 1,
        write_id: "first".to_owned(),
        author: "ana".into(),
        applied: ClockTime::ZERO,
        edits: vec![
            service("pool", ServiceKind::Engine, 0),
            service("notify", ServiceKind::Plain, 5),
            model,
            workspace,
        ],
    }
}
