//! The `run_ledger` module provides the proof of what ran at a target.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// What ran at a target since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// How often each attempt ran.
    pub attempts: BTreeMap<String, u64>,
    /// How often each idempotency key ran.
    pub keys: BTreeMap<String, u64>,
    /// Runs that began.
    pub started: u64,
    /// Runs whose answer was sent to its end.
    pub completed: u64,
    /// Runs that ended before: the client hung up, or a fault broke them off.
    pub cancelled: u64,
    /// Tokens generated, also for answers that broke off.
    pub tokens: u64,
}

/// Notes what runs.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    report: Arc<Mutex<RunReport>>,
}

/// One run; noted as cancelled when it is dropped before it is completed.
#[derive(Debug)]
pub struct RunGuard {
    report: Arc<Mutex<RunReport>>,
    completed: bool,
}

impl RunLedger {
    /// Notes that a request begins to run.
    pub fn start(&self, attempt: &str, key: &str) -> RunGuard {
        let mut report = lock(&self.report);
        report.started += 1;
        *report.attempts.entry(attempt.to_owned()).or_default() += 1;
        if !key.is_empty() {
            *report.keys.entry(key.to_owned()).or_default() += 1;
        }
        RunGuard {
            report: Arc::clone(&self.report),
            completed: false,
        }
    }

    /// What ran so far.
    pub fn report(&self) -> RunReport {
        lock(&self.report).clone()
    }

    /// How often a key ran.
    pub fn key_runs(&self, key: &str) -> u64 {
        lock(&self.report).keys.get(key).copied().unwrap_or(0)
    }
}

impl RunGuard {
    /// Notes a generated token.
    pub fn token(&self) {
        lock(&self.report).tokens += 1;
    }

    /// Notes that the answer is whole.
    pub fn complete(mut self) {
        self.completed = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut report = lock(&self.report);
        if self.completed {
            report.completed += 1;
        } else {
            report.cancelled += 1;
        }
    }
}

fn lock(report: &Mutex<RunReport>) -> MutexGuard<'_, RunReport> {
    report.lock().unwrap_or_else(PoisonError::into_inner)
}
