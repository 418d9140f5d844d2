//! The `loan_backoff` module provides the pauses between loan requests for a workspace that all
//! lenders refuse.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::WorkspaceName;

/// The first pause after a refusal, in milliseconds. Callers are refused at once during a pause;
/// otherwise each call would ask again and be refused late.
const BACKOFF_INITIAL_MS: u64 = 400;

/// The longest pause, in milliseconds. Answers of the store show the end of an outage sooner; an
/// allocator that has received tokens from elsewhere is found within this time.
const BACKOFF_MAX_MS: u64 = 3_200;

/// The workspaces whose tokens no router can lend at present.
///
/// During an outage the answer stays the same for seconds, and continuous requests would load the
/// allocators that serve callers of other workspaces.
#[derive(Clone, Debug, Default)]
pub struct LoanBackoff {
    backoffs: BTreeMap<WorkspaceName, WorkspaceBackoff>,
}

#[derive(Clone, Copy, Debug)]
struct WorkspaceBackoff {
    until: ClockTime,
    span_ms: u64,
}

impl LoanBackoff {
    /// Records that all lenders refused: none is asked for a time, which doubles with each refusal.
    pub fn record_refused(&mut self, now: ClockTime, workspace: &WorkspaceName) {
        let known = self.backoffs.get(workspace);
        let span_ms = known.map_or(BACKOFF_INITIAL_MS, |backoff| {
            (backoff.span_ms * 2).min(BACKOFF_MAX_MS)
        });
        let until = now.plus_ms(span_ms);
        let backoff = WorkspaceBackoff { until, span_ms };
        self.backoffs.insert(workspace.clone(), backoff);
    }

    /// Ends the pause of a workspace after a loan.
    pub fn record_lent(&mut self, workspace: &WorkspaceName) {
        self.backoffs.remove(workspace);
    }

    /// Ends all pauses when the store answers again, as allocators can then take tokens for every
    /// workspace.
    pub fn clear(&mut self) {
        self.backoffs.clear();
    }

    /// Whether no router is to be asked now.
    pub fn is_paused(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        self.backoffs
            .get(workspace)
            .is_some_and(|backoff| now < backoff.until)
    }
}
