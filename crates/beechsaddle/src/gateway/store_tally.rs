//! The `store_tally` module provides counts of store calls, logged in one line every few seconds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::mem::take;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::report::LogLevel;
use tokio::time::sleep;

use super::gateway_state::GatewayState;
use super::store_call::StoreCall;

/// Interval between log lines with counts of store calls: short enough to show the cost of an outage, at
/// one line instead of hundreds.
const TALLY_INTERVAL: Duration = Duration::from_secs(5);

/// The name of a call and of its outcome.
type CallLabels = (&'static str, &'static str);

/// Counts of store calls since the last log line.
#[derive(Debug, Default)]
pub(super) struct StoreTally {
    counts: RefCell<BTreeMap<CallLabels, u64>>,
}

impl StoreTally {
    pub(super) fn record(&self, call: StoreCall, what: &'static str) {
        let mut counts = self.counts.borrow_mut();
        *counts.entry((call.as_str(), what)).or_default() += 1;
    }

    /// Returns the counts since the last log line as `call/outcome:count` and resets them; `None` if there
    /// were no calls.
    fn take_text(&self) -> Option<String> {
        let counts = take(&mut *self.counts.borrow_mut());
        let entries = counts.iter();
        let entries = entries.map(|((call, what), count)| format!("{call}/{what}:{count}"));
        let entries: Vec<_> = entries.collect();
        (!entries.is_empty()).then(|| entries.join(" "))
    }
}

/// Logs the counts periodically, for as long as the process runs.
pub(super) async fn run_store_tally(state: Rc<GatewayState>) {
    loop {
        sleep(TALLY_INTERVAL).await;
        state.log_store_tally();
    }
}

impl GatewayState {
    /// Logs the counts of store calls since the last line.
    pub(super) fn log_store_tally(&self) {
        if let Some(calls) = self.store_tally.take_text() {
            let fields = [("calls", calls)];
            self.report.log(LogLevel::Info, "store_calls", fields);
        }
    }
}
