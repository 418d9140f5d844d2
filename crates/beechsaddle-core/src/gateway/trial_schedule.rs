//! The `trial_schedule` module provides the turns in which requests that may crash targets are
//! tried.

use std::collections::BTreeMap;

use super::SuspectKey;
use crate::clock::ClockTime;

/// How long the outcome of a trial is waited for at most, in milliseconds: most requests complete
/// within it, and all routers know of a crash by then.
const TRIAL_SPAN_MS: u64 = 3_000;

/// How long after its end the outcome of a trial may still arrive, in milliseconds: some round trips
/// to find out whether the target has crashed, and to report it.
const REPORT_SPAN_MS: u64 = 300;

/// How long a router waits for each domain that comes before its own, in milliseconds. In that time
/// the outcome of a trial there arrives by way of the store, if in no other way.
const DOMAIN_TURN_MS: u64 = 3_000;

/// Retry delay for a request while another one is tried, in milliseconds: most runs finish within
/// it.
const RETRY_MS: u64 = 1_000;

/// The answer to a request that asks to be the trial of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialReply {
    /// The request may be sent to one target.
    Granted,
    /// Another request may be tried after `wait_ms`.
    Wait { wait_ms: u64 },
}

/// What a router knows of a suspect when it is asked for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialFacts {
    /// The number of crashes.
    pub crashes: usize,
    /// When another crash counts as a repeat.
    pub settled_at: ClockTime,
    /// When the last crash was seen.
    pub last_at: ClockTime,
    /// The number of domains whose routers come before those of the own domain.
    pub domains_before: usize,
}

#[derive(Clone, Copy, Debug)]
struct OpenTrial {
    crashes: usize,
    ends_at: ClockTime,
}

/// The trials that this router granted.
///
/// One router of the fleet grants the trials of a suspect, one at a time. Where domains cannot reach
/// each other, each has such a router, and they take turns: the outcome of one domain's trial is
/// known in the next before that begins its own.
#[derive(Clone, Debug, Default)]
pub struct TrialSchedule {
    trials: BTreeMap<SuspectKey, OpenTrial>,
}

impl TrialSchedule {
    /// Grants a trial, unless the outcome of another one is still open.
    pub fn try_begin(&mut self, now: ClockTime, key: SuspectKey, facts: TrialFacts) -> TrialReply {
        self.trials.retain(|_, trial| now < trial.ends_at);
        let turn_ms = DOMAIN_TURN_MS.saturating_mul(facts.domains_before as u64);
        let begins_at = facts.settled_at.max(facts.last_at.plus_ms(turn_ms));
        let mut wait_ms = begins_at.since(now);
        // One more crash is the outcome of the trial; one that completes ends all trials.
        if let Some(trial) = self.trials.get(&key)
            && trial.crashes == facts.crashes
        {
            wait_ms = wait_ms.max(trial.ends_at.since(now).min(RETRY_MS));
        }
        if wait_ms > 0 {
            return TrialReply::Wait { wait_ms };
        }
        let trial = OpenTrial {
            crashes: facts.crashes,
            ends_at: now.plus_ms(TRIAL_SPAN_MS),
        };
        self.trials.insert(key, trial);
        TrialReply::Granted
    }

    /// Records that the request that is the trial of a suspect has ended.
    pub fn end(&mut self, now: ClockTime, key: SuspectKey) {
        if let Some(trial) = self.trials.get_mut(&key) {
            trial.ends_at = trial.ends_at.min(now.plus_ms(REPORT_SPAN_MS));
        }
    }
}
