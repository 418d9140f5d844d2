//! The `store_tally` module provides the number of calls to the store, a line every few seconds.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::mem::take;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::report::LogLevel;
use tokio::time::sleep;

use super::gateway_state::GatewayState;
use super::store_call::StoreCall;

/// How often calls to the store are summed up in the log: fine enough to see what an outage cost, and one line
/// in place of hundreds.
const TALLY_SPAN: Duration = Duration::from_secs(5);

/// What was asked, and what came of it.
type CallWords = (&'static str, &'static str);

/// Calls to the store since the last line.
#[derive(Debug, Default)]
pub(super) struct StoreTally {
    counts: RefCell<BTreeMap<CallWords, u64>>,
}

impl StoreTally {
    /// Counts a call.
    pub(super) fn note(&self, call: StoreCall, what: &'static str) {
        let mut counts = self.counts.borrow_mut();
        *counts.entry((call.as_str(), what)).or_default() += 1;
    }

    /// The calls since this was last asked, as `call/outcome:count`, or `None` if there were none.
    fn take_text(&self) -> Option<String> {
        let counts = take(&mut *self.counts.borrow_mut());
        let words = counts.iter();
        let words = words.map(|((call, what), count)| format!("{call}/{what}:{count}"));
        let words: Vec<_> = words.collect();
        (!words.is_empty()).then(|| words.join(" "))
    }
}

/// Sums up calls to the store for ever.
pub(super) async fn run_store_tally(state: Rc<GatewayState>) {
    loop {
        sleep(TALLY_SPAN).await;
        state.log_store_tally();
    }
}

impl GatewayState {
    /// Logs the calls to the store since the last line.
    pub(super) fn log_store_tally(&self) {
        if let Some(calls) = self.store_tally.take_text() {
            let fields = [("calls", calls)];
            self.report.log(LogLevel::Info, "store_calls", fields);
        }
    }
}
