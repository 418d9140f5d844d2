//! Tests of how a router on a narrow link leaves the rotation, with links of a fixed rate.

use beechsaddle_core::gateway::{LinkDirection, LinkMeter, RotationGate, UpdateAge};
use beechsaddle_core::prelude::*;

/// The narrow links of a fleet of 86 routers: 10 Mbit/s.
const LINK_MBPS: f64 = 10.0;
const LINK_BYTES_PER_MS: f64 = LINK_MBPS * 125.0;
/// The caller with the highest load: 150 calls a second whose bodies have 8 KB, as much as one such
/// link carries.
const CALL_SPAN_MS: u64 = 7;
const BODY_BYTES: u64 = 8_000;
const SECONDS: u64 = 40;
/// The delay until the balancer reacts: two health checks, one a second.
const NOTICE_MS: u64 = 2_000;

/// A router, its link, and the bytes queued on it.
struct NarrowRouter {
    meter: LinkMeter,
    gate: RotationGate,
    queued_bytes: f64,
    updated_at: ClockTime,
    changed_at: ClockTime,
}

impl NarrowRouter {
    fn new() -> Self {
        NarrowRouter {
            meter: LinkMeter::new(Some(LINK_MBPS), START),
            gate: RotationGate::default(),
            queued_bytes: 0.0,
            updated_at: START,
            changed_at: START,
        }
    }

    /// Adds a call's body to the queue and to the meter, and its answer's events to the queue;
    /// returns the queueing delay in milliseconds.
    fn take_call(&mut self, now: ClockTime) -> f64 {
        let passed = now.since(self.updated_at) as f64 * LINK_BYTES_PER_MS;
        self.queued_bytes = (self.queued_bytes - passed).max(0.0);
        self.updated_at = now;
        self.queued_bytes += (BODY_BYTES + 1_500) as f64;
        self.meter
            .record_message(now, LinkDirection::In, BODY_BYTES);
        if self.gate.record(now, self.meter.is_full(now)) {
            self.changed_at = now;
        }
        self.queued_bytes / LINK_BYTES_PER_MS
    }

    /// Whether the balancer sends callers to the router.
    fn is_used(&self, now: ClockTime) -> bool {
        !self.gate.is_out_of_rotation(now) || now.since(self.changed_at) < NOTICE_MS
    }
}

const START: ClockTime = ClockTime::from_millis(1_000_000);

/// Simulates the caller over routers in the order of its hash; returns the number of calls that met
/// a queueing delay of over half a second.
fn simulate(mut routers: Vec<NarrowRouter>, has_gate: bool) -> u64 {
    let mut late = 0;
    for call in 0..SECONDS * 1_000 / CALL_SPAN_MS {
        let now = START.plus_ms(call * CALL_SPAN_MS);
        let first = routers.iter().position(|router| router.is_used(now));
        let chosen = first.filter(|_| has_gate).unwrap_or(0);
        late += u64::from(routers[chosen].take_call(now) > 500.0);
    }
    late
}

/// The hash of one caller selects a router whose link it fills. While the router stays in rotation,
/// the queue on its link grows for as long as the caller sends. If it leaves for a time, the caller
/// moves on after the seconds that the balancer needs, and each router has time to drain.
#[test]
fn narrow_link_leaves_the_rotation() {
    let routers = || (0..6).map(|_| NarrowRouter::new()).collect();
    let calls = SECONDS * 1_000 / CALL_SPAN_MS;
    let stays = simulate(routers(), false);
    assert!(stays > calls * 8 / 10, "{stays} of {calls}");
    let leaves = simulate(routers(), true);
    assert!(leaves < calls * 5 / 10, "{leaves} of {calls}");
}

/// A load within the link's capacity, or one long prompt on an idle link, takes no router out of
/// rotation; nor does any load if the capacity is not known.
#[test]
fn load_within_capacity_stays_in_rotation() {
    for (mbps, calls_a_second, body_bytes) in [
        (Some(LINK_MBPS), 60, 8_000),
        (Some(LINK_MBPS), 1, 400_000),
        (None, 1_000, 90_000),
    ] {
        let mut meter = LinkMeter::new(mbps, START);
        let mut gate = RotationGate::default();
        for call in 0..calls_a_second * 20 {
            let now = START.plus_ms(call * 1_000 / calls_a_second);
            meter.record_message(now, LinkDirection::In, body_bytes);
            assert!(!gate.record(now, meter.is_full(now)), "{mbps:?} {call}");
        }
    }
}

/// The caller returns when the router returns to the rotation. Each withdrawal is longer than the
/// last, and after a minute without a full link the first is short again.
#[test]
fn withdrawals_from_rotation_grow() {
    let mut gate = RotationGate::default();
    let mut spans = Vec::new();
    let mut now = START;
    for _ in 0..4 {
        while !gate.record(now, true) {
            now = now.plus_ms(100);
        }
        let left_at = now;
        while gate.is_out_of_rotation(now) {
            now = now.plus_ms(100);
        }
        spans.push(now.since(left_at));
        gate.record(now, false);
    }
    assert!(spans.is_sorted() && spans[1] >= 2 * spans[0], "{spans:?}");
    now = now.plus_ms(70_000);
    while !gate.record(now, true) {
        now = now.plus_ms(100);
    }
    let left_at = now;
    while gate.is_out_of_rotation(now) {
        now = now.plus_ms(100);
    }
    assert_eq!(now.since(left_at), spans[0]);
}

/// Time between two updates on a link that is free, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 1_750;

/// All routers are cut off from the store, and their neighbours say so within a round trip. A router whose
/// link was full a moment ago goes on serving its callers, who would find no other one that knows more.
#[test]
fn cut_of_all_routers_is_not_blamed_on_the_link() {
    let cut_at = ClockTime::from_millis(1_000_000);
    let mut age = UpdateAge::default();
    age.record_known(cut_at);
    for ms in (0..8_000).step_by(250) {
        let now = cut_at.plus_ms(ms);
        age.record_answer(now.plus_ms(2), now);
        assert!(!age.is_late_by_own_link(now.plus_ms(3), UPDATE_INTERVAL_MS));
    }
}

/// A congested link delays what neighbours say as well: late changes are blamed on it, until an answer
/// comes at once or the changes are known.
#[test]
fn late_answers_blame_the_link() {
    let full_at = ClockTime::from_millis(1_000_000);
    let mut age = UpdateAge::default();
    age.record_known(full_at);
    age.record_answer(full_at.plus_ms(5), full_at);
    let late = full_at.plus_ms(UPDATE_INTERVAL_MS + 1);
    assert!(age.is_late_by_own_link(late, UPDATE_INTERVAL_MS));
    age.record_answer(late, full_at.plus_ms(900));
    assert!(age.is_late_by_own_link(late, UPDATE_INTERVAL_MS));
    age.record_known(late);
    assert!(!age.is_late_by_own_link(late, UPDATE_INTERVAL_MS));
}

/// A router whose link was congested went on admitting calls under a configuration that others had replaced
/// seconds before, as only late targets counted.
#[test]
fn late_configurations_blame_the_link() {
    let full_at = ClockTime::from_millis(1_000_000);
    let mut age = UpdateAge::default();
    age.record_config_known(full_at);
    let late = full_at.plus_ms(UPDATE_INTERVAL_MS + 1);
    age.record_known(late);
    assert!(age.is_late_by_own_link(late, UPDATE_INTERVAL_MS));
    assert!(!age.knows_config(late, UPDATE_INTERVAL_MS));
    age.record_config_known(late);
    assert!(!age.is_late_by_own_link(late, UPDATE_INTERVAL_MS));
    assert!(age.knows_config(late, UPDATE_INTERVAL_MS));
}

/// A link was full of requests that still waited in its queue, and the meter of what had arrived showed half
/// of its capacity for seconds: a router went on admitting calls, although changes no longer arrived.
#[test]
fn link_half_full_of_calls_is_busy() {
    let now = ClockTime::from_millis(1_000_000);
    let mut link = LinkMeter::new(Some(10.0), now);
    let calls = 130 * 3;
    for call in 0..calls {
        let at = now.plus_ms(call * 3_000 / calls);
        link.record_message(at, LinkDirection::In, 4_300);
    }
    let later = now.plus_ms(3_000);
    assert!(link.is_busy(later) && !link.is_full(later));
    assert!(!link.is_busy(later.plus_ms(2_000)));
}
