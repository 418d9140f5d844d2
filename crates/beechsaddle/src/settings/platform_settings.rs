//! The `platform_settings` module provides the `[platform]` table.

use std::net::SocketAddr;

use crate::findings::{FindingList, TableReader};

/// Where the platform's object API is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// How long a call may take before its outcome counts as unknown.
    pub timeout_ms: u64,
}

impl PlatformSettings {
    /// Reads the table; `None` when there is no usable address.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<Self> {
        let address = reader.need_address("address", findings);
        let timeout_ms = reader.read_u64_or("timeout_ms", 2_000, 50..=60_000, findings);
        reader.finish(findings);
        Some(PlatformSettings {
            address: address?,
            timeout_ms,
        })
    }
}
