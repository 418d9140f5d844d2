//! Tests of the slow start of cold targets, without a network.

use std::net::SocketAddr;

use beechsaddle_core::gateway::{
    ChoiceInput, EvacuationRecord, EvacuationRegistry, PeerRecord, PeerRing, PolicyOptions,
    PromptShape, TargetPhase, TargetRecord, TargetRoster, WarmUpPlan, WarmUpRule, WarmUpWindow,
    choose_target,
};
use beechsaddle_core::prelude::*;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const START: ClockTime = ClockTime::from_millis(1_000_000);

const RULE: WarmUpRule = WarmUpRule {
    per_s: 6.6,
    span_ms: 3_000,
};

/// What a cold target withstands from the whole fleet in a second at the most: half more than its rate,
/// and 5.
const ALLOWED: usize = 14;

/// The longest time to connect to a target, in milliseconds.
const CONNECT_MS: u64 = 350;

fn host(number: usize) -> HostName {
    HostName::new(format!("host-{number}"))
}

/// The ring of one router that knows the first `known` routers and itself.
fn ring(number: usize, known: usize) -> PeerRing {
    let domain = DomainName::new("north");
    let mut ring = PeerRing::new(host(number), domain.clone());
    let numbers = (0..known).chain((number >= known).then_some(number));
    ring.take_listing(numbers.map(|number| PeerRecord {
        host: host(number),
        domain: domain.clone(),
        address: Some(([127, 0, 0, 1], 7_000 + number as u16).into()),
        link_mbps: 0,
    }));
    ring
}

fn cold_record(name: &str, revision: u64, cold_ms: u64) -> TargetRecord {
    TargetRecord {
        name: TargetName::new(name),
        started: None,
        revision,
        service: ServiceName::new("engine"),
        version: SoftwareVersion::new("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: DomainName::new("north"),
        slots: 6,
        phase: TargetPhase::Ready,
        cold_ms,
    }
}

/// Whether a router that shares all targets may send a request at a time.
fn may_send(roster: &TargetRoster, now: ClockTime, evacuations: &EvacuationRegistry) -> bool {
    let ring = ring(0, 1);
    let input = ChoiceInput {
        service: &ServiceName::new("engine"),
        version: None,
        is_engine: true,
        domain: &DomainName::new("north"),
        prompt: &PromptShape::default(),
        request_id: "id",
        tried: &[],
        runs_once: true,
        suspect: None,
        evacuations,
        warm_up: Some(WarmUpPlan {
            rule: RULE,
            ring: &ring,
            knows_routers: true,
        }),
        routers: 1,
        policy: PolicyOptions::default(),
    };
    choose_target(roster, now, input).is_some()
}

/// Records as many requests as this router may send to a cold target.
fn use_share(roster: &mut TargetRoster, now: ClockTime, name: &str) {
    let stats = roster.stats_mut(&TargetName::new(name)).expect("a target");
    for _ in 0..RULE.share().requests {
        stats.warm_up.record(now, RULE.share());
    }
}

/// Calls that arrive at routers, and how long each takes to connect, in milliseconds.
#[derive(Clone, Debug)]
struct CallBurst {
    calls: Vec<(u16, u16, u16)>,
}

impl Arbitrary for CallBurst {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = 600 + usize::arbitrary(g) % 600;
        let calls = (0..count).map(|_| {
            let (router, at, delay) = (u16::arbitrary(g), u16::arbitrary(g), u16::arbitrary(g));
            (router, at % 4_000, delay % CONNECT_MS as u16)
        });
        CallBurst {
            calls: calls.collect(),
        }
    }
}

/// A router of the model.
struct RouterModel {
    is_sharer: bool,
    window: WarmUpWindow,
}

/// Returns the most requests that reach a cold target in any second. Router `number` knows the routers
/// that `known_by` tells; those for which `restarts` holds lose their windows after two seconds.
fn most_in_a_second(
    burst: &CallBurst,
    routers: usize,
    known_by: impl Fn(usize) -> usize,
    restarts: impl Fn(usize) -> bool,
) -> usize {
    let mut fleet: Vec<_> = (0..routers)
        .map(|number| {
            let ring = ring(number, known_by(number));
            let plan = WarmUpPlan {
                rule: RULE,
                ring: &ring,
                knows_routers: true,
            };
            RouterModel {
                is_sharer: plan.is_sharer(&TargetName::new("cold-1")),
                window: WarmUpWindow::default(),
            }
        })
        .collect();
    let mut calls = burst.calls.clone();
    calls.sort_by_key(|(_, at, _)| *at);
    let mut arrivals = Vec::new();
    let mut has_restarted = false;
    for (router, at, delay) in calls {
        if at >= 2_000 && !has_restarted {
            has_restarted = true;
            let windows = fleet.iter_mut().enumerate();
            windows
                .filter(|(number, _)| restarts(*number))
                .for_each(|(_, router)| router.window = WarmUpWindow::default());
        }
        let router = &mut fleet[usize::from(router) % routers];
        let now = START.plus_ms(at.into());
        if router.is_sharer && router.window.wait_ms(now, RULE.share()) == 0 {
            router.window.record(now, RULE.share());
            arrivals.push(u64::from(at) + u64::from(delay));
        }
    }
    arrivals.sort_unstable();
    let counts = arrivals.iter().enumerate().map(|(number, first)| {
        let later = arrivals[number..].iter();
        later.take_while(|at| **at < first + 1_000).count()
    });
    counts.max().unwrap_or(0)
}

fn check_bursts(property: fn(CallBurst) -> bool) {
    QuickCheck::new()
        .tests(60)
        .quickcheck(property as fn(CallBurst) -> bool);
}

/// The whole fleet, routers that are cut off included, sends a cold target no more than its rate.
#[test]
fn fleet_stays_within_the_rate_of_a_cold_target() {
    check_bursts(|burst| {
        [1, 2, 8, 195].iter().all(|routers| {
            most_in_a_second(&burst, *routers, |_| *routers, |_| false) <= RULE.per_s as usize
        })
    });
}

/// A fleet has just doubled, and its first half does not know the second yet.
#[test]
fn routers_that_know_half_of_the_fleet_stay_within_the_allowed_sum() {
    check_bursts(|burst| {
        let known_by = |number| if number < 98 { 98 } else { 195 };
        most_in_a_second(&burst, 195, known_by, |_| false) <= ALLOWED
    });
}

/// Half of the fleet restarts at once and no longer knows what it has sent.
#[test]
fn restarted_half_of_the_fleet_stays_within_the_allowed_sum() {
    check_bursts(|burst| {
        most_in_a_second(&burst, 8, |_| 8, |number| number % 2 == 0) <= ALLOWED
            && most_in_a_second(&burst, 195, |_| 195, |number| number % 2 == 0) <= ALLOWED
    });
}

/// Every cold target is shared by the same few routers, so that it gets requests while it warms up.
#[test]
fn each_cold_target_has_its_sharers() {
    let rings: Vec<_> = (0..74).map(|number| ring(number, 74)).collect();
    for target in 0..50 {
        let name = TargetName::new(format!("engine-{target}"));
        let plans = rings.iter().map(|ring| WarmUpPlan {
            rule: RULE,
            ring,
            knows_routers: true,
        });
        let sharers = plans.filter(|plan| plan.is_sharer(&name)).count();
        assert_eq!(sharers as u64, RULE.share().sharers);
    }
}

/// A router without a complete list of routers cannot know its part, and sends cold targets nothing.
#[test]
fn unlisted_router_sends_cold_targets_nothing() {
    let ring = ring(0, 1);
    let plan = WarmUpPlan {
        rule: RULE,
        ring: &ring,
        knows_routers: false,
    };
    assert!(!plan.is_sharer(&TargetName::new("engine-1")));
}

/// Targets that withstand less than one request per second get one in a longer time.
#[test]
fn slow_rates_stretch_the_window() {
    let share = WarmUpRule {
        per_s: 0.5,
        span_ms: 3_000,
    }
    .share();
    assert_eq!((share.sharers, share.requests), (1, 1));
    assert!(share.window_ms >= 2_000);
}

/// A target that is cold gets this router's part, and more as soon as it is warm.
#[test]
fn cold_target_gets_a_part_until_it_is_warm() {
    let evacuations = EvacuationRegistry::disabled();
    let mut roster = TargetRoster::default();
    roster.take_listing(START, [cold_record("a", 1, 3_000)]);
    assert!(may_send(&roster, START, &evacuations));
    use_share(&mut roster, START, "a");
    assert!(!may_send(&roster, START.plus_ms(500), &evacuations));
    assert!(may_send(&roster, START.plus_ms(1_400), &evacuations));
    use_share(&mut roster, START.plus_ms(2_500), "a");
    assert!(!may_send(&roster, START.plus_ms(2_900), &evacuations));
    assert!(may_send(&roster, START.plus_ms(3_000), &evacuations));
}

/// An entry that is listed once more neither extends nor ends a slow start; an older one is ignored.
#[test]
fn late_entries_do_not_change_a_slow_start() {
    let evacuations = EvacuationRegistry::disabled();
    let mut roster = TargetRoster::default();
    roster.take_listing(START, [cold_record("a", 5, 3_000)]);
    let later = START.plus_ms(2_500);
    roster.take_listing(later, [cold_record("a", 5, 3_000)]);
    roster.put(later, cold_record("a", 4, 0));
    use_share(&mut roster, later, "a");
    assert!(!may_send(&roster, later, &evacuations));
    assert!(may_send(&roster, START.plus_ms(3_000), &evacuations));
}

/// A warm target announces in a response that it has become cold. Requests that were sent before count.
#[test]
fn response_can_announce_a_cold_target() {
    let evacuations = EvacuationRegistry::disabled();
    let mut roster = TargetRoster::default();
    roster.take_listing(START, [cold_record("a", 1, 0)]);
    use_share(&mut roster, START, "a");
    assert!(may_send(&roster, START.plus_ms(10), &evacuations));
    let entry = roster.get_mut(&TargetName::new("a")).expect("a target");
    entry.record_cold(START.plus_ms(10), 3_000);
    entry.record_cold(START.plus_ms(20), 0);
    assert!(!may_send(&roster, START.plus_ms(20), &evacuations));
    assert!(may_send(&roster, START.plus_ms(3_010), &evacuations));
}

/// A new target at the address of an older one starts cold, whatever the older one was sent.
#[test]
fn new_target_at_the_same_address_starts_cold() {
    let evacuations = EvacuationRegistry::disabled();
    let mut roster = TargetRoster::default();
    roster.take_entry(START, cold_record("a", 1, 0));
    roster.take_entry(START, cold_record("b", 2, 3_000));
    // The process of "b" has rejected a request to "a".
    let older = roster.get_mut(&TargetName::new("a")).expect("a target");
    older.mark_replaced();
    use_share(&mut roster, START, "b");
    assert!(!may_send(&roster, START.plus_ms(100), &evacuations));
}

/// The targets of a domain that was taken back count as cold for the service's slow start, although their
/// entries do not say so yet.
#[test]
fn returned_domain_counts_as_cold() {
    let domain = DomainName::new("north");
    let mut evacuations = EvacuationRegistry::default();
    let record = EvacuationRecord {
        domain: domain.clone(),
        revision: 1,
    };
    evacuations.take_listing(START, 1, [record]);
    let mut roster = TargetRoster::default();
    roster.take_listing(START, [cold_record("a", 1, 0)]);
    let returned_at = START.plus_ms(8_000);
    evacuations.withdraw(returned_at, &domain);
    use_share(&mut roster, returned_at, "a");
    assert!(!may_send(&roster, returned_at.plus_ms(200), &evacuations));
    assert!(may_send(&roster, returned_at.plus_ms(3_000), &evacuations));
}
