//! Tests of messages between two edges.

mod peers_support;

use beechsaddle_core::catalogue::{
    CatalogueBase, CatalogueChange, CatalogueEntry, EntryClass, EntryEdit, EntryHeader, EntryId,
    EntryKind, EntryLimits, ServiceEntry, ServiceKind,
};
use beechsaddle_core::members::HostState;
use beechsaddle_core::peer::{
    AdmitRequest, CallProgress, LimitUse, PeerMessage, RecordRequest, RouterUpdate, SettleRequest,
    TargetUpdate, UsageCopy,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::target::{EngineRole, EngineState, LoadReport};
use beechsaddle_wire::peer::MESSAGE_BYTES_MAX;

use peers_support::{SECRET, call, heartbeat, options, settle_reply, start, start_with_ring};

fn key() -> RequestKey {
    RequestKey {
        workspace: "verlag".into(),
        text: "k-1".into(),
        origin: KeyOrigin::Caller,
    }
}

fn settle() -> SettleRequest {
    SettleRequest {
        call: call(1),
        key: key(),
        budget: "verlag-main".into(),
        bound: 900,
        tokens: 120,
        ran: true,
        complete: true,
        against: Some("host-b@7".into()),
    }
}

fn full_heartbeat() -> PeerMessage {
    let mut heartbeat = heartbeat(9);
    heartbeat.targets.push(TargetUpdate {
        target: "pool-1".into(),
        epoch: 2,
        state: HostState::Leaving,
        sequence: 4,
        load: Some(LoadReport {
            running: 3,
            waiting: 1,
            cache_permille: 700,
        }),
        engine: Some(EngineState {
            model: "statement-12b".into(),
            version: 3,
            adapters: vec!["cover-bands".to_owned()],
            role: EngineRole::Whole,
        }),
    });
    heartbeat.limits.push(LimitUse {
        entry: EntryId {
            kind: EntryKind::Workspace,
            name: "verlag".to_owned(),
        },
        running: 1,
        held_back: 0,
        requests: 2,
        tokens: 3,
    });
    heartbeat.routers.push(RouterUpdate {
        router: RouterIncarnation::new("host-l", 5),
        domain: "leoben".into(),
        address: "127.0.0.1:4001".to_owned(),
        catalogue_revision: 3,
        age_ms: 40,
    });
    PeerMessage::Heartbeat(heartbeat)
}

fn service(name: &str) -> CatalogueEntry {
    CatalogueEntry::Service(ServiceEntry {
        header: EntryHeader {
            owner: "ana".into(),
            class: EntryClass::Standard,
            limits: EntryLimits::default(),
        },
        name: name.into(),
        kind: ServiceKind::Plain,
        repeatable: false,
        call_cost: 1,
        head_timeout_ms: 100,
    })
}

fn update(entries: usize) -> PeerMessage {
    let entries = (0..entries).map(|number| (3, service(&format!("service-{number}"))));
    PeerMessage::CatalogueUpdate {
        base: Some(Box::new(CatalogueBase {
            revision: 3,
            entries: entries.collect(),
        })),
        changes: vec![CatalogueChange {
            revision: 4,
            write_id: "w".to_owned(),
            author: "ana".into(),
            applied: ClockTime::from_millis(5),
            edits: vec![
                EntryEdit::Put(service("portal-notify")),
                EntryEdit::Remove(EntryId {
                    kind: EntryKind::Model,
                    name: "m".to_owned(),
                }),
            ],
        }],
    }
}

fn every_variant() -> Vec<PeerMessage> {
    let refusal = CallRefusal::not_run(RefusalReason::BudgetExhausted, Some(1_000));
    vec![
        full_heartbeat(),
        PeerMessage::CatalogueRequest { after: 2 },
        update(2),
        PeerMessage::AdmitRequest(AdmitRequest {
            call: call(1),
            key: key(),
            budget: "verlag-main".into(),
            bound: 900,
        }),
        PeerMessage::AdmitReply {
            call: call(1),
            outcome: Err(refusal.clone()),
        },
        PeerMessage::AdmitReply {
            call: call(2),
            outcome: Ok("host-b@7".into()),
        },
        PeerMessage::CallUnknown {
            call: call(2),
            journal: "host-b@7".into(),
        },
        PeerMessage::ProgressReport {
            calls: vec![CallProgress {
                call: call(1),
                tokens: 40,
            }],
        },
        PeerMessage::SettleRequest(settle()),
        PeerMessage::SettleReply { call: call(1) },
        PeerMessage::BillsDurable {
            calls: vec![call(1), call(2)],
        },
        PeerMessage::WitnessNote(UsageCopy {
            journal: "host-b@7".into(),
            settle: settle(),
            ended: true,
        }),
        PeerMessage::WitnessReply { call: call(1) },
        PeerMessage::RecordRequest(RecordRequest {
            call: call(1),
            key: key(),
        }),
        PeerMessage::RecordReply {
            call: call(1),
            outcome: Ok(()),
        },
    ]
}

#[test]
fn send_every_variant_both_ways() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    for message in every_variant() {
        left.send(&right, message.clone());
        right.send(&left, message);
    }
    for message in every_variant() {
        assert_eq!(
            right.receive(),
            (left.own_incarnation.clone(), message.clone())
        );
        assert_eq!(left.receive(), (right.own_incarnation.clone(), message));
    }
}

#[test]
fn send_many_arrive_in_order_and_batched() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    for number in 0..1_000 {
        left.send(&right, settle_reply(number));
    }
    for number in 0..1_000 {
        assert_eq!(right.receive().1, settle_reply(number));
    }
    let counts = left.wait_for("delivered", |counts| counts.delivered == 1_000);
    assert!(counts.deliveries < 500, "{counts:?}");
}

#[test]
fn send_to_any_incarnation_of_a_listed_host() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let listed = RouterIncarnation::new("host-b", 0);
    left.handle.send(listed, right.address(), settle_reply(1));
    assert_eq!(
        right.receive(),
        (left.own_incarnation.clone(), settle_reply(1))
    );
}

#[test]
fn send_catalogue_of_two_thousand_entries() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    left.send(&right, update(2_000));
    assert_eq!(right.receive().1, update(2_000));
}

// One message cannot be encoded, for example because its name is empty or it is too large. The
// others in its batch have to arrive: the core does not know which messages are sent together.
#[test]
fn send_unencodable_message_affects_no_other() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    let nameless = PeerMessage::SettleReply {
        call: CallId {
            router: RouterIncarnation::new("", 1),
            number: 1,
        },
    };
    left.send(&right, settle_reply(1));
    left.send(&right, nameless);
    left.send(&right, settle_reply(2));
    assert_eq!(right.receive().1, settle_reply(1));
    assert_eq!(right.receive().1, settle_reply(2));
    let enough = MESSAGE_BYTES_MAX / 100;
    left.wait_for("all settled", |counts| counts.delivered == 2);
    left.send(&right, update(enough));
    left.wait_for("dropped", |counts| counts.dropped == 2);
    left.send(&right, settle_reply(3));
    assert_eq!(right.receive().1, settle_reply(3));
}

// The receiver's core is busy and its ring is full. Messages are dropped and counted, and the edge
// goes on without waiting or queueing them.
#[test]
fn receive_full_ring_drops_and_counts() {
    let left = start("host-a", 1, options(SECRET));
    let right = start_with_ring("host-b", 7, options(SECRET), 4);
    for number in 0..20 {
        left.send(&right, settle_reply(number));
    }
    let counts = right.wait_for("all taken", |counts| {
        counts.received + counts.ring_full == 20
    });
    assert_eq!(counts.received, 4);
    assert_eq!(
        left.wait_for("sent", |counts| counts.delivered == 20).lost,
        0
    );
}

#[test]
fn stop_delivers_the_last_messages() {
    let left = start("host-a", 1, options(SECRET));
    let right = start("host-b", 7, options(SECRET));
    left.send(&right, settle_reply(1));
    left.send(&right, settle_reply(2));
    left.handle.stop();
    assert_eq!(right.receive().1, settle_reply(1));
    assert_eq!(right.receive().1, settle_reply(2));
}
