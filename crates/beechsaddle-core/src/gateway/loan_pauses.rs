//! The `loan_pauses` module provides how long a workspace's tokens are not asked for after all have refused.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::names::WorkspaceName;

/// The first pause after a refusal, in milliseconds. Callers are refused at once meanwhile, where each of
/// their calls would ask anew and wait for the outcome until it is late for it to be refused.
const FIRST_PAUSE_MS: u64 = 400;

/// The longest pause, in milliseconds: an outage that ends is noticed sooner by the store's answers, and a
/// keeper that has got tokens from elsewhere meanwhile is found within this.
const LONGEST_PAUSE_MS: u64 = 3_200;

/// The workspaces whose tokens nobody can give just now.
///
/// Through an outage the answer stays the same for seconds: asking all the time would load the keepers that the
/// other workspaces' callers wait for.
#[derive(Clone, Debug, Default)]
pub struct LoanPauses {
    pauses: BTreeMap<WorkspaceName, LoanPause>,
}

#[derive(Clone, Copy, Debug)]
struct LoanPause {
    until: ClockTime,
    span_ms: u64,
}

impl LoanPauses {
    /// All have refused: nobody is asked for some time, each time for longer.
    pub fn note_refused(&mut self, now: ClockTime, workspace: &WorkspaceName) {
        let known = self.pauses.get(workspace);
        let span_ms = known.map_or(FIRST_PAUSE_MS, |pause| {
            (pause.span_ms * 2).min(LONGEST_PAUSE_MS)
        });
        let until = now.plus_ms(span_ms);
        let pause = LoanPause { until, span_ms };
        self.pauses.insert(workspace.clone(), pause);
    }

    /// Tokens came.
    pub fn note_lent(&mut self, workspace: &WorkspaceName) {
        self.pauses.remove(workspace);
    }

    /// The store answers again: keepers can get tokens for every workspace.
    pub fn clear(&mut self) {
        self.pauses.clear();
    }

    /// Whether nobody is asked now.
    pub fn is_paused(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        self.pauses
            .get(workspace)
            .is_some_and(|pause| now < pause.until)
    }
}
