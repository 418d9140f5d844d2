//! The `report` module provides log lines and metrics.

use serde::Serialize;

use crate::call::AttemptFailure;
use crate::refusal::RefusalReason;

/// The severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum LogLevel {
    /// For debugging.
    Debug,
    /// Informs operators afterwards.
    Info,
    /// Requires attention in working hours.
    Warning,
    /// Requires attention now.
    Error,
}

// The list of counters and their names are generated from one list of variants, so that the test of
// the documentation covers every counter and no name deviates from its variant.
macro_rules! counter_names {
    ($($(#[$meta:meta])* $variant:ident $(($detail:ident))?,)*) => {
        /// A counter. `docs/METRICS.md` lists each.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        pub enum CounterName {
            $($(#[$meta])* $variant $(($detail))?,)*
        }

        impl CounterName {
            /// Returns every counter, with each reason separately, in the order of the
            /// documentation.
            pub fn all() -> Vec<CounterName> {
                [$(counter_names!(@list $variant $(, $detail)?)),*].concat()
            }

            /// Returns the name of the counter in metrics, without the prefix from the settings.
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
    /// Calls with a complete answer.
    CallsAnswered,
    /// Calls whose answer ended early.
    CallsTruncated,
    /// Calls whose caller disconnected.
    CallersGone,
    /// Refusals, by reason.
    Refused(RefusalReason),
    /// Attempts that failed, by reason.
    AttemptFailed(AttemptFailure),
    /// Retries, by the reason of the previous attempt.
    Retried(AttemptFailure),
    /// Attempts not retried because the retry budget was exhausted.
    RetryBudgetEmpty,
    /// Calls dispatched to targets of another domain.
    CrossDomain,
    /// Usage above the reserved bound, billed at the bound.
    UsageOverBound,
    /// Grants taken.
    GrantsTaken,
    /// Grants returned.
    GrantsReturned,
    /// Journals of other routers that this one closed.
    JournalsFenced,
    /// Own journals that another router closed.
    OwnJournalFenced,
    /// Orphaned requests with a provisional bill.
    OrphansBilled,
    /// Bills dropped because their key already had one.
    DuplicateBills,
    /// Targets ejected as outliers.
    TargetsEjected,
    /// Messages to peers that could not be sent.
    PeerSendFailed,
    /// Refused connections of peers, most of them for a wrong secret.
    PeersRefused,
    /// Messages of peers that could not be decoded.
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

/// A periodically reported gauge. `docs/METRICS.md` lists each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum GaugeName {
    /// Running calls.
    OpenCalls,
    /// Bills that are not yet durable.
    UnjournalledBills,
    /// Grants that this router holds.
    GrantsHeld,
    /// Live routers of the own domain.
    PeersLive,
    /// Targets of the own domain that receive new work.
    TargetsLive,
    /// The catalogue revision in effect.
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

    /// Returns the name of the gauge in metrics, without the prefix from the settings.
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

/// A log line of `key=value` fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    pub level: LogLevel,
    /// The name of the event, in snake case.
    pub event: &'static str,
    /// The fields, in order.
    pub fields: Vec<(&'static str, String)>,
}

/// An action for the edge that logs and reports metrics.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum ReportAction {
    /// Logs a line.
    Log(LogLine),
    /// Increments a counter.
    Count(CounterName),
    /// Adds to a counter.
    Add { counter: CounterName, amount: u64 },
    /// Sets a gauge.
    Gauge { gauge: GaugeName, level: u64 },
}
