//! The `status` module provides the status of a router for operators.

use serde::{Deserialize, Serialize};

use crate::members::HostState;
use crate::names::{BudgetName, DomainName, RouterIncarnation, TargetName};
use crate::peer::RouterState;

/// The status of a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterStatus {
    pub router: RouterIncarnation,
    pub domain: DomainName,
    /// Whether the router takes new work.
    pub state: RouterState,
    /// The catalogue revision in effect.
    pub catalogue_revision: u64,
    /// Running calls.
    pub open_calls: u64,
    /// Bills that are not yet durable.
    pub unjournalled_bills: u64,
    /// The known routers.
    pub peers: Vec<PeerStatus>,
    /// The grants that the router holds.
    pub grants: Vec<GrantStatus>,
    /// The known targets.
    pub targets: Vec<TargetStatus>,
}

/// The state of a router as another router sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    pub router: RouterIncarnation,
    pub domain: DomainName,
    /// `live`, `draining`, `down` or `gone`.
    pub state: String,
    /// The catalogue revision in effect at the router.
    pub catalogue_revision: u64,
    /// The time since the router was last seen, in milliseconds.
    pub age_ms: u64,
}

/// A grant that a router holds, in tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantStatus {
    pub budget: BudgetName,
    /// The total granted.
    pub granted: u64,
    /// The high-water mark: spending may reach it before the next journal write.
    pub mark: u64,
    /// The billed tokens.
    pub spent: u64,
    /// The tokens reserved for running calls.
    pub reserved: u64,
}

/// The state of a target as one router sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetStatus {
    pub target: TargetName,
    pub service: String,
    /// Whether the target gets new work.
    pub state: HostState,
    /// Whether the target is ejected as an outlier.
    pub ejected: bool,
    /// Calls of this router that run on the target.
    pub in_flight: u32,
}
