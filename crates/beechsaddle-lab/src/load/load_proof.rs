//! The `load_proof` module provides what the platform and the targets say of a run.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{CallerSettings, LedgerTotals, LoadTally, PlatformReader, RunTotals};
use crate::key_values::KeyValues;

/// How long bills may take to reach the ledger after the last answer.
const SETTLE_PATIENCE: Duration = Duration::from_secs(30);

/// The time between two readings of the ledger.
const SETTLE_PERIOD: Duration = Duration::from_millis(500);

/// What the platform and the targets say of a run, beside what its callers saw.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadProof {
    /// The ledger's growth, where the platform is known.
    pub ledger: Option<LedgerTotals>,
    /// What ran, where the targets are known.
    pub ran: Option<RunTotals>,
}

impl LoadProof {
    /// Reads the ledger, with the settled tokens and bills as they were `before` taken off, after
    /// waiting until it holds at least what the callers were told that their answers cost.
    ///
    /// # Errors
    ///
    /// When the platform or a target does not answer.
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
        Ok(LoadProof { ledger, ran })
    }

    /// The proof as pairs. `unbilled` are tokens of answers that the ledger does not hold.
    pub fn pairs(&self, tally: &LoadTally) -> KeyValues {
        let mut pairs = KeyValues::new();
        if let Some(ran) = &self.ran {
            pairs = pairs
                .with("ran", ran.started)
                .with("doubled", ran.doubled(tally))
                .with("false_not_run", ran.false_not_run(tally));
        }
        if let Some(ledger) = &self.ledger {
            let told = tally.tokens;
            pairs = pairs
                .with("told", told)
                .with("unbilled", told.saturating_sub(ledger.settled))
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
    let deadline = Instant::now() + SETTLE_PATIENCE;
    loop {
        let mut totals = LedgerTotals::read(&platform).await?;
        totals.settled = totals.settled.saturating_sub(before.settled);
        totals.bills = totals.bills.saturating_sub(before.bills);
        if totals.settled >= tally.tokens || Instant::now() >= deadline {
            return Ok(totals);
        }
        sleep(SETTLE_PERIOD).await;
    }
}
