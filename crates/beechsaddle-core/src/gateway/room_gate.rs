//! The `room_gate` module provides the decision which calls a router sheds while its own link is
//! short.

use std::collections::BTreeMap;
use std::ops::RangeBounds;

use super::{CallUrgency, DemandRate};
use crate::clock::ClockTime;

/// Part of the link's capacity that admitted calls may take. Above it, bursts of prompts queue on
/// the link for longer than other routers need for a whole call.
const FULL_PART: f64 = 0.7;

/// Part of the capacity that the inbound direction may carry: bodies of calls that are shed come in as
/// well, so this direction is relieved only by answers that are not streamed.
const INBOUND_PART: f64 = 0.8;

/// Part of the capacity from which the inbound direction counts as saturated. Calls then wait in the
/// link for a time that the router cannot see, and answers of targets wait behind them.
const SATURATED_PART: f64 = 0.9;

/// Part of the link's capacity that calls may offer before shedding ends, so that a load at the
/// threshold does not switch it with every call.
const FREE_PART: f64 = 0.6;

/// Half-life of the rates by which calls are shed, in milliseconds: a link that is offered twice its
/// capacity queues for half of this before the rates show it.
const HALF_LIFE_MS: u64 = 400;

/// Half-life of the mean size of a stream's answer, in milliseconds: several times as long as
/// streams run, so that the mean covers whole ones.
const STREAM_HALF_LIFE_MS: u64 = 10_000;

/// What a call takes of each direction beside its body and its stream, in bytes: the head of the
/// request and that of the answer, with their packets' headers.
const HEAD_BYTES: f64 = 1_000.0;

/// Size of a body from which a call counts as large, in bytes: several packets, as of a long prompt.
const LARGE_BODY_BYTES: u64 = 4_096;

/// Maximum ratio of the measured load to the estimate from calls. Larger ones come from streams that
/// outlast their callers' load.
const CORRECTION_MAX: f64 = 2.0;

/// What a call asks of the router's link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRequest {
    pub urgency: CallUrgency,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// The size of the body as far as the head tells it, in bytes.
    pub body_bytes: u64,
}

/// The state of the router's own link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomLink {
    /// The capacity in bytes a second; `None` if unknown.
    pub capacity: Option<f64>,
    /// The load of the busier direction, as a part of the capacity.
    pub load: f64,
}

/// The rank of a call; calls of smaller ranks get room first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RoomRank {
    /// Small calls without a stream: a refusal and a second try take as much of the link as they do.
    Brief,
    Usual {
        urgency: CallUrgency,
        is_large: bool,
        is_stream: bool,
    },
}

/// The calls of one rank, admitted or not.
#[derive(Clone, Copy, Debug)]
struct RankDemand {
    calls: DemandRate,
    body_bytes: DemandRate,
    /// The part of a call that is admitted already, below 1.
    credit: f64,
}

/// What calls put on the link, in bytes a second.
#[derive(Clone, Copy, Debug, Default)]
struct RankBytes {
    /// Bodies and heads.
    bodies: f64,
    /// Answers that are streams.
    streams: f64,
}

/// Sheds calls by degrees while the calls that are offered take more of the router's link than it
/// can carry without a queue.
///
/// The balancer assigns callers by a hash, so all calls of a caller meet on one link while other
/// routers are idle. Behind a queue every call is late; a call that is refused at once is served by
/// another router. What is shed is what exceeds the link: the most urgent calls and small ones are
/// admitted first.
#[derive(Clone, Debug)]
pub struct RoomGate {
    ranks: BTreeMap<RoomRank, RankDemand>,
    /// What calls put on the inbound direction.
    carried_bytes: DemandRate,
    streams: DemandRate,
    stream_bytes: DemandRate,
    is_shedding: bool,
    /// Whether the inbound direction was saturated and may still have a queue.
    is_saturated: bool,
}

impl RoomGate {
    pub fn new(now: ClockTime) -> Self {
        RoomGate {
            ranks: BTreeMap::new(),
            carried_bytes: DemandRate::new(HALF_LIFE_MS, now),
            streams: DemandRate::new(STREAM_HALF_LIFE_MS, now),
            stream_bytes: DemandRate::new(STREAM_HALF_LIFE_MS, now),
            is_shedding: false,
            is_saturated: false,
        }
    }

    /// Records bytes of streams that went over the link.
    pub fn record_stream(&mut self, now: ClockTime, bytes: u64) {
        self.stream_bytes.add(now, bytes as f64);
    }

    /// Records a call that has arrived; returns whether it is admitted.
    pub fn admits(&mut self, now: ClockTime, link: RoomLink, request: RoomRequest) -> bool {
        let rank = RoomRank::of(request);
        let Some(capacity) = link.capacity else {
            return true;
        };
        self.record_offer(now, rank, request);
        let offered = self.offered_bytes(now, link);
        let part = offered / capacity;
        self.is_shedding = match self.is_shedding {
            true => part > FREE_PART,
            false => part > FULL_PART,
        };
        let carried = self.carried_bytes.per_second(now) / capacity;
        let inbound = carried.max(link.load);
        self.is_saturated = match self.is_saturated {
            true => inbound > INBOUND_PART,
            false => inbound >= SATURATED_PART,
        };
        let is_admitted = !self.is_shedding || self.takes_part(now, link, rank);
        if is_admitted {
            self.record_admitted(now, request);
        }
        is_admitted
    }

    /// Whether the offered calls still take more of the link than is free.
    pub fn is_shedding(&self, now: ClockTime, link: RoomLink) -> bool {
        self.is_shedding && self.offered_part(now, link) > FREE_PART
    }

    /// Returns the load if all calls were admitted, as a part of the link's capacity.
    pub fn offered_part(&self, now: ClockTime, link: RoomLink) -> f64 {
        let Some(capacity) = link.capacity else {
            return 0.0;
        };
        self.offered_bytes(now, link) / capacity
    }

    fn record_offer(&mut self, now: ClockTime, rank: RoomRank, request: RoomRequest) {
        let rate = DemandRate::new(HALF_LIFE_MS, now);
        let demand = self.ranks.entry(rank).or_insert(RankDemand {
            calls: rate,
            body_bytes: rate,
            credit: 0.0,
        });
        demand.calls.add(now, 1.0);
        demand.body_bytes.add(now, request.body_bytes as f64);
        let bytes = request.body_bytes as f64 + HEAD_BYTES;
        self.carried_bytes.add(now, bytes);
    }

    fn record_admitted(&mut self, now: ClockTime, request: RoomRequest) {
        if request.is_stream {
            let bytes = self.mean_stream_bytes(now);
            self.carried_bytes.add(now, bytes);
            self.streams.add(now, 1.0);
        }
    }

    /// Whether a call of a rank gets a part of what smaller ranks leave of the link.
    fn takes_part(&mut self, now: ClockTime, link: RoomLink, rank: RoomRank) -> bool {
        let part = self.admitted_part(now, link, rank);
        let Some(demand) = self.ranks.get_mut(&rank) else {
            return true;
        };
        demand.credit += part.clamp(0.0, 1.0);
        let is_admitted = demand.credit >= 1.0;
        if is_admitted {
            demand.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns the part of a rank's calls for which there is room; it may be below 0 or above 1.
    fn admitted_part(&self, now: ClockTime, link: RoomLink, rank: RoomRank) -> f64 {
        let room = link.capacity.unwrap_or(f64::INFINITY) / self.correction(now, link);
        let smaller = self.sum_bytes(now, ..rank);
        let own = self.sum_bytes(now, rank..=rank);
        let outbound = (room * FULL_PART - smaller.total()) / own.total().max(1.0);
        match rank {
            RoomRank::Brief => outbound,
            RoomRank::Usual { .. } if self.is_saturated => 0.0,
            RoomRank::Usual { .. } => {
                let bodies = self.sum_bytes(now, ..).bodies;
                let rest = room * INBOUND_PART - bodies - smaller.streams;
                let inbound = rest / own.streams.max(1.0);
                outbound.min(inbound)
            }
        }
    }

    /// Returns the load if all calls were admitted, in bytes a second.
    fn offered_bytes(&self, now: ClockTime, link: RoomLink) -> f64 {
        self.sum_bytes(now, ..).total() * self.correction(now, link)
    }

    /// Returns how many times the measured load is the one that is estimated from calls: repeated
    /// attempts and messages of routers take room as well.
    fn correction(&self, now: ClockTime, link: RoomLink) -> f64 {
        let measured = link.load * link.capacity.unwrap_or(0.0);
        let estimated = self.carried_bytes.per_second(now).max(1.0);
        (measured / estimated).clamp(1.0, CORRECTION_MAX)
    }

    /// Returns what calls of some ranks would put on the link.
    fn sum_bytes(&self, now: ClockTime, ranks: impl RangeBounds<RoomRank>) -> RankBytes {
        let stream_bytes = self.mean_stream_bytes(now);
        let mut sum = RankBytes::default();
        for (rank, demand) in self.ranks.range(ranks) {
            let calls = demand.calls.per_second(now);
            sum.bodies += demand.body_bytes.per_second(now) + calls * HEAD_BYTES;
            if rank.is_stream() {
                sum.streams += calls * stream_bytes;
            }
        }
        sum
    }

    fn mean_stream_bytes(&self, now: ClockTime) -> f64 {
        let streams = self.streams.level_at(now).max(1.0);
        self.stream_bytes.level_at(now) / streams
    }
}

impl RankBytes {
    fn total(&self) -> f64 {
        self.bodies + self.streams
    }
}

impl RoomRank {
    fn is_stream(self) -> bool {
        match self {
            RoomRank::Brief => false,
            RoomRank::Usual { is_stream, .. } => is_stream,
        }
    }

    fn of(request: RoomRequest) -> Self {
        let is_large = request.body_bytes >= LARGE_BODY_BYTES;
        match is_large || request.is_stream {
            true => RoomRank::Usual {
                urgency: request.urgency,
                is_large,
                is_stream: request.is_stream,
            },
            false => RoomRank::Brief,
        }
    }
}
