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

// The list of all counters and their names are made from the one list of variants, so that a counter
// that is added cannot be missing from the documentation's test or have a name of its own.
macro_rules! counter_names {
    ($($(#[$meta:meta])* $variant:ident $(($detail:ident))?,)*) => {
        /// A counter. `docs/METRICS.md` lists each.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        pub enum CounterName {
            $($(#[$meta])* $variant $(($detail))?,)*
        }

        impl CounterName {
            /// Every counter, each reason by itself, in the order of the documentation.
            pub fn all() -> Vec<CounterName> {
                [$(counter_names!(@list $variant $(, $detail)?)),*].concat()
            }

            /// The counter as it stands in metrics, below the prefix of the settings.
            pub fn metric(self) -> String {
                match self {
                    $(counter_names!(@pattern reason, $variant $(, $detail)?) => {
                        let name = snake_case(stringify!($variant));
                        counter_names!(@metric name, reason $(, $detail)?)
                    })*
                }
            }
        }
    };
    (@list $variant:ident) => {
        vec![CounterName::$variant]
    };
    (@list $variant:ident, $detail:ident) => {
        $detail::ALL.map(CounterName::$variant).to_vec()
    };
    (@pattern $reason:ident, $variant:ident) => {
        CounterName::$variant
    };
    (@pattern $reason:ident, $variant:ident, $detail:ident) => {
        CounterName::$variant($reason)
    };
    (@metric $name:ident, $reason:ident) => {
        $name
    };
    (@metric $name:ident, $reason:ident, $detail:ident) => {
        format!("{}.{}", $name, $reason.as_str())
    };
}

counter_names! {
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
    /// Connections of peers that were refused, most of them for a wrong secret.
    PeersRefused,
    /// Messages of peers that could not be read.
    PeerMessagesInvalid,
    /// Platform calls without a known outcome.
    PlatformUnknown,
    /// Messages dropped because a ring was full.
    RingFull,
}

fn snake_case(words: &str) -> String {
    let mut name = String::new();
    for letter in words.chars() {
        if letter.is_ascii_uppercase() && !name.is_empty() {
            name.push('_');
        }
        name.push(letter.to_ascii_lowercase());
    }
    name
}

/// A level that is measured now and then. `docs/METRICS.md` lists each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum GaugeName {
    /// Calls that are running.
    OpenCalls,
    /// Bills that are not yet durable.
    UnjournalledBills,
    /// Grants that this router holds.
    GrantsHeld,
    /// Routers of the own domain that are alive.
    PeersLive,
    /// Targets of the own domain that get new work.
    TargetsLive,
    /// The catalogue revision in force.
    CatalogueRevision,
}

impl GaugeName {
    /// Every gauge, in the order of the documentation.
    pub const ALL: [GaugeName; 6] = [
        GaugeName::OpenCalls,
        GaugeName::UnjournalledBills,
        GaugeName::GrantsHeld,
        GaugeName::PeersLive,
        GaugeName::TargetsLive,
        GaugeName::CatalogueRevision,
    ];

    /// The gauge as it stands in metrics, below the prefix of the settings.
    pub fn metric(self) -> &'static str {
        match self {
            GaugeName::OpenCalls => "open_calls",
            GaugeName::UnjournalledBills => "unjournalled_bills",
            GaugeName::GrantsHeld => "grants_held",
            GaugeName::PeersLive => "peers_live",
            GaugeName::TargetsLive => "targets_live",
            GaugeName::CatalogueRevision => "catalogue_revision",
        }
    }
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
    /// Sets a gauge.
    Gauge {
        /// The gauge.
        gauge: GaugeName,
        /// Its level.
        level: u64,
    },
}
