//! The `report` module provides log lines and counts.

use serde::Serialize;

use crate::call::AttemptFailure;
use crate::refusal::RefusalReason;

/// How much a log line matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum LogLevel {
    /// For finding faults in the code.
    Debug,
    /// What an operator wants to read afterwards.
    Info,
    /// What an operator should look at in working hours.
    Warning,
    /// What an operator should look at now.
    Error,
}

/// A counter. `docs/METRICS.md` lists each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum CounterName {
    /// Calls that arrived.
    CallsArrived,
    /// Calls answered in full.
    CallsAnswered,
    /// Calls whose answer broke off.
    CallsTruncated,
    /// Calls whose caller hung up.
    CallersGone,
    /// Refusals, by reason.
    Refused(RefusalReason),
    /// Attempts that failed, by reason.
    AttemptFailed(AttemptFailure),
    /// Further attempts, by the reason of the attempt before.
    Retried(AttemptFailure),
    /// Attempts not retried because the retry budget was used up.
    RetryBudgetEmpty,
    /// Calls that went to another domain's targets.
    CrossDomain,
    /// Usage above the reserved bound, billed at the bound.
    UsageOverBound,
    /// Grants taken.
    GrantsTaken,
    /// Grants given back.
    GrantsReturned,
    /// Journals of other routers closed by this one.
    JournalsFenced,
    /// Own journals found closed by another router.
    OwnJournalFenced,
    /// Orphaned requests billed provisionally.
    OrphansBilled,
    /// Bills dropped because their key was billed before.
    DuplicateBills,
    /// Targets ejected as outliers.
    TargetsEjected,
    /// Messages to peers that could not be sent.
    PeerSendFailed,
    /// Platform calls without a known outcome.
    PlatformUnknown,
    /// Messages dropped because a ring was full.
    RingFull,
}

/// One key=value line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// How much it matters.
    pub level: LogLevel,
    /// What happened, in snake case.
    pub event: &'static str,
    /// Its fields, in order.
    pub fields: Vec<(&'static str, String)>,
}

/// Something for the edge that logs and counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum ReportAction {
    /// Log a line.
    Log(LogLine),
    /// Count by one.
    Count(CounterName),
    /// Count by an amount.
    Add {
        /// The counter.
        counter: CounterName,
        /// The amount.
        amount: u64,
    },
}
