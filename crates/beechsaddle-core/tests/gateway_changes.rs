//! Tests of routers that follow each other instead of the store, without a network.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    ChangeLog, ChangeReply, ChangeSource, FollowFailure, LoanBackoff, PeerRecord, PeerRing,
    SourceSelector,
};
use beechsaddle_core::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: ClockTime = ClockTime::from_millis(1_000_000);

/// Number of routers of the domain in all tests: enough that they relay.
const ROUTERS: usize = 8;

fn host(number: usize) -> HostName {
    HostName::new(format!("host-{number}"))
}

fn ring(number: usize, routers: usize) -> PeerRing {
    let domain = DomainName::new("north");
    let mut ring = PeerRing::new(host(number), domain.clone());
    ring.take_listing((0..routers).map(|number| PeerRecord {
        host: host(number),
        domain: domain.clone(),
        address: Some(([127, 0, 0, 1], 7_000 + number as u16).into()),
        link_mbps: 0,
    }));
    ring
}

/// Followers were chosen by their names alone: one on a host with a small link had changes late, and so did
/// all that followed it.
#[test]
fn followers_have_the_largest_links() {
    for number in 0..ROUTERS {
        let domain = DomainName::new("north");
        let mut ring = PeerRing::new(host(number), domain.clone());
        ring.take_listing((0..ROUTERS).map(|number| PeerRecord {
            host: host(number),
            domain: domain.clone(),
            address: Some(([127, 0, 0, 1], 7_000 + number as u16).into()),
            link_mbps: if number % 4 == 1 { 200 } else { 10 },
        }));
        let followers = ring.followers(START, 2, ROUTERS);
        let mut hosts: Vec<_> = followers.iter().map(|peer| peer.host.clone()).collect();
        hosts.sort();
        match number % 4 {
            1 => assert_eq!(hosts, []),
            _ => assert_eq!(hosts, [host(1), host(5)]),
        }
    }
}

fn body(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

/// An up-to-date follower receives nothing, one that is behind receives the missing changes, and
/// one that is too far behind receives `Gone`: a gap would hide the removal of a target.
#[test]
fn since_returns_newer_changes_or_gone() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(5), ChangeReply::Gone);
    log.restart(10);
    assert_eq!(log.since(9), ChangeReply::Gone);
    assert_eq!(log.since(10), ChangeReply::Nothing);
    log.add(12, body("a"));
    log.record_unchanged(15);
    assert_eq!(log.since(12), ChangeReply::Nothing);
    log.add(20, body("b"));
    let bodies = |reply| match reply {
        ChangeReply::Changes(batches) => batches.iter().map(|batch| batch.body.to_vec()).collect(),
        ChangeReply::Nothing | ChangeReply::Gone => Vec::new(),
    };
    assert_eq!(bodies(log.since(10)), [body("a"), body("b")]);
    assert_eq!(bodies(log.since(15)), [body("b")]);
    assert_eq!(log.revision(), 20);
}

/// A log retains a bounded part of the changes, without gaps.
#[test]
fn add_retains_a_bounded_part() {
    let mut log = ChangeLog::default();
    log.restart(1);
    for revision in 2..500 {
        log.add(revision, vec![0; 100_000]);
    }
    let retained = (1..500).filter(|revision| log.since(*revision) != ChangeReply::Gone);
    let retained: Vec<_> = retained.collect();
    assert!(retained.len() < 30, "{}", retained.len());
    assert_eq!(retained.last(), Some(&499));
}

/// All routers of a domain agree on two that follow the store, and each of the others follows one
/// of them. In a small domain all follow the store.
#[test]
fn source_two_of_a_domain_follow_the_store() {
    let choice = SourceSelector::default();
    let sources = |routers| -> Vec<_> {
        (0..routers)
            .map(|number| choice.source(START, &ring(number, routers)))
            .collect()
    };
    let large = sources(ROUTERS);
    let followers: Vec<_> = (0..ROUTERS)
        .filter(|number| large[*number] == ChangeSource::Store)
        .map(host)
        .collect();
    assert_eq!(followers.len(), 2);
    for source in large {
        if let ChangeSource::Router(peer) = source {
            assert!(followers.contains(&peer.host));
        }
    }
    let small = sources(4);
    assert!(small.iter().all(|source| *source == ChangeSource::Store));
}

/// The followed routers cannot reach the store, and this one can. It asks the next in order, and
/// after a few the store itself: a router that reaches the store never waits for those that do not.
/// Once the first ones reach the store again, they are followed again.
#[test]
fn source_unreachable_followers_then_next_then_store() {
    let ring = follower_of_others();
    let mut choice = SourceSelector::default();
    let mut asked = Vec::new();
    while let ChangeSource::Router(peer) = choice.source(START, &ring) {
        choice.record_failure(START, &peer.host, FollowFailure::Unavailable);
        asked.push(peer.host);
    }
    assert!((3..=4).contains(&asked.len()), "{asked:?}");
    assert_eq!(choice.source(START, &ring), ChangeSource::Store);
    let ChangeSource::Router(peer) = choice.source(START.plus_ms(1_000), &ring) else {
        panic!("no router is followed");
    };
    assert_eq!(peer.host, asked[0]);
}

/// Two routers in a row do not answer, which costs the time of two answers. The store is asked at
/// once, as a third timeout would make a change take effect too late.
#[test]
fn source_store_after_two_timeouts() {
    let ring = follower_of_others();
    let mut choice = SourceSelector::default();
    for _ in 0..2 {
        let ChangeSource::Router(peer) = choice.source(START, &ring) else {
            panic!("no router is followed");
        };
        choice.record_failure(START, &peer.host, FollowFailure::Silent);
    }
    assert_eq!(choice.source(START, &ring), ChangeSource::Store);
}

/// Routers with another list ask this one. It follows the store for them, and stops when none asks.
#[test]
fn record_request_makes_a_temporary_follower() {
    let ring = follower_of_others();
    let mut choice = SourceSelector::default();
    assert!(!choice.is_follower(START, &ring));
    choice.record_request(START);
    assert!(choice.is_follower(START, &ring));
    assert_eq!(choice.source(START, &ring), ChangeSource::Store);
    assert!(choice.is_follower(START.plus_ms(2_000), &ring));
    assert!(!choice.is_follower(START.plus_ms(5_000), &ring));
}

/// During an outage each router would ask the same allocator for every waiting call. The pauses
/// double, end with a loan, and all end when the store is back.
#[test]
fn loan_backoff_doubles_until_tokens_arrive() {
    let acme = WorkspaceName::new("acme");
    let mut backoff = LoanBackoff::default();
    let mut now = START;
    let mut asked = 0;
    while now < START.plus_ms(8_000) {
        if !backoff.is_paused(now, &acme) {
            asked += 1;
            backoff.record_refused(now, &acme);
        }
        now = now.plus_ms(50);
    }
    assert!(asked <= 6, "asked {asked} times in 8 s");
    backoff.record_lent(&acme);
    assert!(!backoff.is_paused(now, &acme));
    backoff.record_refused(now, &acme);
    assert!(backoff.is_paused(now, &acme));
    backoff.clear();
    assert!(!backoff.is_paused(now, &acme));
}

fn follower_of_others() -> PeerRing {
    let rings = (0..ROUTERS).map(|number| ring(number, ROUTERS));
    let choice = SourceSelector::default();
    let mut rings = rings.filter(|ring| choice.source(START, ring) != ChangeSource::Store);
    rings.next().expect("not all follow the store")
}

/// A step of a session.
#[derive(Clone, Copy, Debug)]
enum FollowStep {
    /// An object changes, or is removed.
    Change { object: u8, is_removed: bool },
    /// A router follows for one step; its answer may be lost.
    Follow { router: u8, is_lost: bool },
    /// A router loses or regains its connection to the store.
    Cut { router: u8, is_cut: bool },
    /// A router stops answering other routers, or resumes.
    Freeze { router: u8, is_frozen: bool },
    /// A router restarts.
    Restart { router: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for FollowStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let router = u8::arbitrary(source) % ROUTERS as u8;
        match u8::arbitrary(source) % 20 {
            0..=3 => FollowStep::Change {
                object: u8::arbitrary(source) % 4,
                is_removed: u8::arbitrary(source) % 3 == 0,
            },
            4..=13 => FollowStep::Follow {
                router,
                is_lost: u8::arbitrary(source) % 8 == 0,
            },
            14..=15 => FollowStep::Cut {
                router,
                is_cut: bool::arbitrary(source),
            },
            16 => FollowStep::Freeze {
                router,
                is_frozen: bool::arbitrary(source),
            },
            17 => FollowStep::Restart { router },
            _ => FollowStep::Wait {
                ms: u16::arbitrary(source) % 1_500,
            },
        }
    }
}

/// Objects by number, each with the revision of its last change.
type Objects = BTreeMap<u8, u64>;

/// A change of one object: its number, its revision, and whether it was removed.
#[derive(Clone, Copy, Debug)]
struct ObjectChange {
    object: u8,
    revision: u64,
    is_removed: bool,
}

impl ObjectChange {
    fn encode(self) -> Vec<u8> {
        let mut bytes = vec![self.object, u8::from(self.is_removed)];
        bytes.extend(self.revision.to_be_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Self {
        let revision = bytes[2..10].try_into().expect("a revision");
        ObjectChange {
            object: bytes[0],
            is_removed: bytes[1] == 1,
            revision: u64::from_be_bytes(revision),
        }
    }

    fn apply(self, objects: &mut Objects) {
        match self.is_removed {
            true => objects.remove(&self.object),
            false => objects.insert(self.object, self.revision),
        };
    }
}

#[derive(Debug)]
struct SessionRouter {
    ring: PeerRing,
    choice: SourceSelector,
    log: ChangeLog,
    objects: Objects,
    revision: u64,
    is_cut: bool,
    is_frozen: bool,
}

/// A store, its history, and the routers of a domain.
struct FollowSession {
    now: ClockTime,
    /// The objects at each revision.
    history: Vec<Objects>,
    changes: Vec<ObjectChange>,
    routers: Vec<SessionRouter>,
}

impl FollowSession {
    fn new() -> Self {
        let mut session = FollowSession {
            now: START,
            history: vec![Objects::new(), Objects::new()],
            changes: Vec::new(),
            routers: Vec::new(),
        };
        for number in 0..ROUTERS {
            let router = session.start(number);
            session.routers.push(router);
        }
        session
    }

    fn revision(&self) -> u64 {
        self.history.len() as u64 - 1
    }

    /// A router lists the store at its start, before anything else.
    fn start(&self, number: usize) -> SessionRouter {
        let mut log = ChangeLog::default();
        log.restart(self.revision());
        SessionRouter {
            ring: ring(number, ROUTERS),
            choice: SourceSelector::default(),
            log,
            objects: self.history.last().expect("the newest").clone(),
            revision: self.revision(),
            is_cut: false,
            is_frozen: false,
        }
    }

    fn run(&mut self, step: FollowStep) {
        match step {
            FollowStep::Change { object, is_removed } => self.change(object, is_removed),
            FollowStep::Follow { router, is_lost } => self.follow(router.into(), is_lost),
            FollowStep::Cut { router, is_cut } => {
                self.routers[usize::from(router)].is_cut = is_cut;
            }
            FollowStep::Freeze { router, is_frozen } => {
                self.routers[usize::from(router)].is_frozen = is_frozen;
            }
            FollowStep::Restart { router } => {
                let number = usize::from(router);
                self.routers[number] = self.start(number);
            }
            FollowStep::Wait { ms } => self.now = self.now.plus_ms(ms.into()),
        }
    }

    fn change(&mut self, object: u8, is_removed: bool) {
        let revision = self.revision() + 1;
        let change = ObjectChange {
            object,
            revision,
            is_removed,
        };
        let mut objects = self.history.last().expect("the newest").clone();
        change.apply(&mut objects);
        self.history.push(objects);
        self.changes.push(change);
    }

    fn follow(&mut self, number: usize, is_lost: bool) {
        if self.routers[number].is_frozen {
            return;
        }
        let router = &self.routers[number];
        match router.choice.source(self.now, &router.ring) {
            ChangeSource::Store => self.follow_store(number),
            ChangeSource::Router(peer) => self.follow_router(number, &peer.host, is_lost),
        }
    }

    fn follow_store(&mut self, number: usize) {
        if self.routers[number].is_cut {
            return;
        }
        let known = self.routers[number].revision;
        let newer = self.changes.iter().filter(|change| change.revision > known);
        let newer: Vec<_> = newer.copied().collect();
        for change in newer {
            self.take(number, change);
        }
    }

    fn take(&mut self, number: usize, change: ObjectChange) {
        let router = &mut self.routers[number];
        change.apply(&mut router.objects);
        router.log.add(change.revision, change.encode());
        router.revision = router.revision.max(change.revision);
    }

    fn follow_router(&mut self, number: usize, host: &HostName, is_lost: bool) {
        let now = self.now;
        let at = (0..ROUTERS).find(|at| self::host(*at) == *host);
        let at = at.expect("a router of the domain");
        let known = self.routers[number].revision;
        let asked = &mut self.routers[at];
        if asked.is_frozen || is_lost {
            return self.follow_failed(number, host, FollowFailure::Silent);
        }
        if !asked.choice.is_follower(now, &asked.ring) {
            asked.choice.record_request(now);
            return self.follow_failed(number, host, FollowFailure::Starting);
        }
        if asked.is_cut {
            return self.follow_failed(number, host, FollowFailure::Unavailable);
        }
        match asked.log.since(known) {
            ChangeReply::Nothing => {}
            ChangeReply::Gone => self.follow_store(number),
            ChangeReply::Changes(batches) => {
                for batch in batches {
                    self.take(number, ObjectChange::decode(&batch.body));
                }
            }
        }
    }

    fn follow_failed(&mut self, number: usize, host: &HostName, failure: FollowFailure) {
        let router = &mut self.routers[number];
        router.choice.record_failure(self.now, host, failure);
    }

    /// Whether each router has the objects of the store at the router's revision.
    fn is_consistent(&self) -> bool {
        self.routers
            .iter()
            .all(|router| self.history[router.revision as usize] == router.objects)
    }

    /// Restores all connections for some seconds.
    fn heal(&mut self) {
        for router in &mut self.routers {
            router.is_cut = false;
            router.is_frozen = false;
        }
        for _ in 0..20 {
            self.now = self.now.plus_ms(250);
            (0..ROUTERS).for_each(|number| self.follow(number, false));
        }
    }

    fn is_caught_up(&self) -> bool {
        let newest = self.revision();
        self.routers.iter().all(|router| router.revision == newest)
    }
}

/// Objects change while routers follow the store or each other, are partitioned, freeze and
/// restart, and answers are lost. At any time a router's state equals that of the store at one
/// revision: no change is missed, undone or applied early. After reconnection, all reach the newest
/// revision within seconds.
#[test]
fn follow_random_sessions_miss_no_change() {
    fn holds(steps: Vec<FollowStep>) -> bool {
        let mut session = FollowSession::new();
        for step in steps {
            let before: Vec<_> = session
                .routers
                .iter()
                .map(|router| router.revision)
                .collect();
            session.run(step);
            let has_regressed = session
                .routers
                .iter()
                .zip(before)
                .any(|(router, before)| router.revision < before);
            if has_regressed || !session.is_consistent() {
                return false;
            }
        }
        session.heal();
        session.is_consistent() && session.is_caught_up()
    }
    QuickCheck::new()
        .rng(Gen::new(300))
        .tests(1_500)
        .quickcheck(holds as fn(Vec<FollowStep>) -> bool);
}
