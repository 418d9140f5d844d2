//! The `key_table` module provides a holder's state of idempotency keys that callers chose.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::{CallId, KeyOrigin, RequestKey, RouterIncarnation};
use crate::refusal::{CallRefusal, RefusalReason};

/// Retry delay for a key that is running, in milliseconds.
const RUNNING_RETRY_MS: u64 = 1_000;

/// The latest call of each key that a caller chose.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    keys: BTreeMap<RequestKey, KeyEntry>,
}

#[derive(Debug)]
struct KeyEntry {
    call: CallId,
    is_running: bool,
    answers: u32,
    changed_at: ClockTime,
}

impl KeyTable {
    /// Starts a call, or returns why its key may not run now.
    pub(super) fn try_start(
        &mut self,
        now: ClockTime,
        key: &RequestKey,
        call: &CallId,
        max_reruns: u32,
        is_silent: impl Fn(&RouterIncarnation) -> bool,
    ) -> Result<(), CallRefusal> {
        if key.origin == KeyOrigin::Router {
            return Ok(());
        }
        let Some(entry) = self.keys.get_mut(key) else {
            let entry = KeyEntry {
                call: call.clone(),
                is_running: true,
                answers: 0,
                changed_at: now,
            };
            self.keys.insert(key.clone(), entry);
            return Ok(());
        };
        // The entry router of a running call may have died with the caller's stream, while its host
        // may stay on the platform's list for long. Until then the caller would be refused because
        // the key is running. If the router was only partitioned, both calls run, and the ledger
        // bills the larger of the two runs.
        let is_lost = is_silent(&entry.call.router);
        if entry.is_running && entry.call != *call && !is_lost {
            let retry_after_ms = Some(RUNNING_RETRY_MS);
            return Err(CallRefusal::not_run(
                RefusalReason::InProgress,
                retry_after_ms,
            ));
        }
        if !entry.is_running && entry.answers > max_reruns {
            return Err(CallRefusal::not_run(RefusalReason::AlreadyAnswered, None));
        }
        entry.call = call.clone();
        entry.is_running = true;
        entry.changed_at = now;
        Ok(())
    }

    /// Records the end of a call. An incomplete response may be requested again without limit.
    pub(super) fn finish(
        &mut self,
        now: ClockTime,
        key: &RequestKey,
        call: &CallId,
        is_complete: bool,
    ) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        if entry.call != *call {
            return;
        }
        entry.is_running = false;
        entry.changed_at = now;
        entry.answers += u32::from(is_complete);
        // A key without a complete response may start as if it were new. Retaining it would let
        // refused calls fill the memory for the whole dedup window.
        if entry.answers == 0 {
            self.keys.remove(key);
        }
    }

    /// Drops keys whose last call ended before the dedup window.
    pub(super) fn prune(&mut self, now: ClockTime, window_ms: u64) {
        self.keys
            .retain(|_, entry| entry.is_running || now.since(entry.changed_at) <= window_ms);
    }
}
