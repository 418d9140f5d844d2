//! Shared by the tests of membership and the catalogue.

#![allow(dead_code, reason = "each test file uses a part")]

use std::fmt::Write as _;
use std::path::PathBuf;

use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueChange, CatalogueEntry, EntryClass, EntryEdit, EntryHeader,
    EntryLimits, ServiceEntry, ServiceKind,
};
use beechsaddle_core::members::{
    HeartbeatUpdate, HostList, HostRecord, HostRole, HostState, MemberEntry, MemberLiveness,
    MemberManager, MemberOptions, MemberTable, SeedPeer,
};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::peer::{PeerHeartbeat, PeerMessage, RouterState};
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket, StoredObject};
use beechsaddle_core::prelude::*;

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn router(host: &str, epoch: u64) -> RouterIncarnation {
    RouterIncarnation::new(host, epoch)
}

pub fn address(host: &str) -> String {
    format!("{host}:7102")
}

pub fn manager(host: &str, domain: &str, seeds: &[(&str, &str)]) -> MemberManager {
    let seeds = seeds.iter().map(|(host, domain)| SeedPeer {
        host: HostName::new(host),
        domain: DomainName::new(domain),
        address: address(host),
    });
    let options = MemberOptions {
        seeds: seeds.collect(),
        ..MemberOptions::default()
    };
    let domain = DomainName::new(domain);
    MemberManager::new(options, router(host, 1), domain, address(host))
}

pub fn heartbeat(host: &str, domain: &str, sequence: u64, state: RouterState) -> PeerHeartbeat {
    PeerHeartbeat {
        domain: DomainName::new(domain),
        address: address(host),
        sequence,
        state,
        catalogue_revision: 0,
        layout: None,
        targets: Vec::new(),
        limits: Vec::new(),
        routers: Vec::new(),
    }
}

/// Delivers a heartbeat of a live router to a manager.
pub fn receive_heartbeat(
    manager: &mut MemberManager,
    now: u64,
    from: &RouterIncarnation,
    domain: &str,
    sequence: u64,
) {
    let heartbeat = heartbeat(from.host.as_str(), domain, sequence, RouterState::Live);
    manager.on_peer(at(now), from, &heartbeat, &mut CoreOutbox::new());
}

/// Ticks a manager every 50 ms from `from` to `until` and returns the signals.
pub fn tick_through(manager: &mut MemberManager, from: u64, until: u64) -> Vec<CoreSignal> {
    let mut outbox = CoreOutbox::new();
    let mut now = from;
    while now <= until {
        manager.tick(at(now), &mut outbox);
        now += 50;
    }
    outbox.signals.into_iter().collect()
}

/// Sends one heartbeat and returns its receivers with their messages.
pub fn send_heartbeat(
    manager: &mut MemberManager,
    now: u64,
) -> Vec<(RouterIncarnation, String, PeerHeartbeat)> {
    let mut outbox = CoreOutbox::new();
    manager.send_heartbeat(at(now), HeartbeatUpdate::default(), &mut outbox);
    let messages = outbox
        .actions
        .into_iter()
        .filter_map(|action| match action {
            CoreAction::Peer {
                to,
                address,
                message: PeerMessage::Heartbeat(heartbeat),
            } => Some((to, address, heartbeat)),
            _ => None,
        });
    messages.collect()
}

pub fn router_record(host: &str, domain: &str, epoch: u64) -> HostRecord {
    HostRecord {
        host: HostName::new(host),
        domain: DomainName::new(domain),
        epoch,
        address: format!("{host}:7101"),
        role: HostRole::Router {
            peer_address: address(host),
            admin_address: format!("{host}:7103"),
        },
        state: HostState::Live,
    }
}

pub fn target_record(host: &str, domain: &str, state: HostState) -> HostRecord {
    HostRecord {
        host: HostName::new(host),
        domain: DomainName::new(domain),
        epoch: 1,
        address: format!("{host}:8000"),
        role: HostRole::Target {
            service: ServiceName::new("pomocnik"),
            checks_fence: true,
        },
        state,
    }
}

pub fn hosts_object(domain: &str, version: u64, hosts: Vec<HostRecord>) -> StoredObject {
    stored(
        &format!("hosts/{domain}"),
        version,
        PlatformObject::Hosts(HostList { hosts }),
    )
}

pub fn stored(key: &str, version: u64, object: PlatformObject) -> StoredObject {
    StoredObject {
        key: ObjectKey::new(key),
        version,
        object: Some(Box::new(object)),
    }
}

/// The platform calls among the actions.
pub fn platform_calls(outbox: &CoreOutbox) -> Vec<(PlatformTicket, PlatformCall)> {
    let calls = outbox.actions.iter().filter_map(|action| match action {
        CoreAction::Platform { ticket, call } => Some((*ticket, call.clone())),
        _ => None,
    });
    calls.collect()
}

/// The peer messages among the actions.
pub fn peer_messages(outbox: &CoreOutbox) -> Vec<(RouterIncarnation, PeerMessage)> {
    let messages = outbox.actions.iter().filter_map(|action| match action {
        CoreAction::Peer { to, message, .. } => Some((to.clone(), message.clone())),
        _ => None,
    });
    messages.collect()
}

/// A member table with live routers of `split-hala`, each with a catalogue revision.
pub fn table(me: &RouterIncarnation, others: &[(&str, u64)]) -> MemberTable {
    let mut table = MemberTable::new(me.clone(), DomainName::new("split-hala"));
    for (host, revision) in others {
        let entry = MemberEntry {
            domain: DomainName::new("split-hala"),
            address: address(host),
            state: RouterState::Live,
            liveness: MemberLiveness::Live,
            catalogue_revision: *revision,
            last_seen_at: ClockTime::ZERO,
            sequence: 1,
        };
        table.insert(router(host, 1), entry);
    }
    table
}

pub fn service(name: &str, call_cost: u64) -> CatalogueEntry {
    CatalogueEntry::Service(ServiceEntry {
        header: EntryHeader {
            owner: OwnerName::new("ana"),
            class: EntryClass::Standard,
            limits: EntryLimits::default(),
        },
        name: ServiceName::new(name),
        kind: ServiceKind::Plain,
        repeatable: false,
        call_cost,
        head_timeout_ms: 1_000,
    })
}

/// The change for a revision: the call cost of the service `trznica` equals the revision.
pub fn change(revision: u64) -> CatalogueChange {
    CatalogueChange {
        revision,
        write_id: format!("w{revision}"),
        author: OwnerName::new("ana"),
        applied: ClockTime::ZERO,
        edits: vec![EntryEdit::Put(service("trznica", revision))],
    }
}

pub fn change_object(revision: u64) -> StoredObject {
    stored(
        &format!("catalogue/change/{revision:012}"),
        1_000 + revision,
        PlatformObject::Change(change(revision)),
    )
}

pub fn base(revision: u64) -> CatalogueBase {
    CatalogueBase {
        revision,
        entries: vec![(revision, service("trznica", revision))],
    }
}

/// Compares a session with its golden file; `UPDATE_GOLDEN=1` writes the file.
pub fn compare_golden(name: &str, lines: &[String]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let mut text = String::new();
    for line in lines {
        writeln!(text, "{line}").expect("text");
    }
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, &text).expect("golden file");
    }
    let golden = std::fs::read_to_string(&path).unwrap_or_default();
    for (number, (line, wanted)) in text.lines().zip(golden.lines()).enumerate() {
        assert_eq!(line, wanted, "{name}:{}", number + 1);
    }
    assert_eq!(text.lines().count(), golden.lines().count(), "{name}");
}

/// Appends one line for the event and one for each resulting action and signal.
pub fn golden_lines(now: u64, event: &str, outbox: CoreOutbox, lines: &mut Vec<String>) {
    lines.push(format!("{now} {event}"));
    for action in &outbox.actions {
        let json = serde_json::to_string(action).expect("json");
        lines.push(format!("  action {json}"));
    }
    for signal in &outbox.signals {
        let json = serde_json::to_string(signal).expect("json");
        lines.push(format!("  signal {json}"));
    }
}

pub fn found(object: StoredObject) -> PlatformReply {
    PlatformReply::Found(object)
}
