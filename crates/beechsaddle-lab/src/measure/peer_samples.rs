//! The `peer_samples` module provides sample messages between routers, with realistic names and
//! values.

use beechsaddle_core::catalogue::{EntryId, EntryKind};
use beechsaddle_core::members::HostState;
use beechsaddle_core::objects::FleetLayout;
use beechsaddle_core::peer::{
    AdmitRequest, LimitUse, PeerHeartbeat, PeerMessage, RecordRequest, RouterState, SettleRequest,
    TargetUpdate, UsageCopy,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineRole, EngineState, LoadReport};

/// Returns a host name of the length that is usual in large deployments.
pub fn host_name(number: usize) -> String {
    format!("graz-nord-entry-{number:03}")
}

/// Returns the id of a call.
pub fn call_id(number: u64) -> CallId {
    CallId {
        router: RouterIncarnation::new(host_name(1).as_str(), 1_700_000_000_000),
        number,
    }
}

/// Returns a heartbeat with target updates, each with a load report and optionally an engine state.
pub fn heartbeat(sequence: u64, targets: usize, engines: bool, limits: usize) -> PeerMessage {
    PeerMessage::Heartbeat(PeerHeartbeat {
        domain: "graz-nord".into(),
        address: "10.20.30.40:7400".to_owned(),
        sequence,
        state: RouterState::Live,
        catalogue_revision: 11_000,
        layout: Some(FleetLayout {
            ledger_shards: 64,
            dedup_shards: 64,
        }),
        targets: (0..targets)
            .map(|item| target_update(item, engines))
            .collect(),
        limits: (0..limits).map(limit_use).collect(),
        routers: Vec::new(),
    })
}

fn target_update(number: usize, engines: bool) -> TargetUpdate {
    TargetUpdate {
        target: format!("graz-nord-pool-{number:04}").as_str().into(),
        epoch: 3,
        state: HostState::Live,
        sequence: 1_234,
        load: Some(LoadReport {
            running: 40,
            waiting: 3,
            cache_permille: 700,
        }),
        engine: engines.then(|| EngineState {
            model: "statement-12b".into(),
            version: 4,
            adapters: vec!["cover-bands".to_owned()],
            role: EngineRole::Whole,
        }),
    }
}

fn limit_use(number: usize) -> LimitUse {
    LimitUse {
        entry: EntryId {
            kind: EntryKind::Workspace,
            name: format!("workspace-{number:05}"),
        },
        running: 12,
        held_back: 2,
        requests: 30,
        tokens: 40_000,
    }
}

/// Returns an idempotency key as callers choose it.
pub fn request_key(number: u64) -> RequestKey {
    RequestKey {
        workspace: "workspace-00017".into(),
        text: format!("3f0c2a56-7d1e-4c1b-9b7d-{number:012}")
            .as_str()
            .into(),
        origin: KeyOrigin::Caller,
    }
}

/// Returns a reservation request to the holder of a budget.
pub fn admit_request(number: u64) -> PeerMessage {
    PeerMessage::AdmitRequest(AdmitRequest {
        call: call_id(number),
        key: request_key(number),
        budget: "workspace-00017-main".into(),
        bound: 4_000,
    })
}

/// Returns a report of a call's usage to the holder of its budget.
pub fn settle_request(number: u64) -> SettleRequest {
    SettleRequest {
        call: call_id(number),
        key: request_key(number),
        budget: "workspace-00017-main".into(),
        bound: 4_000,
        tokens: 1_200,
        ran: true,
        complete: true,
        against: None,
    }
}

/// Returns the messages of a call whose budget another router holds, and those of a non-repeatable
/// call.
pub fn call_messages(number: u64) -> Vec<(&'static str, PeerMessage)> {
    let call = call_id(number);
    vec![
        ("admit_request", admit_request(number)),
        (
            "admit_reply",
            PeerMessage::AdmitReply {
                call: call.clone(),
                outcome: Ok("graz-nord-entry-002@1700000000000".into()),
            },
        ),
        (
            "settle_request",
            PeerMessage::SettleRequest(settle_request(number)),
        ),
        (
            "settle_reply",
            PeerMessage::SettleReply { call: call.clone() },
        ),
        (
            "bills_durable",
            PeerMessage::BillsDurable {
                calls: vec![call.clone()],
            },
        ),
        (
            "witness_note",
            PeerMessage::WitnessNote(UsageCopy {
                journal: "graz-nord-entry-002@1700000000000".into(),
                settle: settle_request(number),
                ended: true,
            }),
        ),
        (
            "record_request",
            PeerMessage::RecordRequest(RecordRequest {
                call: call.clone(),
                key: request_key(number),
            }),
        ),
        (
            "record_reply",
            PeerMessage::RecordReply {
                call,
                outcome: Ok(()),
            },
        ),
    ]
}
