//! Tests that catalogue changes take effect at a router and that the revision never decreases.

mod members_support;

use beechsaddle_core::catalogue::{
    CatalogueEntry, CatalogueHead, CatalogueManager, CatalogueOptions, CatalogueView, EntryEdit,
    EntryId, EntryKind,
};
use beechsaddle_core::members::MemberTable;
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::peer::PeerMessage;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;
use quickcheck::quickcheck;

use members_support::{
    at, base, change, change_object, compare_golden, found, golden_lines, peer_messages,
    platform_calls, router, service, stored, table,
};

/// A manager with a fake platform that answers at once from a list of changes.
struct Follower {
    manager: CatalogueManager,
    members: MemberTable,
    pending: Vec<(PlatformTicket, PlatformCall)>,
}

impl Follower {
    fn new(me: &str, others: &[(&str, u64)]) -> Self {
        let me = router(me, 1);
        let options = CatalogueOptions {
            watch_delay_ms: 0,
            ..CatalogueOptions::default()
        };
        Follower {
            manager: CatalogueManager::new(options, me.clone()),
            members: table(&me, others),
            pending: Vec::new(),
        }
    }

    fn start(&mut self, now: u64) -> CoreOutbox {
        let mut outbox = CoreOutbox::new();
        self.manager.start(at(now), &self.members, &mut outbox);
        self.collect_calls(outbox)
    }

    fn tick(&mut self, now: u64) -> CoreOutbox {
        let mut outbox = CoreOutbox::new();
        self.manager.tick(at(now), &self.members, &mut outbox);
        self.collect_calls(outbox)
    }

    fn peer(&mut self, now: u64, from: &str, message: PeerMessage) -> CoreOutbox {
        let mut outbox = CoreOutbox::new();
        let from = router(from, 1);
        self.manager
            .on_peer(at(now), &from, message, &self.members, &mut outbox);
        self.collect_calls(outbox)
    }

    fn receive_revision(&mut self, now: u64, from: &str, revision: u64) -> CoreOutbox {
        let mut outbox = CoreOutbox::new();
        let from = router(from, 1);
        self.manager
            .on_heartbeat_revision(at(now), &from, revision, &self.members, &mut outbox);
        self.collect_calls(outbox)
    }

    /// Replies to the pending call.
    fn answer(&mut self, now: u64, reply: PlatformReply) -> CoreOutbox {
        let (ticket, _) = self.pending.pop().expect("a call is pending");
        let mut outbox = CoreOutbox::new();
        self.manager
            .on_platform(at(now), ticket, reply, &self.members, &mut outbox);
        self.collect_calls(outbox)
    }

    /// Replies to reads from a platform whose newest change is `newest`, until no read is pending.
    fn answer_reads(&mut self, now: u64, newest: u64) {
        while let Some((_, PlatformCall::Read { key })) = self.pending.last().cloned() {
            let revision = key
                .as_str()
                .rsplit('/')
                .next()
                .and_then(|text| text.parse().ok());
            let reply = match revision {
                Some(revision) if revision <= newest => found(change_object(revision)),
                Some(_) | None => PlatformReply::Absent,
            };
            self.answer(now, reply);
        }
    }

    fn collect_calls(&mut self, outbox: CoreOutbox) -> CoreOutbox {
        self.pending.extend(platform_calls(&outbox));
        assert!(self.pending.len() <= 1, "one call at a time");
        outbox
    }

    fn revision(&self) -> u64 {
        self.manager.view().revision()
    }

    /// Returns the cost of `trznica`, which equals the revision of its last change.
    fn cost(&self) -> u64 {
        let service = self.manager.view().service(&ServiceName::new("trznica"));
        service.map_or(0, |entry| entry.call_cost)
    }
}

fn update(base: Option<u64>, changes: &[u64]) -> PeerMessage {
    PeerMessage::CatalogueUpdate {
        base: base.map(|revision| Box::new(members_support::base(revision))),
        changes: changes.iter().map(|revision| change(*revision)).collect(),
    }
}

// A whole session of a single router: the base in two parts, the changes after it, a watch, a
// change that the watch skipped, an outage and its end.
#[test]
fn session_base_changes_watch_outage_matches_golden() {
    let mut follower = Follower::new("a", &[]);
    let mut lines = Vec::new();
    let outbox = follower.start(0);
    golden_lines(0, "start", outbox, &mut lines);
    let head = PlatformObject::Head(CatalogueHead {
        revision: 64,
        parts: 2,
    });
    let part = |number| {
        let key = format!("catalogue/base/000000000064/{number}");
        let mut part = base(64);
        if number == 1 {
            part.entries = vec![(3, service("portal", 3))];
        }
        stored(&key, 1_064, PlatformObject::Base(part))
    };
    let changed = |revisions: &[u64]| PlatformReply::Changed {
        objects: revisions
            .iter()
            .map(|revision| change_object(*revision))
            .collect(),
        revision: 1_000 + revisions.last().expect("a revision"),
    };
    let steps = [
        ("head", found(stored("catalogue/head", 1_070, head))),
        ("part 0", found(part(0))),
        ("part 1", found(part(1))),
        ("change 65", found(change_object(65))),
        ("no change 66", PlatformReply::Absent),
        ("watch sees 67 only", changed(&[67])),
        ("change 66", found(change_object(66))),
        ("change 67", found(change_object(67))),
        ("no change 68", PlatformReply::Absent),
        ("platform away", PlatformReply::Unreachable),
    ];
    for (number, (event, reply)) in steps.into_iter().enumerate() {
        let now = 10 * (number as u64 + 1);
        let outbox = follower.answer(now, reply);
        golden_lines(now, event, outbox, &mut lines);
    }
    let outbox = follower.tick(400);
    golden_lines(400, "tick", outbox, &mut lines);
    compare_golden("catalogue_base_changes_watch_outage.txt", &lines);
}

// A router restarts during an outage of the platform and takes the catalogue of a peer with a
// higher revision. An older base from a lagging peer, and older changes from the platform after the
// outage, must not replace it.
#[test]
fn restart_in_outage_adopts_highest_revision_of_peers() {
    let mut follower = Follower::new("a", &[("b", 7), ("c", 5)]);
    follower.start(0);
    follower.answer(5, PlatformReply::Unreachable);
    let outbox = follower.receive_revision(100, "b", 7);
    let request = PeerMessage::CatalogueRequest { after: 0 };
    assert_eq!(peer_messages(&outbox), [(router("b", 1), request)]);
    let outbox = follower.peer(120, "b", update(Some(7), &[]));
    let signals: Vec<CoreSignal> = outbox.signals.into_iter().collect();
    assert_eq!(signals, [CoreSignal::CatalogueChanged { revision: 7 }]);
    follower.peer(130, "c", update(Some(5), &[6]));
    assert_eq!((follower.revision(), follower.cost()), (7, 7));
    follower.tick(1_000);
    follower.answer_reads(1_000, 4);
    assert_eq!((follower.revision(), follower.cost()), (7, 7));
}

// A domain is cut off for an hour, while two changes are applied. Its routers must retain their
// catalogue, then read both changes in order and push them to routers that do not watch.
#[test]
fn domain_cut_for_an_hour_then_two_newer_revisions() {
    let mut follower = Follower::new("a", &[("b", 5)]);
    follower.start(0);
    follower.answer_reads(10, 5);
    assert_eq!(follower.revision(), 5);
    let mut now = 1_000;
    let mut tries = 0;
    while now < 3_600_000 {
        if !follower.pending.is_empty() {
            follower.answer(now, PlatformReply::Unreachable);
            tries += 1;
        }
        follower.tick(now);
        assert_eq!((follower.revision(), follower.cost()), (5, 5));
        now += 1_000;
    }
    assert!((600..1_801).contains(&tries), "{tries}");
    let mut pushed = Vec::new();
    let mut revisions = Vec::new();
    for now in [3_601_000, 3_602_000, 3_603_000, 3_604_000, 3_605_000] {
        follower.tick(now);
        while let Some((_, PlatformCall::Read { key })) = follower.pending.last().cloned() {
            let revision = key
                .as_str()
                .rsplit('/')
                .next()
                .and_then(|text| text.parse().ok());
            let reply = match revision {
                Some(revision) if revision <= 7 => found(change_object(revision)),
                _ => PlatformReply::Absent,
            };
            let outbox = follower.answer(now, reply);
            pushed.extend(peer_messages(&outbox));
            revisions.push(follower.revision());
        }
    }
    assert!(revisions.is_sorted(), "{revisions:?}");
    assert_eq!((follower.revision(), follower.cost()), (7, 7));
    let expected = [
        (router("b", 1), update(None, &[6])),
        (router("b", 1), update(None, &[7])),
    ];
    assert_eq!(pushed, expected);
}

// A pushed change is lost and the next one arrives. Applying only the later one would lose the
// first for good; the revision in a heartbeat must reveal the gap.
#[test]
fn lost_update_is_repaired_by_heartbeat() {
    let mut follower = Follower::new("a", &[("b", 9)]);
    follower.peer(0, "b", update(Some(7), &[]));
    follower.peer(10, "b", update(None, &[9]));
    assert_eq!(follower.revision(), 7);
    let outbox = follower.receive_revision(600, "b", 9);
    let request = PeerMessage::CatalogueRequest { after: 7 };
    assert_eq!(peer_messages(&outbox), [(router("b", 1), request)]);
    // A second request is not sent before the first could be answered.
    assert!(peer_messages(&follower.receive_revision(700, "c", 9)).is_empty());
    follower.peer(720, "b", update(None, &[8, 9]));
    assert_eq!((follower.revision(), follower.cost()), (9, 9));
}

#[test]
fn on_peer_request_gets_changes_or_base() {
    let mut follower = Follower::new("a", &[("b", 0)]);
    follower.peer(0, "b", update(Some(7), &[]));
    follower.peer(1, "b", update(None, &[8, 9]));
    let cases = [(7, update(None, &[8, 9])), (8, update(None, &[9]))];
    for (after, expected) in cases {
        let outbox = follower.peer(2, "b", PeerMessage::CatalogueRequest { after });
        assert_eq!(peer_messages(&outbox), [(router("b", 1), expected)]);
    }
    let outbox = follower.peer(3, "b", PeerMessage::CatalogueRequest { after: 3 });
    assert_eq!(
        peer_messages(&outbox),
        [(router("b", 1), update(Some(9), &[]))]
    );
    let outbox = follower.peer(4, "b", PeerMessage::CatalogueRequest { after: 9 });
    assert!(peer_messages(&outbox).is_empty());
}

// A router is further behind than one reply covers. It must request the remainder at once, not at
// the next heartbeat.
#[test]
fn on_peer_partial_update_requests_remainder() {
    let mut follower = Follower::new("a", &[("b", 200)]);
    let outbox = follower.peer(0, "b", update(None, &(1..=64).collect::<Vec<u64>>()));
    let request = PeerMessage::CatalogueRequest { after: 64 };
    assert_eq!(peer_messages(&outbox), [(router("b", 1), request)]);
}

// All watchers of a domain are cut off or dead. The other routers must poll the platform often
// enough that a change takes effect within 12 s.
#[test]
fn tick_router_that_does_not_watch_polls() {
    let others: Vec<(String, u64)> = (0..12).map(|number| (format!("b{number}"), 5)).collect();
    let others: Vec<(&str, u64)> = others
        .iter()
        .map(|(host, at)| (host.as_str(), *at))
        .collect();
    let hosts = (0..40).map(|number| format!("a{number}"));
    let mut watchers = 0;
    for host in hosts {
        let mut follower = Follower::new(&host, &others);
        follower.start(0);
        follower.answer_reads(10, 5);
        if let Some((_, PlatformCall::Watch { .. })) = follower.pending.last() {
            watchers += 1;
            continue;
        }
        assert!(platform_calls(&follower.tick(8_000)).is_empty());
        follower.tick(8_010);
        follower.answer_reads(8_020, 6);
        assert_eq!(follower.revision(), 6);
    }
    assert!(watchers < 20, "{watchers}");
}

// A watch is never answered: after a minute the router reads again. A later reply to the watch must
// not start a second chain of calls.
#[test]
fn on_platform_answer_after_timeout_is_ignored() {
    let mut follower = Follower::new("a", &[]);
    follower.start(0);
    follower.answer_reads(10, 5);
    let late = follower.pending.pop().expect("a watch");
    assert_eq!(platform_calls(&follower.tick(60_010)).len(), 1);
    let mut outbox = CoreOutbox::new();
    let reply = PlatformReply::Changed {
        objects: vec![change_object(6)],
        revision: 2_000,
    };
    let members = table(&router("a", 1), &[]);
    follower
        .manager
        .on_platform(at(60_020), late.0, reply, &members, &mut outbox);
    assert!(outbox.actions.is_empty());
}

// A key moves from one workspace to another in two changes. A later removal of the first workspace
// must not remove the key from the second.
#[test]
fn apply_moved_key_stays_with_its_new_workspace() {
    use beechsaddle_core::call::KeyDigest;
    use beechsaddle_core::catalogue::{EntryHeader, WorkspaceEntry};
    let workspace = |name: &str| {
        CatalogueEntry::Workspace(WorkspaceEntry {
            header: EntryHeader {
                owner: OwnerName::new("ana"),
                class: Default::default(),
                limits: Default::default(),
            },
            name: WorkspaceName::new(name),
            keys: vec![KeyDigest([7; 32])],
            budget: None,
            services: Vec::new(),
            models: Vec::new(),
        })
    };
    let edits = [
        EntryEdit::Put(workspace("old")),
        EntryEdit::Put(workspace("new")),
        EntryEdit::Remove(EntryId {
            kind: EntryKind::Workspace,
            name: "old".to_string(),
        }),
    ];
    let mut view = CatalogueView::new();
    for (revision, edit) in (1..).zip(edits) {
        let mut change = change(revision);
        change.edits = vec![edit];
        assert!(view.apply(&change));
    }
    let found = view.workspace_of(&KeyDigest([7; 32])).expect("workspace");
    assert_eq!(found.name, WorkspaceName::new("new"));
}

quickcheck! {
    // Whatever the order of changes and bases, with duplicates and gaps, the revision never
    // decreases and the catalogue in effect is that of its revision.
    fn updates_in_any_order_never_lower_the_revision(messages: Vec<(Option<u8>, Vec<u8>)>) -> bool {
        let mut follower = Follower::new("a", &[("b", 1)]);
        let mut before = 0;
        for (base, changes) in messages {
            let changes: Vec<u64> = changes.iter().map(|number| u64::from(*number % 16) + 1).collect();
            let base = base.map(|number| u64::from(number % 16) + 1);
            follower.peer(0, "b", update(base, &changes));
            if follower.revision() < before || follower.cost() != follower.revision() {
                return false;
            }
            before = follower.revision();
        }
        true
    }
}
