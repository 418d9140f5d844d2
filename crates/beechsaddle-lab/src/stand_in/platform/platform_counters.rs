//! The `platform_counters` module provides counts of the calls that the platform stand-in received.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Counts since the start, including calls that failed by a fault or a rate limit.
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
    /// Watch requests; a watch that is renewed after its wait counts again.
    pub watches: u64,
    /// Watch requests that are waiting now.
    pub watches_waiting: u64,
    /// Writes and deletes whose condition failed.
    pub conflicts: u64,
    /// Calls rejected by a rate limit.
    pub throttled: u64,
    /// Calls into which a fault was injected.
    pub faulted: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of response bodies.
    pub bytes_out: u64,
    /// Writes and deletes by the first path segment of the key.
    pub writes_by_prefix: BTreeMap<String, u64>,
    /// Reads, lists and watches by the first path segment of the key.
    pub reads_by_prefix: BTreeMap<String, u64>,
}
