//! The `call_result` module provides the final record of a call on the caller's side.

use std::time::Instant;

use super::{CallOutcome, PlannedCall};

/// A call with its tries and the outcome of the last one.
#[derive(Clone, Debug)]
pub struct CallResult {
    pub call: PlannedCall,
    /// The planned sending time. Latency is measured from here and not from the actual sending, so
    /// that a stall of the sender or a router shows in every call that it delayed.
    pub intended: Instant,
    /// Number of tries.
    pub tries: u32,
    /// The router's call ids of the tries that were refused as not run.
    pub not_run: Vec<String>,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// One entry per try with its time and event, to diagnose a lost call.
    pub trail: Vec<String>,
    /// The outcome of the last try.
    pub outcome: CallOutcome,
}

impl CallResult {
    /// Creates the record of a call that has not been sent.
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

    /// Records the outcome of a try and a description of its event.
    pub fn record(&mut self, outcome: CallOutcome, event: String) {
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
