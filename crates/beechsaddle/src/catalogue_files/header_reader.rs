//! The `header_reader` module provides the reading of the fields that every entry has: owner, class
//! and limits.

use beechsaddle_core::catalogue::{EntryClass, EntryHeader, EntryLimits};
use beechsaddle_core::prelude::*;

use crate::findings::{FindingList, TableReader};

/// Reads the owner, class and limits of an entry.
pub(super) fn read_header(
    reader: &TableReader<'_>,
    findings: &mut FindingList,
) -> Option<EntryHeader> {
    let owner = reader.require_name("owner", findings);
    let choices = [
        ("batch", EntryClass::Batch),
        ("standard", EntryClass::Standard),
        ("critical", EntryClass::Critical),
    ];
    let class = reader.read_choice("class", &choices, findings);
    let limits = reader
        .read_table("limits", findings)
        .map(|table| read_limits(&table, findings));
    Some(EntryHeader {
        owner: OwnerName::new(owner?),
        class: class.unwrap_or_default(),
        limits: limits.unwrap_or_default(),
    })
}

/// Reads limits, which must be positive: a limit of zero would refuse every call, and an unused
/// entry should be removed instead.
fn read_limits(reader: &TableReader<'_>, findings: &mut FindingList) -> EntryLimits {
    let limit_max = u64::from(u32::MAX);
    let concurrency = reader.read_u64("concurrency", 1..=limit_max, findings);
    let requests_per_second = reader.read_u64("requests_per_second", 1..=limit_max, findings);
    let tokens_per_minute = reader.read_u64("tokens_per_minute", 1..=u64::MAX, findings);
    reader.finish(findings);
    EntryLimits {
        concurrency: concurrency.and_then(|limit| u32::try_from(limit).ok()),
        requests_per_second: requests_per_second.and_then(|limit| u32::try_from(limit).ok()),
        tokens_per_minute,
    }
}
