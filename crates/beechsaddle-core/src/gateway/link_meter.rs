//! The `link_meter` module provides the utilization of a router's own link.

use super::{DemandRate, RoomLink};
use crate::clock::ClockTime;

/// Half-life of the byte rate, in milliseconds: a second of high load shows in the rate, a single
/// prompt does not.
const HALF_LIFE_MS: u64 = 1_000;

/// The load from which the link counts as full. Incoming traffic can never exceed the capacity of
/// the link, and the meter does not see all of it: retransmitted packets are missing.
const FULL_LOAD: f64 = 0.8;

/// The load from which the link may be full. The meter does not see messages of other routers, and those
/// that wait in the queue.
const BUSY_LOAD: f64 = 0.4;

/// Overhead of a request or a complete answer beside its body, in bytes: its head and its packets'
/// headers.
const HEAD_BYTES: u64 = 500;

/// A direction of traffic on the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// From callers and targets to the router.
    In,
    /// From the router to callers and targets.
    Out,
}

/// The load that calls put on a router's own link, in each direction.
///
/// The balancer assigns callers by a hash, so a few callers with long prompts can fill the link of
/// a host with a narrow one. Connections to targets then time out as if every target had failed,
/// and loans and changes from the store arrive late. Only the router itself can detect that its
/// link is the common cause.
#[derive(Clone, Copy, Debug)]
pub struct LinkMeter {
    bytes_per_s: Option<f64>,
    inbound: DemandRate,
    outbound: DemandRate,
}

impl LinkMeter {
    /// Overhead of an event of a stream beside its text, in bytes: its packet's headers and its
    /// framing.
    pub const PART_BYTES: u64 = 80;

    /// Creates the meter of a link of `link_mbps` megabits per second. If the capacity is not
    /// known, the link never counts as full.
    pub fn new(link_mbps: Option<f64>, now: ClockTime) -> Self {
        LinkMeter {
            bytes_per_s: link_mbps.map(|mbps| mbps * 125_000.0),
            inbound: DemandRate::new(HALF_LIFE_MS, now),
            outbound: DemandRate::new(HALF_LIFE_MS, now),
        }
    }

    /// Records a request or a complete answer.
    pub fn record_message(&mut self, now: ClockTime, direction: LinkDirection, body_bytes: u64) {
        self.record_bytes(now, direction, body_bytes + HEAD_BYTES);
    }

    /// Records a part of a stream.
    pub fn record_part(&mut self, now: ClockTime, direction: LinkDirection, part_bytes: u64) {
        self.record_bytes(now, direction, part_bytes + Self::PART_BYTES);
    }

    /// Returns the load of the busier direction, as a part of the link's capacity.
    pub fn load(&self, now: ClockTime) -> f64 {
        let Some(link) = self.bytes_per_s else {
            return 0.0;
        };
        let inbound = self.inbound.per_second(now);
        inbound.max(self.outbound.per_second(now)) / link
    }

    /// Returns the capacity and the load.
    pub fn state(&self, now: ClockTime) -> RoomLink {
        RoomLink {
            capacity: self.bytes_per_s,
            load: self.load(now),
        }
    }

    pub fn is_full(&self, now: ClockTime) -> bool {
        self.load(now) >= FULL_LOAD
    }

    /// Whether calls take so much of the link that it may be full.
    pub fn is_busy(&self, now: ClockTime) -> bool {
        self.load(now) >= BUSY_LOAD
    }

    fn record_bytes(&mut self, now: ClockTime, direction: LinkDirection, bytes: u64) {
        let rate = match direction {
            LinkDirection::In => &mut self.inbound,
            LinkDirection::Out => &mut self.outbound,
        };
        rate.add(now, bytes as f64);
    }
}
