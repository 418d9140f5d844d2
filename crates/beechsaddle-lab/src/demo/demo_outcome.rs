//! The `demo_outcome` module provides the checks and the result of the demonstration.

use std::fmt;

use super::demo_calls::{CLAIM_KEY, SentCalls};
use super::demo_statement::DemoStatement;
use crate::fleet::{FleetCaller, LabFleet};
use crate::stand_in::RunReport;

/// The result of the demonstration.
#[derive(Clone, Debug)]
pub struct DemoOutcome {
    answered: u64,
    refused: u64,
    billed: u64,
    overspend: u64,
    /// Failed checks.
    pub findings: Vec<String>,
}

impl DemoOutcome {
    /// Compares the responses, the runs at the targets and the statement with each other.
    pub async fn evaluate(
        fleet: &LabFleet,
        calls: &SentCalls,
        statement: &DemoStatement,
    ) -> eyre::Result<Self> {
        let mut findings = calls.findings.clone();
        let mut expect = |what: &str, found: u64, expected: u64| {
            if found != expected {
                findings.push(format!("{what}: expected {expected}, found {found}"));
            }
        };
        expect("calls with an end", calls.answered + calls.refused, 4);
        expect("bills", statement.bills(), calls.bills);
        expect("settled tokens", statement.settled(), calls.tokens);
        expect("written off tokens", statement.written_off(), 0);
        expect("overspend", statement.overspend(), 0);
        let address = fleet.target_address("trznica-1")?;
        let ran: RunReport = FleetCaller::new().get(&address, "/ran").await?;
        let claims = ran.keys.get(CLAIM_KEY).copied().unwrap_or(0);
        expect("runs of the claim", claims, 1);
        expect("runs at the plain service", ran.started, 2);
        Ok(DemoOutcome {
            answered: calls.answered,
            refused: calls.refused,
            billed: statement.bills(),
            overspend: statement.overspend(),
            findings,
        })
    }
}

impl fmt::Display for DemoOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "answered={} refused={} billed={} overspend={} ok={}",
            self.answered,
            self.refused,
            self.billed,
            self.overspend,
            self.findings.is_empty()
        )
    }
}
