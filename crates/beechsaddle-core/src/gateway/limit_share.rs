//! The `limit_share` module provides the places that one router gives out for targets with limits.

use std::collections::BTreeMap;

use super::{TargetIncarnation, TargetLimit};
use crate::clock::ClockTime;

/// The part of a limit that is given out. The rest covers requests that routers send which have not heard of the
/// limit yet.
const FIRST_PART: f64 = 0.9;

/// The part of a limit that is given out by a router that takes the place of another: the other one may go on for
/// routers that reach it.
const STAND_IN_PART: f64 = 0.5;

/// The part that is given out at first. Another router may have given out places a moment ago, or still do so for
/// routers that have not heard of this one.
const BEGINNING_PART: f64 = 0.3;

/// How long that is, in milliseconds: twice the time in which all routers hear of a new one.
const BEGINNING_MS: u64 = 10_000;

/// The least rate of places a second. With none at all nobody would hear that the limit has ended.
const LEAST_PER_S: f64 = 0.05;

/// Places that add up while nobody asks: one, and a quarter of a second.
const KEPT_PLACES: f64 = 1.0;
/// See [`KEPT_PLACES`].
const KEPT_S: f64 = 0.25;

/// How long a target that nobody asks for is remembered, in milliseconds.
const KEPT_MS: u64 = 60_000;

/// Whether a router gives out a target's places by right.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareRank {
    /// It comes first of all routers.
    First,
    /// One that comes before it does not answer.
    StandIn,
}

/// What becomes of a question for a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShareReply {
    /// One request may be sent.
    Granted,
    /// There is none before so many milliseconds are over.
    Wait {
        /// Milliseconds.
        wait_ms: u64,
    },
    /// The target names no limit any more; when that was heard.
    Free(TargetLimit),
}

#[derive(Clone, Debug)]
struct LimitBucket {
    limit: TargetLimit,
    level: f64,
    filled_at: ClockTime,
    opened_at: ClockTime,
}

impl LimitBucket {
    /// An empty bucket: who gave out places before may have given all of them.
    fn new(now: ClockTime, limit: TargetLimit) -> Self {
        LimitBucket {
            limit,
            level: 0.0,
            filled_at: now,
            opened_at: now,
        }
    }

    fn fill(&mut self, now: ClockTime, per_s: f64, rank: ShareRank) {
        let rate = self.rate(now, per_s, rank);
        let most = KEPT_PLACES + rate * KEPT_S;
        let span_s = now.since(self.filled_at) as f64 / 1_000.0;
        self.level = (self.level + rate * span_s).min(most);
        self.filled_at = now;
    }

    fn rate(&self, now: ClockTime, per_s: f64, rank: ShareRank) -> f64 {
        let is_beginning = now.since(self.opened_at) < BEGINNING_MS;
        let part = match rank {
            _ if is_beginning => BEGINNING_PART,
            ShareRank::First => FIRST_PART,
            ShareRank::StandIn => STAND_IN_PART,
        };
        (per_s * part).max(LEAST_PER_S)
    }

    fn try_take(&mut self, now: ClockTime, rank: ShareRank) -> ShareReply {
        let Some(per_s) = self.limit.per_s else {
            return ShareReply::Free(self.limit);
        };
        self.fill(now, per_s, rank);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return ShareReply::Granted;
        }
        let wait_s = (1.0 - self.level) / self.rate(now, per_s, rank);
        ShareReply::Wait {
            wait_ms: (wait_s * 1_000.0).ceil() as u64,
        }
    }
}

/// The places that this router gives out, for itself and others.
///
/// A limit holds for all routers together. Were it split among them, most of it would lie with routers that have no
/// request for the target, and what each may keep for its next one would add up to more than the limit. So one router
/// gives out all of a target's places, one at a time, as they come up.
#[derive(Clone, Debug, Default)]
pub struct LimitShare {
    buckets: BTreeMap<TargetIncarnation, LimitBucket>,
}

impl LimitShare {
    /// Asks for a place, by a router that knows `limit` of the target.
    pub fn try_take(
        &mut self,
        now: ClockTime,
        target: &TargetIncarnation,
        limit: TargetLimit,
        rank: ShareRank,
    ) -> ShareReply {
        self.buckets
            .retain(|_, bucket| now.since(bucket.filled_at) < KEPT_MS);
        let bucket = self
            .buckets
            .entry(target.clone())
            .or_insert_with(|| LimitBucket::new(now, limit));
        if limit.heard_at > bucket.limit.heard_at {
            bucket.limit = limit;
        }
        bucket.try_take(now, rank)
    }

    /// Takes over what was heard of a target that places are given out for.
    pub fn note(&mut self, target: &TargetIncarnation, limit: TargetLimit) {
        if let Some(bucket) = self.buckets.get_mut(target)
            && limit.heard_at > bucket.limit.heard_at
        {
            bucket.limit = limit;
        }
    }
}
