//! The `update_age` module provides the age of what a router knows of targets and of the
//! configuration, and whether the router's own link explains it.

use crate::clock::ClockTime;

/// How long a prompt answer of another router shows that the own link is not congested, in
/// milliseconds: the time of several requests to routers that follow the store.
const PROMPT_ANSWER_VALID_MS: u64 = 1_000;

/// The longest time of an answer that counts as prompt, in milliseconds: some round trips, and
/// short against the queue of a congested link.
const PROMPT_ANSWER_MS: u64 = 100;

/// Up to when changes are known, and when another router last answered promptly.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpdateAge {
    /// Up to when changes of targets are known.
    known_at: ClockTime,
    /// Up to when versions of the configuration are known; `None` before the first one.
    config_known_at: Option<ClockTime>,
    prompt_answer_at: Option<ClockTime>,
}

impl UpdateAge {
    /// Records that all changes of targets up to a time are known.
    pub fn record_known(&mut self, at: ClockTime) {
        self.known_at = self.known_at.max(at);
    }

    /// Records that all versions of the configuration up to a time are known.
    pub fn record_config_known(&mut self, at: ClockTime) {
        self.config_known_at = self.config_known_at.max(Some(at));
    }

    /// Whether all versions of the configuration are known that are older than a bound, in
    /// milliseconds.
    pub fn knows_config(&self, now: ClockTime, bound_ms: u64) -> bool {
        let known_at = self.config_known_at;
        known_at.is_some_and(|known_at| now.since(known_at) <= bound_ms)
    }

    /// Records that another router answered a request that was sent at `started`.
    pub fn record_answer(&mut self, now: ClockTime, started: ClockTime) {
        if now.since(started) <= PROMPT_ANSWER_MS {
            self.prompt_answer_at = Some(now);
        }
    }

    /// Whether changes arrive late because the router's own link is congested. A router that is cut
    /// off from the store as others are has late changes too, and other routers serve its callers no
    /// better.
    pub fn is_late_by_own_link(&self, now: ClockTime, update_interval_ms: u64) -> bool {
        let config_known_at = self.config_known_at.unwrap_or(self.known_at);
        let oldest = self.known_at.min(config_known_at);
        let is_late = now.since(oldest) > update_interval_ms;
        is_late && !self.has_free_link(now)
    }

    fn has_free_link(&self, now: ClockTime) -> bool {
        self.prompt_answer_at
            .is_some_and(|at| now.since(at) < PROMPT_ANSWER_VALID_MS)
    }
}
