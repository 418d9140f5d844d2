//! The `warm_up` module provides the slow start of cold targets: how many requests each router
//! sends to a target that has just started.

use std::collections::VecDeque;

use super::PeerRing;
use crate::clock::ClockTime;
use crate::names::TargetName;

/// The number of routers that send requests to a cold target. With fewer, most of a target's rate
/// is lost if one of them is down; with more, routers that do not know of each other yet add up to
/// more than a target withstands.
const SHARER_COUNT: u64 = 3;

/// The window over which a router's requests to a cold target are counted, in milliseconds: the
/// second over which a target withstands them, and the longest time to connect, by which two
/// requests may arrive closer together than they were placed.
const WINDOW_MS: u64 = 1_350;

/// The slow start that a service declares for its targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    /// Requests per second that a cold target withstands, over all routers.
    pub per_s: f64,
    /// How long a target is cold after it starts, in milliseconds.
    pub span_ms: u64,
}

/// One router's part of the requests that a cold target withstands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmUpShare {
    /// The number of routers that share the target.
    pub sharers: u64,
    /// Requests of each of them within the window.
    pub requests: usize,
    /// The window, in milliseconds.
    pub window_ms: u64,
}

impl WarmUpRule {
    /// Returns the part of each router that shares a target.
    ///
    /// Each of at most `SHARER_COUNT` routers sends at most `floor(per_s / SHARER_COUNT)` requests
    /// in any window of a second, so that their sum stays within `per_s` without any message
    /// between them, also while some of them are cut off.
    pub fn share(&self) -> WarmUpShare {
        let per_s = self.per_s.max(0.0);
        let sharers = SHARER_COUNT.min(per_s as u64).max(1);
        let requests = (per_s as u64 / sharers).max(1);
        // A target that withstands less than one request per second gets one in a longer time.
        let stretch = (requests as f64 * sharers as f64 / per_s.max(f64::MIN_POSITIVE)).max(1.0);
        let window_ms = (WINDOW_MS as f64 * stretch).min(u32::MAX as f64) as u64;
        WarmUpShare {
            sharers,
            requests: requests as usize,
            window_ms,
        }
    }
}

/// The requests that this router has sent to a target lately.
#[derive(Clone, Debug, Default)]
pub struct WarmUpWindow {
    sent_at: VecDeque<ClockTime>,
}

impl WarmUpWindow {
    /// Records a request. Requests to a warm target count as well, as it may announce that it has
    /// become cold while they are on their way.
    pub fn record(&mut self, now: ClockTime, share: WarmUpShare) {
        self.sent_at.push_back(now);
        while self.sent_at.len() > share.requests {
            self.sent_at.pop_front();
        }
    }

    /// Returns how long a further request has to wait, in milliseconds; 0 if it may be sent now.
    pub fn wait_ms(&self, now: ClockTime, share: WarmUpShare) -> u64 {
        let counted = self.sent_at.iter().rev().nth(share.requests - 1);
        let until = counted.map(|sent_at| sent_at.plus_ms(share.window_ms));
        until.map_or(0, |until| until.since(now))
    }
}

/// A router's decision about requests to the cold targets of a service.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpPlan<'a> {
    pub rule: WarmUpRule,
    /// The routers of the fleet.
    pub ring: &'a PeerRing,
    /// Whether the list of routers is complete. Without it, a router cannot know its part.
    pub knows_routers: bool,
}

impl WarmUpPlan<'_> {
    /// Whether this router is one of those that send requests to a cold target. All routers decide
    /// by the same order, whether the others answer or not.
    pub fn is_sharer(&self, target: &TargetName) -> bool {
        let sharers = self.rule.share().sharers as usize;
        self.knows_routers && self.ring.is_among_first(target.as_str(), sharers)
    }
}
