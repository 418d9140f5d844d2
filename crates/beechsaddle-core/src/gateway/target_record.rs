//! The `target_record` module provides the discovery record of a target.

use std::net::SocketAddr;

use super::TargetIncarnation;
use crate::names::{DomainName, ServiceName, SoftwareVersion, TargetName};

/// Whether a target accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    Ready,
    /// It is about to leave and gets no new requests.
    Draining,
}

/// The entry of one incarnation of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    pub name: TargetName,
    /// When this incarnation started, in Unix milliseconds by its own clock; `None` if the entry
    /// does not say. Another value under the same id is another incarnation.
    pub started: Option<u64>,
    /// The revision of the entry in the store, which orders entries of one target.
    pub revision: u64,
    pub service: ServiceName,
    /// The version of its software.
    pub version: SoftwareVersion,
    /// Its address, which another target may get later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of requests that it runs concurrently.
    pub slots: u64,
    pub phase: TargetPhase,
    /// The remaining time of its slow start, in milliseconds.
    pub cold_ms: u64,
}

impl TargetRecord {
    /// Returns the incarnation of the target.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.name.clone(),
            started: self.started,
        }
    }
}
