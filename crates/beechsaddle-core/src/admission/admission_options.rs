//! The `admission_options` module provides the settings of admission.

use crate::catalogue::EntryClass;

/// The pressure range over which calls of a class are shed, in thousandths of the capacity of the
/// router or the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShedRange {
    /// The pressure below which no call is shed.
    pub first: u64,
    /// The pressure from which all calls are shed.
    pub all: u64,
}

/// Settings of an [`AdmissionGate`](super::AdmissionGate).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// The maximum number of open calls at this router.
    pub open_calls: u32,
    /// The number of waiting calls at which an engine counts as full.
    pub waiting_per_target: u32,
    /// The shedding range for batch calls.
    pub shed_batch: ShedRange,
    /// The shedding range for standard calls.
    pub shed_standard: ShedRange,
    /// The shedding range for critical calls.
    pub shed_critical: ShedRange,
    /// The part of each limit that is divided evenly regardless of demand, in thousandths.
    pub floor_permille: u64,
    /// How long a larger share must persist before it is used, in milliseconds. Longer than a
    /// heartbeat takes, so that the routers with smaller shares reduce their use first.
    pub share_rise_delay_ms: u64,
    /// The interval at which an unchanged use is sent again, in milliseconds.
    pub refresh_ms: u64,
    /// How long a peer's use counts without being sent again, in milliseconds.
    pub expire_ms: u64,
    /// How long the meter of an entry without calls is retained, in milliseconds.
    pub idle_ms: u64,
    /// The maximum number of entries in one heartbeat.
    pub update_limit: usize,
    /// The maximum number of entries for which the use of peers is stored.
    pub meter_limit: usize,
    /// The maximum `Retry-After`, in milliseconds.
    pub retry_after_max_ms: u64,
}

impl AdmissionOptions {
    /// The shedding range for calls of a class.
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
        // The ranges do not overlap, so that all calls of a class are shed before the first call of
        // the next class.
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
            share_rise_delay_ms: 1_500,
            refresh_ms: 3_000,
            expire_ms: 10_000,
            idle_ms: 120_000,
            update_limit: 16,
            meter_limit: 4_096,
            retry_after_max_ms: 60_000,
        }
    }
}
