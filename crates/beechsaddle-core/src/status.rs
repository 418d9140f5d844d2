//! The `status` module provides what a router tells operators of itself.

use serde::{Deserialize, Serialize};

use crate::members::HostState;
use crate::names::{BudgetName, DomainName, RouterIncarnation, TargetName};
use crate::peer::RouterState;

/// What a router tells of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// The router.
    pub router: RouterIncarnation,
    /// Its domain.
    pub domain: DomainName,
    /// Whether it takes new work.
    pub state: RouterState,
    /// The catalogue revision in force.
    pub catalogue_revision: u64,
    /// Calls that are running.
    pub open_calls: u64,
    /// Bills that are not yet durable.
    pub unjournalled_bills: u64,
    /// Routers that it knows.
    pub peers: Vec<PeerStatus>,
    /// Grants that it holds.
    pub grants: Vec<GrantStatus>,
    /// Targets that it knows.
    pub targets: Vec<TargetStatus>,
}

/// A router as seen by another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The router.
    pub router: RouterIncarnation,
    /// Its domain.
    pub domain: DomainName,
    /// `live`, `draining`, `down` or `gone`.
    pub state: String,
    /// The catalogue revision in force there.
    pub catalogue_revision: u64,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u64,
}

/// A grant that a router holds, in tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantStatus {
    /// The budget.
    pub budget: BudgetName,
    /// What was granted in all.
    pub granted: u64,
    /// How far spending may go until the next journal write.
    pub mark: u64,
    /// What was billed.
    pub spent: u64,
    /// What is reserved for running calls.
    pub reserved: u64,
}

/// A target as seen by a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    /// The target.
    pub target: TargetName,
    /// Its service.
    pub service: String,
    /// Whether it gets new work.
    pub state: HostState,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Calls of this router that run there.
    pub in_flight: u32,
}
