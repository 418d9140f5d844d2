//! The `platform_counters` module provides counts of what was asked of the platform.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts since the start; calls that a fault or a limit hit are counted too.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounters {
    /// Reads of one object.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Deletes.
    pub deletes: u64,
    /// Lists.
    pub lists: u64,
    /// Watches, each waiting time counted as one.
    pub watches: u64,
    /// Watches that wait now.
    pub watches_waiting: u64,
    /// Writes and deletes whose condition did not hold.
    pub conflicts: u64,
    /// Calls refused by a rate limit.
    pub throttled: u64,
    /// Calls hit by a fault.
    pub faulted: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of answer bodies.
    pub bytes_out: u64,
    /// Writes and deletes by the first part of the key.
    pub writes_by_prefix: BTreeMap<String, u64>,
    /// Reads, lists and watches by the first part of the key.
    pub reads_by_prefix: BTreeMap<String, u64>,
}
