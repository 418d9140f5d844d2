//! Tests of evacuations of failure domains, without a network.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    ChoiceInput, EvacuationChange, EvacuationRecord, EvacuationRegistry, PolicyOptions, PromptPart,
    PromptShape, TargetChoice, TargetPhase, TargetRecord, TargetRoster, choose_target,
};
use beechsaddle_core::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: ClockTime = ClockTime::from_millis(1_000_000);

const DOMAINS: [&str; 3] = ["north", "south", "west"];

fn record(domain: &str, revision: u64) -> EvacuationRecord {
    EvacuationRecord {
        domain: DomainName::new(domain),
        revision,
    }
}

/// Two engines in each domain.
fn roster() -> TargetRoster {
    let mut roster = TargetRoster::default();
    let names = DOMAINS.iter().flat_map(|domain| {
        [1, 2].map(|number| (format!("{domain}-{number}"), DomainName::new(domain)))
    });
    let records = names
        .enumerate()
        .map(|(index, (name, domain))| TargetRecord {
            name: TargetName::new(name),
            started: None,
            revision: 1,
            service: ServiceName::new("engine"),
            version: SoftwareVersion::new("v1"),
            address: SocketAddr::from(([127, 0, 0, 1], 8_000 + index as u16)),
            domain,
            slots: 6,
            phase: TargetPhase::Ready,
            cold_ms: 0,
        });
    roster.take_listing(START, records);
    roster
}

fn choose(
    roster: &TargetRoster,
    now: ClockTime,
    evacuations: &EvacuationRegistry,
    shared: &str,
) -> Option<TargetChoice> {
    let part = |id: &str, tokens| PromptPart {
        id: id.to_owned(),
        tokens,
    };
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: None,
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt: &PromptShape {
            parts: vec![part(shared, 6_000), part("own", 200)],
        },
        request_id: "id",
        tried: &[],
        runs_once: true,
        suspect: None,
        evacuations,
        warm_up: None,
        routers: 1,
        policy: PolicyOptions::default(),
    };
    choose_target(roster, now, input)
}

/// An engine in an evacuated domain gets no request and is no source of parts, even if it is the
/// affinity target or is in the router's own domain.
#[test]
fn evacuated_domain_gets_no_request_and_serves_no_part() {
    let roster = roster();
    let mut evacuations = EvacuationRegistry::default();
    evacuations.take_listing(START, 5, [record("north", 4)]);
    let evacuated: BTreeSet<_> = roster
        .entries()
        .filter(|entry| entry.record.domain.as_str() == "north")
        .map(|entry| entry.record.address)
        .collect();
    for number in 0..200 {
        let choice = choose(&roster, START, &evacuations, &format!("part-{number}"));
        let choice = choice.expect("another domain");
        assert!(!choice.target.as_str().starts_with("north"));
        assert_eq!(choice.candidates, 4);
        let source = choice.fetch_from;
        assert!(source.is_none_or(|source| !evacuated.contains(&source)));
    }
}

/// A router that starts during an evacuation sends nothing before it knows the evacuations.
#[test]
fn unknown_evacuations_allow_no_target() {
    let mut evacuations = EvacuationRegistry::default();
    assert!(choose(&roster(), START, &evacuations, "part").is_none());
    evacuations.take_listing(START, 1, []);
    assert!(choose(&roster(), START, &evacuations, "part").is_some());
}

/// All domains can be evacuated; then there is no target.
#[test]
fn all_domains_evacuated_leaves_no_target() {
    let mut evacuations = EvacuationRegistry::default();
    let records = DOMAINS.map(|domain| record(domain, 3));
    evacuations.take_listing(START, 3, records);
    assert!(choose(&roster(), START, &evacuations, "part").is_none());
}

/// A domain without targets, a domain that is evacuated twice and one that was never evacuated change
/// nothing else.
#[test]
fn repeated_and_unknown_domains_are_no_change() {
    let mut evacuations = EvacuationRegistry::default();
    evacuations.take_listing(START, 1, []);
    let started = evacuations.start(START, record("east", 2));
    assert_eq!(started, Some(EvacuationChange::Started(record("east", 2))));
    let later = START.plus_ms(700);
    assert_eq!(evacuations.start(later, record("east", 3)), None);
    let (_, state) = evacuations.in_force().next().expect("an evacuation");
    assert_eq!((state.revision, state.since), (3, START));
    assert_eq!(evacuations.withdraw(later, &DomainName::new("north")), None);
    assert!(evacuations.allows(&DomainName::new("north")));
}

/// Engines of a domain that was taken back fetch the parts that other engines have processed meanwhile.
#[test]
fn returned_domain_fetches_parts() {
    let roster = roster();
    let mut evacuations = EvacuationRegistry::default();
    evacuations.take_listing(START, 2, [record("north", 1)]);
    let now = START.plus_ms(30_000);
    let domain = DomainName::new("north");
    evacuations.withdraw(now, &domain);
    assert_eq!(
        evacuations.returned_for_ms(now.plus_ms(90), &domain),
        Some(90)
    );
    let shared = (0..)
        .map(|number| format!("part-{number}"))
        .find(|shared| {
            let choice = choose(&roster, now, &evacuations, shared).expect("a target");
            choice.target.as_str().starts_with("north") && choice.is_affinity_target
        })
        .expect("a part");
    let choice = choose(&roster, now, &evacuations, &shared).expect("a target");
    assert!(choice.fetch_from.is_some());
    let much_later = now.plus_ms(60_000);
    let choice = choose(&roster, much_later, &evacuations, &shared).expect("a target");
    assert_eq!(choice.fetch_from, None);
}

/// One event in a fleet that follows the store.
#[derive(Clone, Copy, Debug)]
enum FleetEvent {
    /// The operator evacuates a domain.
    Set(usize),
    /// The operator withdraws the evacuation of a domain.
    Withdraw(usize),
    /// A router receives the next change, one of several that may wait for it.
    Deliver(usize),
    /// A router lists all evacuations.
    List(usize),
    /// A router receives a listing that was made some changes ago.
    LateList(usize, usize),
    /// A router restarts and knows nothing.
    Restart(usize),
}

impl Arbitrary for FleetEvent {
    fn arbitrary(g: &mut Gen) -> Self {
        let router = usize::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0 => FleetEvent::Set(router % DOMAINS.len()),
            1 => FleetEvent::Withdraw(router % DOMAINS.len()),
            2 => FleetEvent::List(router),
            3 => FleetEvent::LateList(router, usize::arbitrary(g) % 4),
            4 => FleetEvent::Restart(router),
            _ => FleetEvent::Deliver(router),
        }
    }
}

/// The store: the evacuated domains after each revision.
struct StoreModel {
    states: Vec<BTreeSet<usize>>,
}

impl StoreModel {
    fn change(&mut self, domain: usize, is_set: bool) {
        let mut next = self.states[self.states.len() - 1].clone();
        match is_set {
            true => next.insert(domain),
            false => next.remove(&domain),
        };
        self.states.push(next);
    }

    fn listing(&self, revision: usize) -> Vec<EvacuationRecord> {
        let domains = self.states[revision].iter();
        domains
            .map(|domain| record(DOMAINS[*domain], revision as u64))
            .collect()
    }
}

/// A router and the revision that it has seen; `None` before its first listing.
#[derive(Default)]
struct RouterModel {
    registry: EvacuationRegistry,
    seen: Option<usize>,
}

impl RouterModel {
    fn list(&mut self, store: &StoreModel, revision: usize) {
        let records = store.listing(revision);
        self.registry.take_listing(START, revision as u64, records);
        let seen = self.seen.unwrap_or(0);
        self.seen = Some(seen.max(revision));
    }

    /// Applies the change after the one last seen.
    fn deliver(&mut self, store: &StoreModel) {
        let Some(seen) = self.seen else {
            return;
        };
        let Some(next) = store.states.get(seen + 1) else {
            return;
        };
        for domain in next.difference(&store.states[seen]) {
            let change = record(DOMAINS[*domain], seen as u64 + 1);
            self.registry.start(START, change);
        }
        for domain in store.states[seen].difference(next) {
            let domain = DomainName::new(DOMAINS[*domain]);
            self.registry.withdraw(START, &domain);
        }
        self.registry.record_revision(seen as u64 + 1);
        self.seen = Some(seen + 1);
    }

    fn check(&self, store: &StoreModel) -> bool {
        let known = self.seen.map(|seen| &store.states[seen]);
        (0..DOMAINS.len()).all(|domain| {
            let allows = self.registry.allows(&DomainName::new(DOMAINS[domain]));
            allows == known.is_some_and(|known| !known.contains(&domain))
        })
    }
}

fn follows_store(events: &[FleetEvent], routers: usize) -> bool {
    let mut store = StoreModel {
        states: vec![BTreeSet::new()],
    };
    let mut fleet: Vec<_> = (0..routers).map(|_| RouterModel::default()).collect();
    for event in events {
        let newest = store.states.len() - 1;
        match *event {
            FleetEvent::Set(domain) => store.change(domain, true),
            FleetEvent::Withdraw(domain) => store.change(domain, false),
            FleetEvent::Deliver(router) => fleet[router % routers].deliver(&store),
            FleetEvent::List(router) => fleet[router % routers].list(&store, newest),
            FleetEvent::LateList(router, age) => {
                fleet[router % routers].list(&store, newest.saturating_sub(age));
            }
            FleetEvent::Restart(router) => fleet[router % routers] = RouterModel::default(),
        }
        if !fleet.iter().all(|router| router.check(&store)) {
            return false;
        }
    }
    true
}

/// Whatever is set, withdrawn, delayed or restarted, in any order: each router allows exactly the domains
/// that were not evacuated at the newest revision that it has seen, and a late listing undoes nothing.
#[test]
fn every_router_follows_the_store_in_any_order() {
    fn property(events: Vec<FleetEvent>) -> bool {
        follows_store(&events, 8) && follows_store(&events, 195)
    }
    QuickCheck::new()
        .tests(200)
        .quickcheck(property as fn(Vec<FleetEvent>) -> bool);
}
