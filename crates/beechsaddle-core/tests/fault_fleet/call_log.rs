//! The `call_log` module provides the observations of callers and targets for every call.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::call::{CallArrival, CallRoute};
use beechsaddle_core::prelude::*;

/// The end of a caller's wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The complete answer arrived.
    Complete,
    /// A refusal arrived.
    Refused(CallRefusal),
    /// The answer ended early.
    Truncated,
    /// The caller disconnected.
    CallerGone,
}

/// A target's observation of a call.
#[derive(Clone, Debug, Default)]
pub struct AttemptOutcome {
    /// Whether the target accepted the connection.
    pub connected: bool,
    /// Tokens of the target's answer that were relayed to the caller.
    pub relayed: u64,
    /// Whether the attempt is finished.
    pub is_over: bool,
}

/// The observations of one call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    pub arrival: CallArrival,
    pub node: usize,
    pub attempts: BTreeMap<AttemptId, AttemptOutcome>,
    pub finals: Vec<FinalAnswer>,
    /// Whether the call's router died while the call was open.
    pub is_lost: bool,
    /// Whether the call's router died, during or after the call.
    pub is_orphan: bool,
    pub retries: u32,
}

impl CallOutcome {
    /// Whether the call may run only once.
    pub fn is_once(&self) -> bool {
        self.arrival.repeatable == Some(false)
    }

    /// Whether the caller is waiting.
    pub fn is_open(&self) -> bool {
        !self.is_lost && self.finals.is_empty()
    }

    /// Whether a target accepted the call.
    pub fn has_run(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.connected)
    }

    /// Returns the tokens relayed to the caller.
    pub fn relayed(&self) -> u64 {
        self.attempts.values().map(|attempt| attempt.relayed).sum()
    }

    /// Returns the maximum that may be billed for the call.
    pub fn billable(&self) -> u64 {
        let unknown = match self.arrival.route {
            CallRoute::Service { .. } if self.has_run() => 5,
            CallRoute::Service { .. } | CallRoute::Chat { .. } => 0,
        };
        self.relayed().max(unknown)
    }

    /// Returns the reservation of the call.
    pub fn bound(&self) -> u64 {
        match self.arrival.route {
            CallRoute::Service { .. } => 5,
            CallRoute::Chat { .. } => 200,
        }
    }

    /// Returns the key under which the call is billed.
    pub fn key(&self) -> String {
        match &self.arrival.idempotency {
            Some(text) => text.to_string(),
            None => self.arrival.call.to_string(),
        }
    }
}

/// All calls of a session.
#[derive(Debug, Default)]
pub struct CallLog {
    pub calls: BTreeMap<CallId, CallOutcome>,
    pub faults: Vec<String>,
}

impl CallLog {
    /// Records the end of a caller's wait.
    pub fn end(&mut self, call: &CallId, answer: FinalAnswer) {
        let Some(outcome) = self.calls.get_mut(call) else {
            return self.faults.push(format!("{call}: no such call"));
        };
        let is_not_run =
            matches!(&answer, FinalAnswer::Refused(refusal) if refusal.ran == RanState::No);
        if is_not_run && outcome.has_run() {
            self.faults.push(format!(
                "{call}: ran, and was refused as not run: {answer:?}"
            ));
        }
        if outcome.finals.contains(&FinalAnswer::CallerGone) {
            return;
        }
        if !outcome.finals.is_empty() {
            self.faults
                .push(format!("{call}: {answer:?} after {:?}", outcome.finals));
        }
        if answer == FinalAnswer::Complete
            && !outcome.attempts.values().any(|attempt| attempt.is_over)
        {
            self.faults
                .push(format!("{call}: finished without an answer"));
        }
        outcome.finals.push(answer);
    }

    /// Records a dispatch; a key that may run only once must not reach a second target.
    pub fn dispatch(&mut self, attempt: &AttemptId, connected: bool) {
        let Some(outcome) = self.calls.get_mut(&attempt.call) else {
            return self.faults.push(format!("{attempt}: no such call"));
        };
        if !outcome.finals.is_empty() && !outcome.finals.contains(&FinalAnswer::CallerGone) {
            self.faults
                .push(format!("{attempt}: sent after {:?}", outcome.finals));
        }
        let relayed_before = outcome.relayed();
        if relayed_before > 0 {
            self.faults
                .push(format!("{attempt}: sent after a byte was relayed"));
        }
        let attempt_outcome = AttemptOutcome {
            connected,
            ..AttemptOutcome::default()
        };
        outcome.attempts.insert(attempt.clone(), attempt_outcome);
        let (key, is_once) = (outcome.key(), outcome.is_once());
        let runs = |call: &CallOutcome| call.attempts.values().filter(|one| one.connected).count();
        let same_key = self.calls.values().filter(|outcome| outcome.key() == key);
        if is_once && same_key.map(runs).sum::<usize>() > 1 {
            self.faults.push(format!("{attempt}: {key} ran twice"));
        }
    }

    /// Returns all tokens relayed to callers.
    pub fn relayed(&self) -> u64 {
        self.calls.values().map(CallOutcome::relayed).sum()
    }

    /// Returns the keys of calls that ran, or whose routers are gone and may have left a bill of
    /// zero.
    pub fn ran_keys(&self, is_gone: impl Fn(&RouterIncarnation) -> bool) -> BTreeSet<String> {
        let outcomes = self.calls.values();
        let outcomes =
            outcomes.filter(|outcome| outcome.has_run() || is_gone(&outcome.arrival.call.router));
        outcomes.map(CallOutcome::key).collect()
    }

    /// Returns the maximum that stays reserved for calls of routers that died. The usage at their
    /// targets is unknown, so a holder retains the reservation for as long as it lives.
    pub fn lost_bounds(&self) -> u64 {
        let lost = self.calls.values().filter(|outcome| outcome.is_orphan);
        lost.map(CallOutcome::bound).sum()
    }

    /// Returns the tokens of answers to one key beyond the largest of them.
    pub fn duplicate_tokens(&self) -> u64 {
        let largest: u64 = self.due().values().map(|due| due.1).sum();
        let all: u64 = self.calls.values().map(CallOutcome::billable).sum();
        all - largest
    }

    /// Returns the minimum and the maximum that must finally be billed, by key.
    pub fn due(&self) -> BTreeMap<String, (u64, u64)> {
        let mut due = BTreeMap::new();
        for outcome in self.calls.values() {
            let least = match outcome.finals.first() {
                Some(FinalAnswer::Complete) => outcome.relayed(),
                Some(_) | None => 0,
            };
            let entry = due.entry(outcome.key()).or_insert((0, 0));
            entry.0 = least.max(entry.0);
            entry.1 = outcome.billable().max(entry.1);
        }
        due
    }
}
