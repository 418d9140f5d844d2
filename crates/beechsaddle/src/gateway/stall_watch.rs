//! The `stall_watch` module provides the detection of targets that have fallen silent.

use std::future::pending;
use std::time::Duration;

use beechsaddle_core::gateway::TargetRecord;
use beechsaddle_core::prelude::*;
use tokio::time::sleep;

use super::call_context::CallContext;
use super::target_choice::has_candidate;

/// Silence in the middle of a stream after which another target is sought, in milliseconds, if no
/// other call receives data from the target either. It is several times the gap between two events
/// at a full engine, and short compared to the gap after which callers leave.
const STALL_TIMEOUT_MS: u64 = 1_200;

/// Minimum prefill rate of a busy engine, in tokens per millisecond. A long prompt delays the first
/// event, and other streams of the target, accordingly.
const MIN_PREFILL_TOKENS_PER_MS: u64 = 20;

/// Interval between searches for another target while there is none, in milliseconds. A search
/// costs no message.
const SEARCH_INTERVAL_MS: u64 = 250;

/// Time until another target is sought again after a search without success, in milliseconds: the
/// retry budget fills, and other targets get free, over seconds.
const SEARCH_PAUSE_MS: u64 = 1_000;

/// Whose data ends a silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilenceScope {
    /// Only the data of this attempt.
    Attempt,
    /// The data of any call: a target that still sends some is slow, not silent.
    Target,
}

/// Whether another target may be sought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SearchPhase {
    /// Once the target is silent, and not before a time.
    From(ClockTime),
    /// Not before the target has sent data.
    Over,
}

/// Tells when a call should be sent to another target beside a silent one, which may go on. Each
/// attempt reaches a target, and draws on the fleet's retry budget: no target is tried twice, and
/// there is a pause after a search without success.
pub(super) struct StallWatch {
    target: TargetName,
    scope: SilenceScope,
    limit_ms: u64,
    last_data_at: ClockTime,
    phase: SearchPhase,
}

impl StallWatch {
    /// Creates a watch for the time until the first event of a stream.
    pub(super) fn for_first_event(
        call: &CallContext,
        target: &TargetRecord,
        prefill_tokens: u64,
    ) -> Self {
        let limit_ms = STALL_TIMEOUT_MS + prefill_tokens / MIN_PREFILL_TOKENS_PER_MS;
        StallWatch::start(call, target, SilenceScope::Target, limit_ms)
    }

    /// Creates a watch for the time until a complete response.
    pub(super) fn for_answer(call: &CallContext, target: &TargetRecord, limit_ms: u64) -> Self {
        StallWatch::start(call, target, SilenceScope::Attempt, limit_ms)
    }

    fn start(
        call: &CallContext,
        target: &TargetRecord,
        scope: SilenceScope,
        limit_ms: u64,
    ) -> Self {
        let now = call.state.now();
        // A call that may run only once has to wait.
        let phase = match call.route.kind.may_repeat() {
            true => SearchPhase::From(now),
            false => SearchPhase::Over,
        };
        StallWatch {
            target: target.name.clone(),
            scope,
            limit_ms,
            last_data_at: now,
            phase,
        }
    }

    /// Records that a stream's target has sent data.
    pub(super) fn record_data(&mut self, call: &CallContext) {
        self.last_data_at = call.state.now();
        self.limit_ms = STALL_TIMEOUT_MS;
        if call.route.kind.may_repeat() {
            self.phase = SearchPhase::From(self.last_data_at);
        }
    }

    /// Records that the call was sent to another target, or would have been.
    pub(super) fn record_search(&mut self) {
        self.phase = SearchPhase::Over;
    }

    /// Records that no other attempt is open: none could begin, or none was of use. Targets that were
    /// not tried yet are sought again after a pause.
    pub(super) fn postpone_search(&mut self, call: &CallContext) {
        if call.route.kind.may_repeat() {
            self.phase = SearchPhase::From(call.state.now().plus_ms(SEARCH_PAUSE_MS));
        }
    }

    /// Waits until the target is silent and the call may be sent to another one.
    pub(super) async fn replaceable(&self, call: &CallContext) {
        let SearchPhase::From(from) = self.phase else {
            return pending().await;
        };
        loop {
            let now = call.state.now();
            let silent_ms = now.since(self.last_progress_at(call));
            let left_ms = self.limit_ms.saturating_sub(silent_ms).max(from.since(now));
            if left_ms == 0 && call.may_race() && has_candidate(call) {
                return;
            }
            let wait_ms = match left_ms {
                0 => SEARCH_INTERVAL_MS,
                left_ms => left_ms,
            };
            sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Returns when the data was received that counts.
    fn last_progress_at(&self, call: &CallContext) -> ClockTime {
        if self.scope == SilenceScope::Attempt {
            return self.last_data_at;
        }
        let roster = call.state.roster.borrow();
        let entry = roster.get(&self.target);
        entry.map_or(self.last_data_at, |entry| {
            entry.stats.progress_at.max(self.last_data_at)
        })
    }
}
