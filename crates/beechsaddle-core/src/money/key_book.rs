//! The `key_book` module provides what a holder knows of caller-made idempotency keys.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::{CallId, KeyOrigin, RequestKey, RouterIncarnation};
use crate::refusal::{CallRefusal, RefusalReason};

/// When a caller should ask again for a key that is running, in milliseconds.
const RUNNING_RETRY_MS: u64 = 1_000;

/// The calls that came with caller-made keys.
#[derive(Debug, Default)]
pub(super) struct KeyBook {
    keys: BTreeMap<RequestKey, KeyEntry>,
}

#[derive(Debug)]
struct KeyEntry {
    call: CallId,
    is_running: bool,
    answers: u32,
    changed: ClockTime,
}

impl KeyBook {
    /// Lets a call run, or tells why its key may not run now.
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
                changed: now,
            };
            self.keys.insert(key.clone(), entry);
            return Ok(());
        };
        // The entry router of a running call may have died with the caller's stream, and its host may
        // stay on the platform's list for long. Its caller would be told all the while that the key
        // is running. If the router was only cut off, both calls run, and the ledger keeps the
        // larger of two bills of one key.
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
        entry.changed = now;
        Ok(())
    }

    /// Notes that a call ended; an answer that broke off may be asked for again without limit.
    pub(super) fn finish(&mut self, now: ClockTime, key: &RequestKey, call: &CallId, whole: bool) {
        let Some(entry) = self.keys.get_mut(key) else {
            return;
        };
        if entry.call != *call {
            return;
        }
        entry.is_running = false;
        entry.changed = now;
        entry.answers += u32::from(whole);
        // A key without an answer may start as if it were new. Keeping it would let refused calls
        // fill the memory for as long as the dedup window.
        if entry.answers == 0 {
            self.keys.remove(key);
        }
    }

    /// Forgets keys that ended longer ago than the dedup window.
    pub(super) fn prune(&mut self, now: ClockTime, window_ms: u64) {
        self.keys
            .retain(|_, entry| entry.is_running || now.since(entry.changed) <= window_ms);
    }
}
