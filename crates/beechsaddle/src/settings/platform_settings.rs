//! The `platform_settings` module provides the `[platform]` table.

use std::net::SocketAddr;

use crate::findings::{FindingList, TableReader};

/// The settings of the connection to the platform's object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the object API.
    pub address: SocketAddr,
    /// The time limit of a call, after which its outcome counts as unknown.
    pub timeout_ms: u64,
}

impl PlatformSettings {
    /// Reads the table, and returns `None` if there is no usable address.
    pub fn read(reader: &TableReader<'_>, findings: &mut FindingList) -> Option<Self> {
        let address = reader.require_address("address", findings);
        let timeout_ms = reader.read_u64_or("timeout_ms", 2_000, 50..=60_000, findings);
        reader.finish(findings);
        Some(PlatformSettings {
            address: address?,
            timeout_ms,
        })
    }
}
