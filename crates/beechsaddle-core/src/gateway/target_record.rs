//! The `target_record` module provides what discovery tells of a target.

use std::net::SocketAddr;

use super::TargetIncarnation;
use crate::names::{DomainName, ServiceName, TargetName};

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It takes new work.
    Ready,
    /// It is about to leave and gets no new work.
    Draining,
}

/// One incarnation of a target, as its entry tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRecord {
    /// Its id.
    pub name: TargetName,
    /// When this incarnation started, in Unix milliseconds of its own clock; `None` where the entry
    /// does not say. Another value under the same id is another incarnation.
    pub started: Option<u64>,
    /// The revision of the entry in the store, which orders entries of one target.
    pub revision: u64,
    /// The service that it offers.
    pub service: ServiceName,
    /// Where it listens. Another target may get the address later.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// How many requests it works on at a time.
    pub slots: u64,
    /// Whether it takes new work.
    pub phase: TargetPhase,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

impl TargetRecord {
    /// Which start of the target this is.
    pub fn incarnation(&self) -> TargetIncarnation {
        TargetIncarnation {
            name: self.name.clone(),
            started: self.started,
        }
    }
}
