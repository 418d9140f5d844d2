//! The `call_book` module provides what callers and targets saw of every call.

use std::collections::{BTreeMap, BTreeSet};

use beechsaddle_core::call::{CallArrival, CallRoute};
use beechsaddle_core::prelude::*;

/// How a caller's wait ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The whole answer came.
    Whole,
    /// A refusal came.
    Refused(CallRefusal),
    /// The answer broke off.
    Broken,
    /// The caller hung up.
    Left,
}

/// What one target saw of a call.
#[derive(Clone, Debug, Default)]
pub struct AttemptFate {
    /// Whether the target took the connection.
    pub connected: bool,
    /// Tokens of its answer that went to the caller.
    pub relayed: u64,
    /// Whether nothing more comes of it.
    pub is_over: bool,
}

/// What was seen of one call.
#[derive(Clone, Debug)]
pub struct CallFate {
    pub arrival: CallArrival,
    pub node: usize,
    pub attempts: BTreeMap<AttemptId, AttemptFate>,
    pub finals: Vec<FinalAnswer>,
    /// Whether its router died while it was open.
    pub is_lost: bool,
    /// Whether its router died, now or after the call's end.
    pub is_orphan: bool,
    pub retries: u32,
}

impl CallFate {
    /// Whether the call may run once only.
    pub fn is_once(&self) -> bool {
        self.arrival.repeatable == Some(false)
    }

    /// Whether its caller waits.
    pub fn is_open(&self) -> bool {
        !self.is_lost && self.finals.is_empty()
    }

    /// Whether a target took it.
    pub fn has_run(&self) -> bool {
        self.attempts.values().any(|attempt| attempt.connected)
    }

    /// Tokens that went to the caller.
    pub fn relayed(&self) -> u64 {
        self.attempts.values().map(|attempt| attempt.relayed).sum()
    }

    /// The most that may be billed for it.
    pub fn billable(&self) -> u64 {
        let unknown = match self.arrival.route {
            CallRoute::Service { .. } if self.has_run() => 5,
            CallRoute::Service { .. } | CallRoute::Chat { .. } => 0,
        };
        self.relayed().max(unknown)
    }

    /// What is reserved for it.
    pub fn bound(&self) -> u64 {
        match self.arrival.route {
            CallRoute::Service { .. } => 5,
            CallRoute::Chat { .. } => 200,
        }
    }

    /// The key under which it is billed.
    pub fn key(&self) -> String {
        match &self.arrival.idempotency {
            Some(text) => text.to_string(),
            None => self.arrival.call.to_string(),
        }
    }
}

/// All calls of a session.
#[derive(Debug, Default)]
pub struct CallBook {
    pub calls: BTreeMap<CallId, CallFate>,
    pub faults: Vec<String>,
}

impl CallBook {
    /// Notes the end of a call's wait.
    pub fn end(&mut self, call: &CallId, answer: FinalAnswer) {
        let Some(fate) = self.calls.get_mut(call) else {
            return self.faults.push(format!("{call}: no such call"));
        };
        let is_not_run =
            matches!(&answer, FinalAnswer::Refused(refusal) if refusal.ran == RanState::No);
        if is_not_run && fate.has_run() {
            self.faults.push(format!(
                "{call}: ran, and was refused as not run: {answer:?}"
            ));
        }
        if fate.finals.contains(&FinalAnswer::Left) {
            return;
        }
        if !fate.finals.is_empty() {
            self.faults
                .push(format!("{call}: {answer:?} after {:?}", fate.finals));
        }
        if answer == FinalAnswer::Whole && !fate.attempts.values().any(|attempt| attempt.is_over) {
            self.faults
                .push(format!("{call}: finished without an answer"));
        }
        fate.finals.push(answer);
    }

    /// Notes a dispatch; a key that may run once must not reach a second target.
    pub fn dispatch(&mut self, attempt: &AttemptId, connected: bool) {
        let Some(fate) = self.calls.get_mut(&attempt.call) else {
            return self.faults.push(format!("{attempt}: no such call"));
        };
        if !fate.finals.is_empty() && !fate.finals.contains(&FinalAnswer::Left) {
            self.faults
                .push(format!("{attempt}: sent after {:?}", fate.finals));
        }
        let relayed_before = fate.relayed();
        if relayed_before > 0 {
            self.faults
                .push(format!("{attempt}: sent after a byte was relayed"));
        }
        let attempt_fate = AttemptFate {
            connected,
            ..AttemptFate::default()
        };
        fate.attempts.insert(attempt.clone(), attempt_fate);
        let (key, is_once) = (fate.key(), fate.is_once());
        let runs = |fate: &CallFate| fate.attempts.values().filter(|one| one.connected).count();
        let same_key = self.calls.values().filter(|fate| fate.key() == key);
        if is_once && same_key.map(runs).sum::<usize>() > 1 {
            self.faults.push(format!("{attempt}: {key} ran twice"));
        }
    }

    /// All tokens that went to callers.
    pub fn relayed(&self) -> u64 {
        self.calls.values().map(CallFate::relayed).sum()
    }

    /// The keys of calls that ran, or whose routers are gone so that a bill of zero may stand for them.
    pub fn ran_keys(&self, is_gone: impl Fn(&RouterIncarnation) -> bool) -> BTreeSet<String> {
        let fates = self.calls.values();
        let fates = fates.filter(|fate| fate.has_run() || is_gone(&fate.arrival.call.router));
        fates.map(CallFate::key).collect()
    }

    /// The most that stays reserved for calls of routers that died. What their targets may have
    /// served is not known, so a holder keeps it counted for as long as it lives.
    pub fn lost_bounds(&self) -> u64 {
        let lost = self.calls.values().filter(|fate| fate.is_orphan);
        lost.map(CallFate::bound).sum()
    }

    /// Tokens of answers to one key beyond the largest of them.
    pub fn doubled(&self) -> u64 {
        let largest: u64 = self.due().values().map(|due| due.1).sum();
        let all: u64 = self.calls.values().map(CallFate::billable).sum();
        all - largest
    }

    /// By key, the least and the most that must be billed in the end.
    pub fn due(&self) -> BTreeMap<String, (u64, u64)> {
        let mut due = BTreeMap::new();
        for fate in self.calls.values() {
            let least = match fate.finals.first() {
                Some(FinalAnswer::Whole) => fate.relayed(),
                Some(_) | None => 0,
            };
            let entry = due.entry(fate.key()).or_insert((0, 0));
            entry.0 = least.max(entry.0);
            entry.1 = fate.billable().max(entry.1);
        }
        due
    }
}
