//! The `permit_issuer` module provides the permits that one router issues for requests to limited
//! targets.

use std::collections::BTreeMap;

use super::{TargetIncarnation, TargetLimit};
use crate::clock::ClockTime;

/// The part of a limit that is issued. The remainder covers requests of routers that have not
/// received the limit yet.
const PRIMARY_PART: f64 = 0.9;

/// The part of a limit that a substitute issues. The router that it substitutes may still serve
/// routers that can reach it.
const SUBSTITUTE_PART: f64 = 0.5;

/// The part that is issued at first. Another router may have issued permits a moment ago, or may
/// still do so for routers that do not know of this one.
const STARTUP_PART: f64 = 0.3;

/// The duration of that startup phase, in milliseconds: twice the time in which all routers learn
/// of a new one.
const STARTUP_MS: u64 = 10_000;

/// The lowest rate of permits per second. At a rate of zero, no router would notice that the limit
/// has ended.
const RATE_MIN_PER_S: f64 = 0.05;

/// Permits that accumulate while there are no requests: one, plus a quarter of a second at the
/// present rate.
const BURST_PERMITS: f64 = 1.0;
/// See [`BURST_PERMITS`].
const BURST_S: f64 = 0.25;

/// How long a target without permit requests is retained, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Whether a router is the designated issuer of a target's permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IssuerRank {
    /// The router comes first in the order of all routers.
    First,
    /// Another router comes first but does not answer, so this one issues permits in its place.
    Substitute,
}

/// The answer to a permit request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitReply {
    /// One request may be sent.
    Granted,
    /// No permit is available before `wait_ms` have passed.
    Wait { wait_ms: u64 },
    /// The target no longer names a limit; carries the time when that was received.
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
    /// Creates an empty bucket, as the previous issuer may have issued all permits.
    fn new(now: ClockTime, limit: TargetLimit) -> Self {
        LimitBucket {
            limit,
            level: 0.0,
            filled_at: now,
            opened_at: now,
        }
    }

    fn fill(&mut self, now: ClockTime, per_s: f64, rank: IssuerRank) {
        let rate = self.rate(now, per_s, rank);
        let level_max = BURST_PERMITS + rate * BURST_S;
        let span_s = now.since(self.filled_at) as f64 / 1_000.0;
        self.level = (self.level + rate * span_s).min(level_max);
        self.filled_at = now;
    }

    fn rate(&self, now: ClockTime, per_s: f64, rank: IssuerRank) -> f64 {
        let is_starting = now.since(self.opened_at) < STARTUP_MS;
        let part = match rank {
            _ if is_starting => STARTUP_PART,
            IssuerRank::First => PRIMARY_PART,
            IssuerRank::Substitute => SUBSTITUTE_PART,
        };
        (per_s * part).max(RATE_MIN_PER_S)
    }

    fn try_take_permit(&mut self, now: ClockTime, rank: IssuerRank) -> PermitReply {
        let Some(per_s) = self.limit.per_s else {
            return PermitReply::Free(self.limit);
        };
        self.fill(now, per_s, rank);
        if self.level >= 1.0 {
            self.level -= 1.0;
            return PermitReply::Granted;
        }
        let wait_s = (1.0 - self.level) / self.rate(now, per_s, rank);
        PermitReply::Wait {
            wait_ms: (wait_s * 1_000.0).ceil() as u64,
        }
    }
}

/// The permits that this router issues, to itself and to other routers.
///
/// A limit holds for all routers together. If it were split among them, most of it would lie with
/// routers that have no request for the target, and the permits that each may save up would add up
/// to more than the limit. Therefore one router issues all of a target's permits, one at a time, as
/// they become available.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<TargetIncarnation, LimitBucket>,
}

impl PermitIssuer {
    /// Requests a permit for a router that knows `limit` of the target.
    pub fn try_take_permit(
        &mut self,
        now: ClockTime,
        target: &TargetIncarnation,
        limit: TargetLimit,
        rank: IssuerRank,
    ) -> PermitReply {
        self.buckets
            .retain(|_, bucket| now.since(bucket.filled_at) < RETENTION_MS);
        let bucket = self
            .buckets
            .entry(target.clone())
            .or_insert_with(|| LimitBucket::new(now, limit));
        if limit.received_at > bucket.limit.received_at {
            bucket.limit = limit;
        }
        bucket.try_take_permit(now, rank)
    }

    /// Updates the limit of a target that permits are issued for.
    pub fn record(&mut self, target: &TargetIncarnation, limit: TargetLimit) {
        if let Some(bucket) = self.buckets.get_mut(target)
            && limit.received_at > bucket.limit.received_at
        {
            bucket.limit = limit;
        }
    }
}
