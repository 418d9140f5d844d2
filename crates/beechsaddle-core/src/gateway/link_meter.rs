//! The `link_meter` module provides how full a router's own link is.

use super::DemandRate;
use crate::clock::ClockTime;

/// How fast bytes are forgotten, in milliseconds: a second of pressure shows, a single prompt does not.
const HALF_LIFE_MS: u64 = 1_000;

/// The load from which on the link counts as full. What comes in can never be more than the link
/// carries, and what is counted here is not all of it: packets that were sent again are missing.
const FULL_LOAD: f64 = 0.8;

/// What a request or a whole answer weighs beside its body, in bytes: its head and its packets' headers.
const HEAD_BYTES: u64 = 500;

/// What an event of a stream weighs beside its text, in bytes: its packet's headers and its framing.
const PART_BYTES: u64 = 80;

/// A way over the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkWay {
    /// From callers and targets to the router.
    In,
    /// From the router to callers and targets.
    Out,
}

/// What calls put on a router's own link, in each direction.
///
/// The balancer places callers by a hash. On a host with a narrow link a few callers with long prompts
/// fill the link by themselves. Connections to targets time out then, which looks as if every target
/// had failed, and loans and the store's news come late. Only the router itself can know that the
/// common cause is its own link.
#[derive(Clone, Copy, Debug)]
pub struct LinkMeter {
    bytes_per_s: Option<f64>,
    coming_in: DemandRate,
    going_out: DemandRate,
}

impl LinkMeter {
    /// The meter of a link of so many megabits a second; `None` where that is not known, and it never
    /// counts as full.
    pub fn new(link_mbps: Option<f64>, now: ClockTime) -> Self {
        LinkMeter {
            bytes_per_s: link_mbps.map(|mbps| mbps * 125_000.0),
            coming_in: DemandRate::new(HALF_LIFE_MS, now),
            going_out: DemandRate::new(HALF_LIFE_MS, now),
        }
    }

    /// Notes a request or a whole answer.
    pub fn note_message(&mut self, now: ClockTime, way: LinkWay, body_bytes: u64) {
        self.note_bytes(now, way, body_bytes + HEAD_BYTES);
    }

    /// Notes a part of a stream.
    pub fn note_part(&mut self, now: ClockTime, way: LinkWay, part_bytes: u64) {
        self.note_bytes(now, way, part_bytes + PART_BYTES);
    }

    /// The fuller direction's load, as a part of what the link carries.
    pub fn load(&self, now: ClockTime) -> f64 {
        let Some(link) = self.bytes_per_s else {
            return 0.0;
        };
        let coming_in = self.coming_in.per_second(now);
        coming_in.max(self.going_out.per_second(now)) / link
    }

    /// Whether the link is full.
    pub fn is_full(&self, now: ClockTime) -> bool {
        self.load(now) >= FULL_LOAD
    }

    fn note_bytes(&mut self, now: ClockTime, way: LinkWay, bytes: u64) {
        let rate = match way {
            LinkWay::In => &mut self.coming_in,
            LinkWay::Out => &mut self.going_out,
        };
        rate.add(now, bytes as f64);
    }
}
