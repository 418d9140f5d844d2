//! Tests of routers that follow each other instead of the store, without a network.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    FollowDoubt, LoanPauses, NewsChoice, NewsLog, NewsReply, NewsSource, PeerRecord, PeerRing,
};
use beechsaddle_core::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: ClockTime = ClockTime::from_millis(1_000_000);

/// Routers of the domain in all tests: enough that they relay.
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
    }));
    ring
}

fn body(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

/// One who knows everything gets nothing, one that is behind gets what it lacks, and one that is too far behind
/// learns that: a gap would hide a target that left.
#[test]
fn since_gives_what_is_newer_or_gone() {
    let mut log = NewsLog::default();
    assert_eq!(log.since(5), NewsReply::Gone);
    log.restart(10);
    assert_eq!(log.since(9), NewsReply::Gone);
    assert_eq!(log.since(10), NewsReply::Nothing);
    log.add(12, body("a"));
    log.note_unchanged(15);
    assert_eq!(log.since(12), NewsReply::Nothing);
    log.add(20, body("b"));
    let bodies = |reply| match reply {
        NewsReply::News(batches) => batches.iter().map(|batch| batch.body.to_vec()).collect(),
        NewsReply::Nothing | NewsReply::Gone => Vec::new(),
    };
    assert_eq!(bodies(log.since(10)), [body("a"), body("b")]);
    assert_eq!(bodies(log.since(15)), [body("b")]);
    assert_eq!(log.revision(), 20);
}

/// A log keeps a bounded part of what changed, however much comes, and never has a gap in it.
#[test]
fn add_without_end_keeps_a_bounded_part() {
    let mut log = NewsLog::default();
    log.restart(1);
    for revision in 2..500 {
        log.add(revision, vec![0; 100_000]);
    }
    let kept = (1..500).filter(|revision| log.since(*revision) != NewsReply::Gone);
    let kept: Vec<_> = kept.collect();
    assert!(kept.len() < 30, "{}", kept.len());
    assert_eq!(kept.last(), Some(&499));
}

/// All routers of a domain agree on two that follow the store, and each of the others follows one of them. In a
/// small domain all follow the store.
#[test]
fn source_two_of_a_domain_follow_the_store() {
    let choice = NewsChoice::default();
    let sources = |routers| -> Vec<_> {
        (0..routers)
            .map(|number| choice.source(START, &ring(number, routers)))
            .collect()
    };
    let large = sources(ROUTERS);
    let followers: Vec<_> = (0..ROUTERS)
        .filter(|number| large[*number] == NewsSource::Store)
        .map(host)
        .collect();
    assert_eq!(followers.len(), 2);
    for source in large {
        if let NewsSource::Router(peer) = source {
            assert!(followers.contains(&peer.host));
        }
    }
    let small = sources(4);
    assert!(small.iter().all(|source| *source == NewsSource::Store));
}

/// The routers that are followed cannot reach the store, and this one can. It asks the next in line, and after a few
/// the store itself: whoever reaches the store never waits for those that do not. When the first are in touch again,
/// they are followed again.
#[test]
fn source_followers_away_next_in_line_then_store() {
    let ring = follower_of_others();
    let mut choice = NewsChoice::default();
    let mut asked = Vec::new();
    while let NewsSource::Router(peer) = choice.source(START, &ring) {
        choice.note_doubt(START, &peer.host, FollowDoubt::Away);
        asked.push(peer.host);
    }
    assert!((3..=4).contains(&asked.len()), "{asked:?}");
    assert_eq!(choice.source(START, &ring), NewsSource::Store);
    let NewsSource::Router(peer) = choice.source(START.plus_ms(1_000), &ring) else {
        panic!("nobody is followed");
    };
    assert_eq!(peer.host, asked[0]);
}

/// Two routers in a row do not answer, which costs the time of two answers. The store is asked at once, before a third
/// silent one makes a change come into force too late.
#[test]
fn source_two_silent_then_store() {
    let ring = follower_of_others();
    let mut choice = NewsChoice::default();
    for _ in 0..2 {
        let NewsSource::Router(peer) = choice.source(START, &ring) else {
            panic!("nobody is followed");
        };
        choice.note_doubt(START, &peer.host, FollowDoubt::Silent);
    }
    assert_eq!(choice.source(START, &ring), NewsSource::Store);
}

/// Routers that see another list ask this one. It follows the store for them, and stops when nobody asks.
#[test]
fn note_asked_makes_a_follower_for_a_while() {
    let ring = follower_of_others();
    let mut choice = NewsChoice::default();
    assert!(!choice.is_follower(START, &ring));
    choice.note_asked(START);
    assert!(choice.is_follower(START, &ring));
    assert_eq!(choice.source(START, &ring), NewsSource::Store);
    assert!(choice.is_follower(START.plus_ms(2_000), &ring));
    assert!(!choice.is_follower(START.plus_ms(5_000), &ring));
}

/// Of many routers each asks the same keeper all through an outage, for each call that waits. The pauses double,
/// end with a loan, and all end when the store is back.
#[test]
fn loan_pauses_double_until_tokens_come() {
    let acme = WorkspaceName::new("acme");
    let mut pauses = LoanPauses::default();
    let mut now = START;
    let mut asked = 0;
    while now < START.plus_ms(8_000) {
        if !pauses.is_paused(now, &acme) {
            asked += 1;
            pauses.note_refused(now, &acme);
        }
        now = now.plus_ms(50);
    }
    assert!(asked <= 6, "asked {asked} times in 8 s");
    pauses.note_lent(&acme);
    assert!(!pauses.is_paused(now, &acme));
    pauses.note_refused(now, &acme);
    assert!(pauses.is_paused(now, &acme));
    pauses.clear();
    assert!(!pauses.is_paused(now, &acme));
}

fn follower_of_others() -> PeerRing {
    let rings = (0..ROUTERS).map(|number| ring(number, ROUTERS));
    let choice = NewsChoice::default();
    let mut rings = rings.filter(|ring| choice.source(START, ring) != NewsSource::Store);
    rings.next().expect("not all follow the store")
}

/// What happens next in a session.
#[derive(Clone, Copy, Debug)]
enum NewsStep {
    /// An object changes, or is removed.
    Change { object: u8, is_removed: bool },
    /// A router takes one step of following; its answer may be lost.
    Follow { router: u8, is_lost: bool },
    /// A router and the store lose each other, or find each other again.
    Cut { router: u8, is_cut: bool },
    /// A router answers no other one, or does again.
    Freeze { router: u8, is_frozen: bool },
    /// A router starts anew.
    Restart { router: u8 },
    /// Time passes.
    Wait { ms: u16 },
}

impl Arbitrary for NewsStep {
    fn arbitrary(source: &mut Gen) -> Self {
        let router = u8::arbitrary(source) % ROUTERS as u8;
        match u8::arbitrary(source) % 20 {
            0..=3 => NewsStep::Change {
                object: u8::arbitrary(source) % 4,
                is_removed: u8::arbitrary(source) % 3 == 0,
            },
            4..=13 => NewsStep::Follow {
                router,
                is_lost: u8::arbitrary(source) % 8 == 0,
            },
            14..=15 => NewsStep::Cut {
                router,
                is_cut: bool::arbitrary(source),
            },
            16 => NewsStep::Freeze {
                router,
                is_frozen: bool::arbitrary(source),
            },
            17 => NewsStep::Restart { router },
            _ => NewsStep::Wait {
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
    choice: NewsChoice,
    log: NewsLog,
    objects: Objects,
    revision: u64,
    is_cut: bool,
    is_frozen: bool,
}

/// A store, its history, and the routers of a domain.
struct NewsSession {
    now: ClockTime,
    /// The objects at each revision.
    history: Vec<Objects>,
    changes: Vec<ObjectChange>,
    routers: Vec<SessionRouter>,
}

impl NewsSession {
    fn new() -> Self {
        let mut session = NewsSession {
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

    /// A router that starts lists the store before it does anything else.
    fn start(&self, number: usize) -> SessionRouter {
        let mut log = NewsLog::default();
        log.restart(self.revision());
        SessionRouter {
            ring: ring(number, ROUTERS),
            choice: NewsChoice::default(),
            log,
            objects: self.history.last().expect("the newest").clone(),
            revision: self.revision(),
            is_cut: false,
            is_frozen: false,
        }
    }

    fn run(&mut self, step: NewsStep) {
        match step {
            NewsStep::Change { object, is_removed } => self.change(object, is_removed),
            NewsStep::Follow { router, is_lost } => self.follow(router.into(), is_lost),
            NewsStep::Cut { router, is_cut } => {
                self.routers[usize::from(router)].is_cut = is_cut;
            }
            NewsStep::Freeze { router, is_frozen } => {
                self.routers[usize::from(router)].is_frozen = is_frozen;
            }
            NewsStep::Restart { router } => {
                let number = usize::from(router);
                self.routers[number] = self.start(number);
            }
            NewsStep::Wait { ms } => self.now = self.now.plus_ms(ms.into()),
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
            NewsSource::Store => self.follow_store(number),
            NewsSource::Router(peer) => self.follow_router(number, &peer.host, is_lost),
        }
    }

    fn follow_store(&mut self, number: usize) {
        if self.routers[number].is_cut {
            return;
        }
        let known = self.routers[number].revision;
        let news = self.changes.iter().filter(|change| change.revision > known);
        let news: Vec<_> = news.copied().collect();
        for change in news {
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
            return self.doubt(number, host, FollowDoubt::Silent);
        }
        if !asked.choice.is_follower(now, &asked.ring) {
            asked.choice.note_asked(now);
            return self.doubt(number, host, FollowDoubt::Beginning);
        }
        if asked.is_cut {
            return self.doubt(number, host, FollowDoubt::Away);
        }
        match asked.log.since(known) {
            NewsReply::Nothing => {}
            NewsReply::Gone => self.follow_store(number),
            NewsReply::News(batches) => {
                for batch in batches {
                    self.take(number, ObjectChange::decode(&batch.body));
                }
            }
        }
    }

    fn doubt(&mut self, number: usize, host: &HostName, doubt: FollowDoubt) {
        let router = &mut self.routers[number];
        router.choice.note_doubt(self.now, host, doubt);
    }

    /// Whether each router knows just what the store had at the router's revision.
    fn is_true(&self) -> bool {
        self.routers
            .iter()
            .all(|router| self.history[router.revision as usize] == router.objects)
    }

    /// All are in touch again for some seconds.
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

/// Objects change while routers follow the store or each other, are cut off, freeze and start anew, and answers are
/// lost. What a router believes is at any moment what the store had at one revision: no change is missed,
/// undone or taken from a later one. In touch again, all know the newest within seconds.
#[test]
fn news_random_sessions_miss_no_change() {
    fn holds(steps: Vec<NewsStep>) -> bool {
        let mut session = NewsSession::new();
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
            if has_regressed || !session.is_true() {
                return false;
            }
        }
        session.heal();
        session.is_true() && session.is_caught_up()
    }
    QuickCheck::new()
        .rng(Gen::new(300))
        .tests(1_500)
        .quickcheck(holds as fn(Vec<NewsStep>) -> bool);
}
