//! The `accounting_options` module provides the settings of budgets, grants and journals.

/// Settings of an [`AccountingManager`](super::AccountingManager). Times are in milliseconds,
/// amounts in tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountingOptions {
    /// Number of ledger shards; the same on all routers, see `FleetLayout`.
    pub shard_count: u32,
    /// Length of a platform outage that a holder can bridge while a budget is ample: its durable
    /// mark runs this far ahead of spending. A death writes off about as much.
    pub endurance_ms: u64,
    /// Maximum part of a budget's remainder, in thousandths, by which a mark may run ahead of
    /// spending; it reduces the outage reserve of a scarce budget.
    pub endurance_share_permille: u64,
    /// Time for which a grant lasts beyond its mark at the measured demand.
    pub grant_span_ms: u64,
    /// Minimum amount that a grant holds beyond reservations, while the budget is ample.
    pub min_grant: u64,
    /// Time without requests after which a grant is returned.
    pub idle_return_ms: u64,
    /// Time between two writes of the journal if no request waits for one.
    pub journal_period_ms: u64,
    /// Every segment whose number is a multiple of this is a checkpoint, from which a reader
    /// starts; the same on all routers.
    pub checkpoint_every: u64,
    /// Maximum time between a durable bill and its folding into the ledger.
    pub fold_period_ms: u64,
    /// Minimum time before an exhausted budget is read again.
    pub recheck_ms: u64,
    /// Time for which an entry router waits for the holder; longer than `grant_timeout_ms`, for
    /// which the holder waits for a grant.
    pub holder_timeout_ms: u64,
    /// Time for which a request waits at the holder for a grant or a mark.
    pub grant_timeout_ms: u64,
    /// Time without a message about a call after which the holder queries its entry router.
    pub silence_ms: u64,
    /// Time for which the last part of a response is held back until a second router has the usage.
    pub settle_timeout_ms: u64,
    /// Time after which an unanswered message is sent again.
    pub resend_ms: u64,
    /// Retention of a caller-chosen key after its bill.
    pub dedup_window_ms: u64,
    /// Maximum number of further runs under a key after its first complete answer.
    pub max_reruns: u32,
    /// Time between two audit reads of ledger shards for grants whose routers no live router knows.
    /// Each router reads the shards that it is picked for in turn, so that the cost grows only with
    /// the number of routers.
    pub audit_period_ms: u64,
    /// Time for which a host must be in no list before an unknown router on it is taken for gone;
    /// longer than the lag of the platform's lists.
    pub list_lag_ms: u64,
    /// Time for which late bills of a closed journal are accepted.
    pub closed_retention_ms: u64,
    /// Maximum number of requests that wait for one budget's grant.
    pub max_waiting: usize,
    /// Maximum number of new bills in one journal segment. A checkpoint holds as many again that
    /// are not folded and as many that are not confirmed; at 235 bytes each that is under 1 MB.
    pub max_segment_bills: usize,
}

impl Default for AccountingOptions {
    fn default() -> Self {
        AccountingOptions {
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

impl AccountingOptions {
    /// Settings that favour paid requests not being refused over tokens lost at a death. The
    /// figures behind them are in `docs/BUDGETS.md`.
    pub fn favor_availability() -> Self {
        AccountingOptions {
            endurance_ms: 60_000,
            endurance_share_permille: 250,
            ..AccountingOptions::default()
        }
    }

    /// Settings that favour fewer lost tokens over fewer refusals in an outage.
    pub fn favor_budget() -> Self {
        AccountingOptions {
            endurance_ms: 10_000,
            endurance_share_permille: 50,
            ..AccountingOptions::default()
        }
    }
}
