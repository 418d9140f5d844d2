//! The `run_ledger` module provides the record of the requests that a target executed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

/// The requests that a target executed since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// Number of executions of each attempt.
    pub attempts: BTreeMap<String, u64>,
    /// Number of executions of each idempotency key.
    pub keys: BTreeMap<String, u64>,
    /// Executions started.
    pub started: u64,
    /// Executions whose response was generated completely.
    pub completed: u64,
    /// Executions that ended early because the client disconnected or a fault aborted them.
    pub cancelled: u64,
    /// Tokens generated, including those of aborted responses.
    pub tokens: u64,
}

/// Records the requests that a target executes.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    report: Arc<Mutex<RunReport>>,
}

/// One execution; dropping it before completion records it as cancelled.
#[derive(Debug)]
pub struct RunGuard {
    report: Arc<Mutex<RunReport>>,
    completed: bool,
}

impl RunLedger {
    /// Records the start of an execution.
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

    /// Returns a copy of the record.
    pub fn report(&self) -> RunReport {
        lock(&self.report).clone()
    }

    /// Returns the number of executions of an idempotency key.
    pub fn key_runs(&self, key: &str) -> u64 {
        lock(&self.report).keys.get(key).copied().unwrap_or(0)
    }
}

impl RunGuard {
    /// Records a generated token.
    pub fn token(&self) {
        lock(&self.report).tokens += 1;
    }

    /// Records that the response is complete.
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
