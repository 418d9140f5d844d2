//! The `money_options` module provides the settings of budgets, grants and journals.

/// Settings of a [`MoneyDesk`](super::MoneyDesk). Spans are milliseconds, amounts tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoneyOptions {
    /// How many ledger shards there are; the same on all routers, see `FleetLayout`.
    pub shard_count: u32,
    /// The platform outage that a holder can sit out while a budget is ample: its durable mark runs
    /// this long ahead of spending. A death writes off about as much.
    pub endurance_ms: u64,
    /// The share of what is left of a budget, in thousandths, that a mark may run ahead of
    /// spending; it shrinks the endurance of a scarce budget.
    pub endurance_share_permille: u64,
    /// How long a grant lasts beyond its mark at the measured demand.
    pub grant_span_ms: u64,
    /// The least that a grant holds beyond what is reserved, while the budget is ample.
    pub min_grant: u64,
    /// A grant without a request for this long is given back.
    pub idle_return_ms: u64,
    /// The time between two writes of the journal, when nothing waits for one.
    pub journal_period_ms: u64,
    /// Every segment whose number is a multiple of this is a checkpoint, from which a reader starts;
    /// the same on all routers.
    pub checkpoint_every: u64,
    /// The longest time between a durable bill and its folding into the ledger.
    pub fold_period_ms: u64,
    /// How long a budget that ran out is not read again.
    pub recheck_ms: u64,
    /// How long an entry router waits for the holder; longer than the holder waits for a grant.
    pub holder_timeout_ms: u64,
    /// How long a request waits at the holder for a grant or a mark.
    pub grant_timeout_ms: u64,
    /// After how long without a sign of a call the holder asks its entry router about it.
    pub silence_ms: u64,
    /// How long the last part of an answer waits until a second router knows the usage.
    pub settle_timeout_ms: u64,
    /// The time between two sendings of a message that was not answered.
    pub resend_ms: u64,
    /// How long a caller-made key is remembered after its bill.
    pub dedup_window_ms: u64,
    /// How often an answered key may be run again.
    pub max_reruns: u32,
    /// The time between two reads of ledger shards for grants of routers that nobody knows any more. Each router
    /// reads the shards that it is picked for in turn, so that the cost grows with routers alone.
    pub audit_period_ms: u64,
    /// How long a host must be in no list before a router there that nobody knows is taken for gone: longer than
    /// the platform's lists lag.
    pub list_lag_ms: u64,
    /// How long late bills of a closed journal are taken.
    pub closed_retention_ms: u64,
    /// How many requests wait for one budget's grant at most.
    pub max_waiting: usize,
    /// How many new bills one journal segment holds at most. A checkpoint holds as many again that
    /// are not folded and as many that are not confirmed; at 235 bytes each that is under 1 MB.
    pub max_segment_bills: usize,
}

impl Default for MoneyOptions {
    fn default() -> Self {
        MoneyOptions {
            shard_count: 64,
            endurance_ms: 30_000,
            endurance_share_permille: 125,
            grant_span_ms: 30_000,
            min_grant: 20_000,
            idle_return_ms: 60_000,
            journal_period_ms: 1_000,
            checkpoint_every: 64,
            fold_period_ms: 5_000,
            recheck_ms: 1_000,
            holder_timeout_ms: 800,
            grant_timeout_ms: 500,
            silence_ms: 10_000,
            settle_timeout_ms: 1_000,
            resend_ms: 500,
            dedup_window_ms: 600_000,
            max_reruns: 3,
            audit_period_ms: 10_000,
            list_lag_ms: 60_000,
            closed_retention_ms: 7 * 86_400_000,
            max_waiting: 1_000,
            max_segment_bills: 1_200,
        }
    }
}

impl MoneyOptions {
    /// Settings for operators to whom a request that is refused although it was paid for is worse
    /// than tokens lost at a death. The figures behind them are in `docs/BUDGETS.md`.
    pub fn favor_availability() -> Self {
        MoneyOptions {
            endurance_ms: 60_000,
            endurance_share_permille: 250,
            ..MoneyOptions::default()
        }
    }

    /// Settings for operators to whom lost tokens are worse than refusals in an outage.
    pub fn favor_budget() -> Self {
        MoneyOptions {
            endurance_ms: 10_000,
            endurance_share_permille: 50,
            ..MoneyOptions::default()
        }
    }
}
