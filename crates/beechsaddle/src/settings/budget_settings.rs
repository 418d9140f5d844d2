//! The `budget_settings` module provides the `[budgets]` table.

use crate::findings::{FindingList, TableReader};

/// How budgets are held and journalled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Ledger shards of a new fleet. An existing fleet keeps the count in its layout.
    pub ledger_shards: u32,
    /// Dedup shards of a new fleet. An existing fleet keeps the count in its layout.
    pub dedup_shards: u32,
    /// How long the tokens of a holder last during an outage of the platform, if the budget is
    /// ample.
    pub endurance_ms: u64,
    /// The largest share of a budget's remainder that a holder's high-water mark may run ahead, in
    /// thousandths.
    pub endurance_share_permille: u64,
    /// The interval at which a journal with new entries is written.
    pub journal_period_ms: u64,
    /// How long a grant may stay unused before it is returned.
    pub idle_grant_ms: u64,
    /// The retention period of a dedup record.
    pub dedup_retention_ms: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings {
            ledger_shards: 8_192,
            dedup_shards: 512,
            endurance_ms: 30_000,
            endurance_share_permille: 125,
            journal_period_ms: 1_000,
            idle_grant_ms: 60_000,
            dedup_retention_ms: 86_400_000,
        }
    }
}

impl BudgetSettings {
    /// Reads the table. Absent keys have their defaults.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Self {
        let default = BudgetSettings::default();
        let settings = BudgetSettings {
            ledger_shards: read_shards(reader, "ledger_shards", default.ledger_shards, findings),
            dedup_shards: read_shards(reader, "dedup_shards", default.dedup_shards, findings),
            endurance_ms: reader.read_u64_or(
                "endurance_ms",
                default.endurance_ms,
                0..=3_600_000,
                findings,
            ),
            endurance_share_permille: reader.read_u64_or(
                "endurance_share_permille",
                default.endurance_share_permille,
                0..=1_000,
                findings,
            ),
            journal_period_ms: reader.read_u64_or(
                "journal_period_ms",
                default.journal_period_ms,
                50..=60_000,
                findings,
            ),
            idle_grant_ms: reader.read_u64_or(
                "idle_grant_ms",
                default.idle_grant_ms,
                1_000..=86_400_000,
                findings,
            ),
            dedup_retention_ms: reader.read_u64_or(
                "dedup_retention_ms",
                default.dedup_retention_ms,
                60_000..=604_800_000,
                findings,
            ),
        };
        reader.finish(findings);
        settings
    }
}

/// The largest shard count. Each shard is an object that some routers read.
const SHARDS_MAX: u64 = 65_536;

fn read_shards(
    reader: &TableReader<'_>,
    key: &str,
    default: u32,
    findings: &mut FindingList,
) -> u32 {
    let count = reader.read_u64_or(key, u64::from(default), 1..=SHARDS_MAX, findings);
    u32::try_from(count).unwrap_or(default)
}
