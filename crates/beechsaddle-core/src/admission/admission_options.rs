//! The `admission_options` module provides the settings of admission.

use crate::catalogue::EntryClass;

/// The pressure, in thousandths of what the router or the targets can take, at which the first
/// calls of a class are shed and at which all are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShedRange {
    /// Below this none is shed.
    pub first: u64,
    /// From this on all are shed.
    pub all: u64,
}

/// Settings of an [`AdmissionGate`](super::AdmissionGate).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// How many calls may be open at this router.
    pub open_calls: u32,
    /// How many calls may wait at each engine before it counts as full.
    pub waiting_per_target: u32,
    /// When batch calls are shed.
    pub shed_batch: ShedRange,
    /// When standard calls are shed.
    pub shed_standard: ShedRange,
    /// When critical calls are shed.
    pub shed_critical: ShedRange,
    /// The part of each limit, in thousandths, that is shared out evenly whatever the demand.
    pub floor_permille: u64,
    /// For how long a larger share has to hold before it is used, in milliseconds. Longer than a
    /// heartbeat takes, so that the routers that have to give way know of it first.
    pub settle_ms: u64,
    /// How often a use is told again while it does not change, in milliseconds.
    pub refresh_ms: u64,
    /// For how long a peer's use counts without being told again, in milliseconds.
    pub expire_ms: u64,
    /// For how long the meter of an entry without calls is kept, in milliseconds.
    pub idle_ms: u64,
    /// How many entries one heartbeat carries at most.
    pub news_limit: usize,
    /// For how many entries the use of peers is kept at most.
    pub meter_limit: usize,
    /// The longest `Retry-After`, in milliseconds.
    pub retry_after_max_ms: u64,
}

impl AdmissionOptions {
    /// When calls of a class are shed.
    pub fn shed_range(&self, class: EntryClass) -> ShedRange {
        match class {
            EntryClass::Batch => self.shed_batch,
            EntryClass::Standard => self.shed_standard,
            EntryClass::Critical => self.shed_critical,
        }
    }
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        // The ranges do not overlap, so that every call of a class is shed before the first one of
        // the next class is.
        AdmissionOptions {
            open_calls: 2_000,
            waiting_per_target: 16,
            shed_batch: ShedRange {
                first: 500,
                all: 700,
            },
            shed_standard: ShedRange {
                first: 700,
                all: 900,
            },
            shed_critical: ShedRange {
                first: 900,
                all: 1_000,
            },
            floor_permille: 200,
            settle_ms: 1_500,
            refresh_ms: 3_000,
            expire_ms: 10_000,
            idle_ms: 120_000,
            news_limit: 16,
            meter_limit: 4_096,
            retry_after_max_ms: 60_000,
        }
    }
}
