//! The `platform_availability` module provides whether platform calls can be made now.

use super::record_verdict::WaitingRecord;
use super::shard_committer::ShardCommitter;
use crate::clock::ClockTime;

/// The availability of the platform, derived from its last replies and missing replies.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlatformAvailability {
    /// No platform calls are made before this time.
    paused_until: ClockTime,
    /// Whether the pause is due to an unreachable platform, rather than to throttling.
    is_unreachable: bool,
    /// The time at which the last reply arrived.
    answered_at: ClockTime,
}

impl PlatformAvailability {
    /// Pauses platform calls for `pause_ms`.
    pub(super) fn pause(&mut self, now: ClockTime, pause_ms: u64, is_unreachable: bool) {
        self.paused_until = now.plus_ms(pause_ms);
        self.is_unreachable = is_unreachable;
    }

    /// Records a reply of the platform, which may also be a refusal.
    pub(super) fn record_answer(&mut self, now: ClockTime) {
        self.answered_at = now;
        self.is_unreachable = false;
    }

    /// Whether platform calls are paused.
    pub(super) fn is_paused(&self, now: ClockTime) -> bool {
        now < self.paused_until
    }

    /// Whether the last call could not reach the platform.
    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// The remaining pause in milliseconds.
    pub(super) fn pause_ms(&self, now: ClockTime) -> u64 {
        self.paused_until.since(now)
    }

    /// Whether a record cannot be made durable before its timeout. A shorter pause for throttling
    /// is waited out; an unreachable platform is not.
    pub(super) fn will_time_out(
        &self,
        now: ClockTime,
        record: &WaitingRecord,
        timeout_ms: u64,
    ) -> bool {
        self.is_paused(now)
            && (self.is_unreachable || self.paused_until >= record.since.plus_ms(timeout_ms))
    }

    /// Whether calls have been unanswered for so long that further ones would time out too. After
    /// an outage one call at a time probes the platform, and others are refused rather than made to
    /// wait for its result.
    pub(super) fn is_unresponsive<'a>(
        &self,
        now: ClockTime,
        timeout_ms: u64,
        committers: impl IntoIterator<Item = &'a ShardCommitter>,
    ) -> bool {
        committers
            .into_iter()
            .filter_map(ShardCommitter::in_flight_since)
            .any(|started| {
                let is_unanswered = self.answered_at <= started;
                is_unanswered && (self.is_unreachable || now.since(started) >= timeout_ms)
            })
    }
}
