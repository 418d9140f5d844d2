//! The `call_result` module provides everything that a caller knows of a call in the end.

use std::time::Instant;

use super::{CallOutcome, PlannedCall};

/// A call with the outcome of its last try.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The call.
    pub call: PlannedCall,
    /// When it should have been sent. Latency counts from here and not from the real sending, so
    /// that a stall of sender or router shows in every call that it delayed.
    pub intended: Instant,
    /// How many tries there were.
    pub tries: u32,
    /// The router's ids of the tries that were told that they did not run.
    pub not_run: Vec<String>,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// What happened in each try, for a person who looks for the cause of a lost call.
    pub trail: Vec<String>,
    /// How the last try ended.
    pub outcome: CallOutcome,
}

impl CallResult {
    /// A call that was not tried yet.
    pub fn new(call: PlannedCall, start: Instant, repeatable: bool) -> Self {
        let intended = start + call.offset;
        CallResult {
            call,
            intended,
            tries: 0,
            not_run: Vec::new(),
            repeatable,
            trail: Vec::new(),
            outcome: CallOutcome::Broken,
        }
    }

    /// Takes the outcome of a try and what happened in it.
    pub fn note(&mut self, outcome: CallOutcome, event: String) {
        self.tries += 1;
        let after = self.intended.elapsed().as_millis();
        self.trail.push(format!("{after} ms: {event}"));
        if let CallOutcome::Refused(refusal) = &outcome
            && refusal.not_run
        {
            self.not_run.push(refusal.call.clone());
        }
        self.outcome = outcome;
    }
}
