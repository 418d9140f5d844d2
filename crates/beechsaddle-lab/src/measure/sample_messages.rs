//! The `sample_messages` module provides messages between routers in any size, with names as long
//! as those of a large fleet.

use beechsaddle_core::catalogue::{CatalogueChange, EntryEdit, EntryId, EntryKind};
use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::members::HostState;
use beechsaddle_core::names::CallId;
use beechsaddle_core::peer::{
    AdmitRequest, CallProgress, LimitUse, PeerHeartbeat, PeerMessage, RecordRequest, RouterNews,
    RouterState, SettleRequest, TargetNews, WitnessNote,
};
use beechsaddle_core::target::{EngineRole, EngineState, LoadReport};

use super::sample_objects::{call_of, key_of, router_of, workspace};

/// A heartbeat with news of `count` targets, as a prober tells them.
pub fn heartbeat_with_targets(count: u64) -> PeerMessage {
    let mut heartbeat = heartbeat();
    heartbeat.targets = (0..count).map(target_news).collect();
    PeerMessage::Heartbeat(heartbeat)
}

/// A heartbeat with the use of `count` limited entries.
pub fn heartbeat_with_limits(count: u64) -> PeerMessage {
    let mut heartbeat = heartbeat();
    heartbeat.limits = (0..count).map(limit_use).collect();
    PeerMessage::Heartbeat(heartbeat)
}

/// A heartbeat with news of `count` routers.
pub fn heartbeat_with_routers(count: u64) -> PeerMessage {
    let mut heartbeat = heartbeat();
    heartbeat.routers = (0..count).map(router_news).collect();
    PeerMessage::Heartbeat(heartbeat)
}

/// An update of the catalogue with `count` edits, each of one workspace.
pub fn update_with_changes(count: u64) -> PeerMessage {
    PeerMessage::CatalogueUpdate {
        base: None,
        changes: (0..count).map(change).collect(),
    }
}

/// The progress of `count` running calls.
pub fn progress_of_calls(count: u64) -> PeerMessage {
    let calls = (0..count)
        .map(|number| CallProgress {
            call: call_of(number),
            tokens: 120,
        })
        .collect();
    PeerMessage::ProgressReport { calls }
}

/// The messages that one call causes when another router holds its budget, without those of its
/// progress.
pub fn messages_of_held_call(number: u64) -> Vec<PeerMessage> {
    let call = call_of(number);
    let journal = router_of(number).to_string();
    vec![
        PeerMessage::AdmitRequest(AdmitRequest {
            call: call.clone(),
            key: key_of(number),
            budget: "budget-000001".into(),
            bound: 2_000,
        }),
        PeerMessage::AdmitReply {
            call: call.clone(),
            outcome: Ok(journal.as_str().into()),
        },
        PeerMessage::SettleRequest(settle(&call, number)),
        PeerMessage::SettleReply { call: call.clone() },
        PeerMessage::BillsDurable {
            calls: vec![call.clone()],
        },
        PeerMessage::BillsDurable { calls: vec![call] },
    ]
}

/// The messages that one call causes when its entry router holds its budget.
pub fn messages_of_own_call(number: u64) -> Vec<PeerMessage> {
    let call = call_of(number);
    let note = |ended| {
        PeerMessage::WitnessNote(WitnessNote {
            journal: router_of(number).to_string().as_str().into(),
            settle: settle(&call, number),
            ended,
        })
    };
    vec![
        note(false),
        note(true),
        PeerMessage::WitnessReply { call: call.clone() },
        PeerMessage::BillsDurable { calls: vec![call] },
    ]
}

/// The messages that the dedup record of one not-repeatable call causes.
pub fn messages_of_record(number: u64) -> Vec<PeerMessage> {
    let call = call_of(number);
    vec![
        PeerMessage::RecordRequest(RecordRequest {
            call: call.clone(),
            key: key_of(number),
        }),
        PeerMessage::RecordReply {
            call,
            outcome: Ok(()),
        },
    ]
}

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        domain: "region-a-north-1".into(),
        address: "10.200.100.50:9090".to_owned(),
        sequence: 1_000_000,
        state: RouterState::Live,
        catalogue_revision: 1_000_000,
        layout: None,
        targets: Vec::new(),
        limits: Vec::new(),
        routers: Vec::new(),
    }
}

fn target_news(number: u64) -> TargetNews {
    TargetNews {
        target: format!("target-{number:04}").as_str().into(),
        epoch: 1_800_000_000_000,
        state: HostState::Live,
        sequence: 1_000_000,
        load: Some(LoadReport {
            running: 20,
            waiting: 3,
            cache_permille: 700,
        }),
        engine: Some(EngineState {
            model: "assistant-large".into(),
            version: 12,
            adapters: Vec::new(),
            role: EngineRole::Whole,
        }),
    }
}

fn limit_use(number: u64) -> LimitUse {
    LimitUse {
        entry: EntryId {
            kind: EntryKind::Workspace,
            name: format!("workspace-{number:05}"),
        },
        running: 3,
        held_back: 0,
        requests: 2,
        tokens: 1_000,
    }
}

fn router_news(number: u64) -> RouterNews {
    RouterNews {
        router: router_of(number),
        domain: "region-a-north-1".into(),
        address: "10.200.100.50:9090".to_owned(),
        catalogue_revision: 1_000_000,
        age_ms: 200,
    }
}

fn change(number: u64) -> CatalogueChange {
    CatalogueChange {
        revision: 1_000_000 + number,
        write_id: "entry-001@1800000000000#123456".to_owned(),
        author: "team-of-the-day-shift".into(),
        applied: ClockTime::from_millis(1_800_000_000_000),
        edits: vec![EntryEdit::Put(workspace(number))],
    }
}

fn settle(call: &CallId, number: u64) -> SettleRequest {
    SettleRequest {
        call: call.clone(),
        key: key_of(number),
        budget: "budget-000001".into(),
        bound: 2_000,
        tokens: 233,
        ran: true,
        complete: true,
        against: None,
    }
}
