//! Tests of what a router sheds while its link is short, with links of a fixed rate.

use beechsaddle_core::gateway::{
    CallUrgency, LinkDirection, LinkMeter, RoomGate, RoomRequest, RoomWithdrawal,
};
use beechsaddle_core::prelude::*;
use quickcheck::{QuickCheck, TestResult};

const START: ClockTime = ClockTime::from_millis(1_000_000);
const LINK_MBPS: f64 = 10.0;
const LINK_BYTES_PER_MS: f64 = LINK_MBPS * 125.0;
/// A long prompt with a short answer, and a short question with a long answer.
const DRAFT: RoomRequest = RoomRequest {
    urgency: CallUrgency(1),
    is_stream: true,
    body_bytes: 6_000,
};
const QUESTION: RoomRequest = RoomRequest {
    urgency: CallUrgency::HIGHEST,
    is_stream: true,
    body_bytes: 800,
};
const LOOKUP: RoomRequest = RoomRequest {
    urgency: CallUrgency(2),
    is_stream: false,
    body_bytes: 0,
};
/// Bytes of a stream's answer, with its packets' headers.
const ANSWER_BYTES: u64 = 4_000;

/// A router, its link, and the bytes queued on it.
struct ShortLink {
    meter: LinkMeter,
    gate: RoomGate,
    queued_bytes: f64,
    updated_at: ClockTime,
    delays_ms: Vec<f64>,
    shed: u64,
}

impl ShortLink {
    fn new(mbps: Option<f64>) -> Self {
        ShortLink {
            meter: LinkMeter::new(mbps, START),
            gate: RoomGate::new(START),
            queued_bytes: 0.0,
            updated_at: START,
            delays_ms: Vec::new(),
            shed: 0,
        }
    }

    /// Handles a call; returns whether it is admitted. Its body has used the link in any case.
    fn take_call(&mut self, now: ClockTime, request: RoomRequest, has_gate: bool) -> bool {
        let passed = now.since(self.updated_at) as f64 * LINK_BYTES_PER_MS;
        self.queued_bytes = (self.queued_bytes - passed).max(0.0);
        self.updated_at = now;
        let link = self.meter.state(now);
        let is_admitted = self.gate.admits(now, link, request) || !has_gate;
        self.meter
            .record_message(now, LinkDirection::In, request.body_bytes);
        if !is_admitted {
            self.shed += 1;
            self.queued_bytes += (request.body_bytes + 500) as f64;
            return false;
        }
        self.queued_bytes += (request.body_bytes + 500) as f64;
        if request.is_stream {
            self.meter
                .record_part(now, LinkDirection::In, ANSWER_BYTES - 80);
            self.gate.record_stream(now, ANSWER_BYTES);
            self.queued_bytes += ANSWER_BYTES as f64;
        }
        self.delays_ms.push(self.queued_bytes / LINK_BYTES_PER_MS);
        true
    }
}

/// Offers calls by turns for some seconds; returns how many of each were admitted.
fn offer(link: &mut ShortLink, calls: [RoomRequest; 2], per_s: u64, has_gate: bool) -> [u64; 2] {
    let mut admitted = [0, 0];
    for call in 0..per_s * 20 {
        let now = START.plus_ms(call * 1_000 / per_s);
        let turn = (call % 2) as usize;
        admitted[turn] += u64::from(link.take_call(now, calls[turn], has_gate));
    }
    admitted
}

fn late_part(link: &ShortLink) -> f64 {
    let late = link.delays_ms.iter().filter(|delay_ms| **delay_ms > 300.0);
    late.count() as f64 / link.delays_ms.len() as f64
}

/// One caller offers 1.5 times what a narrow link carries, while other routers are idle. Without
/// shedding every call waits behind the queue.
#[test]
fn admits_keeps_queue_short_under_one_heavy_caller_on_a_narrow_link() {
    let mut queued = ShortLink::new(Some(LINK_MBPS));
    offer(&mut queued, [DRAFT, QUESTION], 220, false);
    assert!(late_part(&queued) > 0.8, "{}", late_part(&queued));
    let mut shed = ShortLink::new(Some(LINK_MBPS));
    offer(&mut shed, [DRAFT, QUESTION], 220, true);
    assert!(late_part(&shed) < 0.1, "{}", late_part(&shed));
    let part = shed.shed as f64 / (220.0 * 20.0);
    assert!((0.15..0.95).contains(&part), "{part}");
}

/// Long drafts that take most of a link do not push urgent questions or look-ups off it.
#[test]
fn admits_urgent_and_small_calls_under_a_flood_of_drafts() {
    let mut link = ShortLink::new(Some(LINK_MBPS));
    let [drafts, questions] = offer(&mut link, [DRAFT, QUESTION], 150, true);
    assert!(drafts < 75 * 20 * 8 / 10, "{drafts}");
    assert_eq!(questions, 75 * 20);
    let mut link = ShortLink::new(Some(LINK_MBPS));
    let [drafts, lookups] = offer(&mut link, [DRAFT, LOOKUP], 200, true);
    assert!(drafts < 100 * 20 * 8 / 10, "{drafts}");
    assert_eq!(lookups, 100 * 20);
}

/// A load below the threshold sheds nothing, however it is made up, nor does any load if the
/// capacity is not known.
#[test]
fn admits_all_calls_under_a_light_load() {
    QuickCheck::new().quickcheck(admits_all as fn(Vec<u16>, bool) -> TestResult);
}

fn admits_all(bodies: Vec<u16>, is_stream: bool) -> TestResult {
    if bodies.is_empty() {
        return TestResult::discard();
    }
    for mbps in [Some(LINK_MBPS), None] {
        let mut link = ShortLink::new(mbps);
        for (call, body_bytes) in bodies.iter().enumerate() {
            let request = RoomRequest {
                urgency: CallUrgency(3),
                is_stream,
                body_bytes: u64::from(*body_bytes),
            };
            let now = START.plus_ms(call as u64 * 200);
            if !link.take_call(now, request, true) {
                return TestResult::failed();
            }
        }
    }
    TestResult::passed()
}

/// At the same load, an urgent call is shed only if all that is less urgent is shed too, beyond one
/// call of each rank that was already due.
#[test]
fn admits_urgent_before_less_urgent_under_a_flood_of_urgent_drafts() {
    QuickCheck::new()
        .tests(20)
        .quickcheck(prefers_urgent as fn(u8) -> bool);
}

fn prefers_urgent(per_s: u8) -> bool {
    let mut link = ShortLink::new(Some(LINK_MBPS));
    let urgent = RoomRequest {
        urgency: CallUrgency::HIGHEST,
        ..DRAFT
    };
    let per_s = 100 + u64::from(per_s) * 2;
    let [urgent_admitted, drafts] = offer(&mut link, [urgent, DRAFT], per_s, true);
    let offered = per_s * 10;
    // The rates need a second to show the load.
    urgent_admitted + per_s >= offered || drafts <= per_s * 2
}

/// Returns how many hosts of a domain leave in the same 100 ms at most, and are out after ten seconds.
fn withdraw_all(hosts: u64) -> [usize; 2] {
    let names: Vec<_> = (0..hosts)
        .map(|host| HostName::new(format!("host-{host}")))
        .collect();
    let mut withdrawals = vec![RoomWithdrawal::default(); names.len()];
    let mut at_once = 0;
    for step in 0..100 {
        let now = START.plus_ms(step * 100);
        let each = withdrawals.iter_mut().zip(&names);
        let left = each.filter_map(|(gate, name)| gate.record(now, name, true).then_some(()));
        at_once = at_once.max(left.count());
    }
    let end = START.plus_ms(10_000);
    let out = withdrawals.iter().filter(|gate| gate.is_out(end));
    [at_once, out.count()]
}

/// A burst that fills all links of a domain: the routers do not leave at the same moment, and return
/// when their callers have not moved.
#[test]
fn record_returns_all_routers_under_a_burst_on_all_links_of_a_domain() {
    for hosts in [8, 24, 450] {
        let [at_once, out] = withdraw_all(hosts);
        assert!(at_once <= hosts as usize / 2, "{at_once} of {hosts}");
        assert_eq!(out, 0, "{hosts}");
    }
}

/// A caller that sticks to a narrow link moves when its router has left the rotation, and comes back
/// with it: each withdrawal is longer than the last.
#[test]
fn record_lengthens_withdrawals_under_a_caller_that_returns() {
    let host = HostName::new("host-1");
    let mut gate = RoomWithdrawal::default();
    let mut now = START;
    let mut spans_ms = Vec::new();
    for _ in 0..3 {
        let since = now;
        while !gate.record(now, &host, true) {
            now = now.plus_ms(100);
        }
        assert!((500..=1_000).contains(&now.since(since)));
        let left_at = now;
        gate.record(now.plus_ms(2_000), &host, false);
        while gate.is_out(now) {
            now = now.plus_ms(100);
        }
        spans_ms.push(now.since(left_at));
    }
    assert_eq!(spans_ms[0], 8_000);
    assert!(
        spans_ms.is_sorted_by(|one, next| one < next),
        "{spans_ms:?}"
    );
}
