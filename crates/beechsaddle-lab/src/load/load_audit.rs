//! The `load_audit` module provides the check of a run against the ledger and the targets.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{CallerSettings, LedgerTotals, LoadTally, PlatformReader, RunTotals};
use crate::key_values::KeyValues;

/// How long bills may take to reach the ledger after the last response.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The time between two reads of the ledger.
const SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The records of the platform and the targets on a run, to compare with the callers' tally.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadAudit {
    /// The ledger's totals, if the address of the platform is set.
    pub ledger: Option<LedgerTotals>,
    /// The runs that the targets report, if their addresses are set.
    pub ran: Option<RunTotals>,
}

impl LoadAudit {
    /// Waits until the ledger has settled at least the usage that responses reported to callers,
    /// then reads ledger and targets. The settled tokens and bills of `before` are subtracted.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform or a target does not respond.
    pub async fn read(
        settings: &CallerSettings,
        tally: &LoadTally,
        before: LedgerTotals,
    ) -> eyre::Result<Self> {
        let ledger = match &settings.platform {
            Some(address) => Some(settled_ledger(address, tally, before).await?),
            None => None,
        };
        let ran = match settings.targets.is_empty() {
            true => None,
            false => Some(RunTotals::read(&settings.targets).await?),
        };
        Ok(LoadAudit { ledger, ran })
    }

    /// Returns the audit as key-value pairs. `told` counts the tokens that responses reported, and
    /// `unbilled` those of them that the ledger has not settled.
    pub fn pairs(&self, tally: &LoadTally) -> KeyValues {
        let mut pairs = KeyValues::new();
        if let Some(ran) = &self.ran {
            pairs = pairs
                .with("ran", ran.started)
                .with("doubled", ran.doubled(tally))
                .with("false_not_run", ran.false_not_run(tally));
        }
        if let Some(ledger) = &self.ledger {
            let reported = tally.tokens;
            pairs = pairs
                .with("told", reported)
                .with("unbilled", reported.saturating_sub(ledger.settled))
                .joined(ledger.pairs());
        }
        pairs
    }
}

async fn settled_ledger(
    address: &str,
    tally: &LoadTally,
    before: LedgerTotals,
) -> eyre::Result<LedgerTotals> {
    let platform = PlatformReader::new(address);
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let mut totals = LedgerTotals::read(&platform).await?;
        totals.settled = totals.settled.saturating_sub(before.settled);
        totals.bills = totals.bills.saturating_sub(before.bills);
        if totals.settled >= tally.tokens || Instant::now() >= deadline {
            return Ok(totals);
        }
        sleep(SETTLE_POLL_INTERVAL).await;
    }
}
