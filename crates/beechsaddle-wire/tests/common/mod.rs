//! The `common` module provides arbitrary messages between routers.

use beechsaddle_core::call::KeyDigest;
use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueChange, CatalogueEntry, EntryClass, EntryEdit, EntryHeader, EntryId,
    EntryKind, EntryLimits, ModelEntry, ServiceEntry, ServiceKind, WorkspaceEntry,
};
use beechsaddle_core::members::{HostList, HostRecord, HostRole, HostState};
use beechsaddle_core::objects::FleetLayout;
use beechsaddle_core::peer::{
    AdmitRequest, CallProgress, LimitUse, PeerHeartbeat, PeerMessage, RecordRequest, RouterState,
    RouterUpdate, SettleRequest, TargetUpdate, UsageCopy,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineRole, EngineState, LoadReport};
use quickcheck::{Arbitrary, Gen};

/// The number of variants that [`AnyMessage`] draws from; each has an arm in [`message_of`].
pub const VARIANTS: u8 = 16;

/// An arbitrary message that the core may send.
#[derive(Clone, Debug)]
pub struct AnyMessage(pub PeerMessage);

impl Arbitrary for AnyMessage {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let variant = u8::arbitrary(gen_) % VARIANTS;
        AnyMessage(message_of(variant, gen_))
    }
}

/// Returns an arbitrary message of one variant.
pub fn message_of(variant: u8, gen_: &mut Gen) -> PeerMessage {
    match variant {
        0 => PeerMessage::Heartbeat(any_heartbeat(gen_)),
        1 => PeerMessage::CatalogueRequest {
            after: u64::arbitrary(gen_),
        },
        2 => PeerMessage::CatalogueUpdate {
            base: bool::arbitrary(gen_).then(|| Box::new(any_base(gen_))),
            changes: any_list(gen_, any_change),
        },
        3 => PeerMessage::AdmitRequest(AdmitRequest {
            call: any_call(gen_),
            key: any_key(gen_),
            budget: any_name(gen_).as_str().into(),
            bound: u64::arbitrary(gen_),
        }),
        4 => PeerMessage::AdmitReply {
            call: any_call(gen_),
            outcome: any_outcome(gen_).map(|()| any_name(gen_).as_str().into()),
        },
        5 => PeerMessage::ProgressReport {
            calls: any_list(gen_, |gen_| CallProgress {
                call: any_call(gen_),
                tokens: u64::arbitrary(gen_),
            }),
        },
        6 => PeerMessage::SettleRequest(any_settle(gen_)),
        7 => PeerMessage::SettleReply {
            call: any_call(gen_),
        },
        8 => PeerMessage::BillsDurable {
            calls: any_list(gen_, any_call),
        },
        9 => PeerMessage::WitnessNote(UsageCopy {
            journal: any_name(gen_).as_str().into(),
            settle: any_settle(gen_),
            ended: bool::arbitrary(gen_),
        }),
        10 => PeerMessage::WitnessReply {
            call: any_call(gen_),
        },
        11 => PeerMessage::RecordRequest(RecordRequest {
            call: any_call(gen_),
            key: any_key(gen_),
        }),
        12 => PeerMessage::CallUnknown {
            call: any_call(gen_),
            journal: any_name(gen_).as_str().into(),
        },
        13 => PeerMessage::HostsRequest,
        14 => PeerMessage::HostsUpdate {
            version: u64::arbitrary(gen_),
            hosts: HostList {
                hosts: any_list(gen_, any_host),
            },
        },
        _ => PeerMessage::RecordReply {
            call: any_call(gen_),
            outcome: any_outcome(gen_),
        },
    }
}

/// Returns the index of a message's variant in [`message_of`]. A new variant of the messages breaks
/// the build here, as a reminder to add it above as well.
pub fn variant_of(message: &PeerMessage) -> u8 {
    match message {
        PeerMessage::Heartbeat(_) => 0,
        PeerMessage::CatalogueRequest { .. } => 1,
        PeerMessage::CatalogueUpdate { .. } => 2,
        PeerMessage::AdmitRequest(_) => 3,
        PeerMessage::AdmitReply { .. } => 4,
        PeerMessage::ProgressReport { .. } => 5,
        PeerMessage::SettleRequest(_) => 6,
        PeerMessage::SettleReply { .. } => 7,
        PeerMessage::BillsDurable { .. } => 8,
        PeerMessage::WitnessNote(_) => 9,
        PeerMessage::WitnessReply { .. } => 10,
        PeerMessage::RecordRequest(_) => 11,
        PeerMessage::CallUnknown { .. } => 12,
        PeerMessage::HostsRequest => 13,
        PeerMessage::HostsUpdate { .. } => 14,
        PeerMessage::RecordReply { .. } => 15,
    }
}

fn any_host(gen_: &mut Gen) -> HostRecord {
    HostRecord {
        host: any_name(gen_).as_str().into(),
        domain: any_name(gen_).as_str().into(),
        epoch: u64::arbitrary(gen_),
        address: any_name(gen_),
        role: HostRole::Target {
            service: any_name(gen_).as_str().into(),
            checks_fence: bool::arbitrary(gen_),
        },
        state: HostState::Leaving,
    }
}

fn any_list<T>(gen_: &mut Gen, item: impl Fn(&mut Gen) -> T) -> Vec<T> {
    let count = usize::arbitrary(gen_) % 6;
    (0..count).map(|_| item(gen_)).collect()
}

fn any_name(gen_: &mut Gen) -> String {
    let text = String::arbitrary(gen_);
    let suffix: String = text.chars().take(100).collect();
    format!("n{suffix}")
}

fn any_incarnation(gen_: &mut Gen) -> RouterIncarnation {
    RouterIncarnation::new(any_name(gen_).as_str(), u64::arbitrary(gen_))
}

fn any_call(gen_: &mut Gen) -> CallId {
    CallId {
        router: any_incarnation(gen_),
        number: u64::arbitrary(gen_),
    }
}

fn any_key(gen_: &mut Gen) -> RequestKey {
    RequestKey {
        workspace: any_name(gen_).as_str().into(),
        text: any_name(gen_).as_str().into(),
        origin: *gen_
            .choose(&[KeyOrigin::Caller, KeyOrigin::Router])
            .expect("not empty"),
    }
}

fn any_outcome(gen_: &mut Gen) -> Result<(), CallRefusal> {
    if bool::arbitrary(gen_) {
        return Ok(());
    }
    let reason = *gen_.choose(&RefusalReason::ALL).expect("not empty");
    let retry_after_ms = Option::<u64>::arbitrary(gen_);
    Err(match bool::arbitrary(gen_) {
        true => CallRefusal::not_run(reason, retry_after_ms),
        false => CallRefusal::unknown(reason, retry_after_ms),
    })
}

fn any_settle(gen_: &mut Gen) -> SettleRequest {
    SettleRequest {
        call: any_call(gen_),
        key: any_key(gen_),
        budget: any_name(gen_).as_str().into(),
        bound: u64::arbitrary(gen_),
        tokens: u64::arbitrary(gen_),
        ran: bool::arbitrary(gen_),
        complete: bool::arbitrary(gen_),
        against: bool::arbitrary(gen_).then(|| any_name(gen_).as_str().into()),
    }
}

fn any_heartbeat(gen_: &mut Gen) -> PeerHeartbeat {
    PeerHeartbeat {
        domain: any_name(gen_).as_str().into(),
        address: any_name(gen_),
        sequence: u64::arbitrary(gen_),
        state: *gen_
            .choose(&[RouterState::Live, RouterState::Draining, RouterState::Left])
            .expect("not empty"),
        catalogue_revision: u64::arbitrary(gen_),
        layout: bool::arbitrary(gen_).then(|| FleetLayout {
            ledger_shards: u32::arbitrary(gen_),
            dedup_shards: u32::arbitrary(gen_),
        }),
        targets: any_list(gen_, |gen_| TargetUpdate {
            target: any_name(gen_).as_str().into(),
            epoch: u64::arbitrary(gen_),
            state: *gen_
                .choose(&[HostState::Live, HostState::Leaving, HostState::Down])
                .expect("not empty"),
            sequence: u64::arbitrary(gen_),
            load: bool::arbitrary(gen_).then(|| LoadReport {
                running: u32::arbitrary(gen_),
                waiting: u32::arbitrary(gen_),
                cache_permille: u32::arbitrary(gen_),
            }),
            engine: bool::arbitrary(gen_).then(|| EngineState {
                model: any_name(gen_).as_str().into(),
                version: u64::arbitrary(gen_),
                adapters: any_list(gen_, any_name),
                role: *gen_
                    .choose(&[EngineRole::Whole, EngineRole::Prefill, EngineRole::Decode])
                    .expect("not empty"),
            }),
        }),
        limits: any_list(gen_, |gen_| LimitUse {
            entry: EntryId {
                kind: *gen_
                    .choose(&[EntryKind::Workspace, EntryKind::Service, EntryKind::Model])
                    .expect("not empty"),
                name: any_name(gen_),
            },
            running: u32::arbitrary(gen_),
            held_back: u32::arbitrary(gen_),
            requests: u32::arbitrary(gen_),
            tokens: u64::arbitrary(gen_),
        }),
        routers: any_list(gen_, |gen_| RouterUpdate {
            router: any_incarnation(gen_),
            domain: any_name(gen_).as_str().into(),
            address: any_name(gen_),
            catalogue_revision: u64::arbitrary(gen_),
            age_ms: u64::arbitrary(gen_),
        }),
    }
}

fn any_base(gen_: &mut Gen) -> CatalogueBase {
    CatalogueBase {
        revision: u64::arbitrary(gen_),
        entries: any_list(gen_, |gen_| (u64::arbitrary(gen_), any_entry(gen_))),
    }
}

fn any_change(gen_: &mut Gen) -> CatalogueChange {
    CatalogueChange {
        revision: u64::arbitrary(gen_),
        write_id: any_name(gen_),
        author: any_name(gen_).as_str().into(),
        applied: ClockTime::from_millis(u64::arbitrary(gen_)),
        edits: any_list(gen_, |gen_| match bool::arbitrary(gen_) {
            true => EntryEdit::Put(any_entry(gen_)),
            false => EntryEdit::Remove(EntryId {
                kind: EntryKind::Service,
                name: any_name(gen_),
            }),
        }),
    }
}

fn any_entry(gen_: &mut Gen) -> CatalogueEntry {
    let header = EntryHeader {
        owner: any_name(gen_).as_str().into(),
        class: EntryClass::Standard,
        limits: EntryLimits::default(),
    };
    match u8::arbitrary(gen_) % 3 {
        0 => CatalogueEntry::Workspace(WorkspaceEntry {
            header,
            name: any_name(gen_).as_str().into(),
            keys: vec![KeyDigest([u8::arbitrary(gen_); 32])],
            budget: bool::arbitrary(gen_).then(|| BudgetName::new(any_name(gen_))),
            services: any_list(gen_, |gen_| any_name(gen_).as_str().into()),
            models: any_list(gen_, |gen_| any_name(gen_).as_str().into()),
        }),
        1 => CatalogueEntry::Service(ServiceEntry {
            header,
            name: any_name(gen_).as_str().into(),
            kind: ServiceKind::Plain,
            repeatable: bool::arbitrary(gen_),
            call_cost: u64::arbitrary(gen_),
            head_timeout_ms: u64::arbitrary(gen_),
        }),
        _ => CatalogueEntry::Model(ModelEntry {
            header,
            name: any_name(gen_).as_str().into(),
            service: any_name(gen_).as_str().into(),
            version: u64::arbitrary(gen_),
            adapters: any_list(gen_, any_name),
            role: EngineRole::Whole,
            output_limit: u64::arbitrary(gen_),
        }),
    }
}
