//! The `platform_away` module provides whether the platform can be asked now.

use super::record_verdict::WaitingRecord;
use super::shard_committer::ShardCommitter;
use crate::clock::ClockTime;

/// What the last answers, and their absence, say of the platform.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PlatformAway {
    /// Until when it is left alone.
    until: ClockTime,
    /// Whether it could not be reached, rather than asked to be left alone.
    is_unreachable: bool,
    /// When it last answered.
    answered: ClockTime,
}

impl PlatformAway {
    /// Leaves the platform alone for a while.
    pub(super) fn begin(&mut self, now: ClockTime, pause_ms: u64, is_unreachable: bool) {
        self.until = now.plus_ms(pause_ms);
        self.is_unreachable = is_unreachable;
    }

    /// Notes that the platform answered, be it with a refusal.
    pub(super) fn note_answer(&mut self, now: ClockTime) {
        self.answered = now;
        self.is_unreachable = false;
    }

    /// Whether nothing may be asked now.
    pub(super) fn is_paused(&self, now: ClockTime) -> bool {
        now < self.until
    }

    /// Whether it could not be reached when it was last asked.
    pub(super) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// How long the pause lasts yet, in milliseconds.
    pub(super) fn pause_ms(&self, now: ClockTime) -> u64 {
        self.until.since(now)
    }

    /// Whether a record cannot be had within its time. An overloaded platform that wants to be
    /// left alone for less than that is waited for; one that is unreachable is not.
    pub(super) fn is_hopeless(
        &self,
        now: ClockTime,
        record: &WaitingRecord,
        timeout_ms: u64,
    ) -> bool {
        self.is_paused(now)
            && (self.is_unreachable || self.until >= record.since.plus_ms(timeout_ms))
    }

    /// Whether calls have been without an answer for so long that no other will get one in time.
    /// After an outage one call at a time finds out whether the platform is back; the others are
    /// not made to wait for what it finds.
    pub(super) fn is_silent<'a>(
        &self,
        now: ClockTime,
        timeout_ms: u64,
        committers: impl IntoIterator<Item = &'a ShardCommitter>,
    ) -> bool {
        committers
            .into_iter()
            .filter_map(ShardCommitter::flight_started)
            .any(|started| {
                let is_unanswered = self.answered <= started;
                is_unanswered && (self.is_unreachable || now.since(started) >= timeout_ms)
            })
    }
}
