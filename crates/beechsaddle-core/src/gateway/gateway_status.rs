//! The `gateway_status` module provides what a gateway tells operators that it believes now.

use serde::{Deserialize, Serialize};

use crate::names::{
    DomainName, HostName, RouterIncarnation, ServiceName, TargetName, WorkspaceName,
};

/// What a gateway believes now. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The router.
    pub gateway: RouterIncarnation,
    /// Its domain.
    pub domain: DomainName,
    /// `serving`, `leaving` or `closing`.
    pub phase: String,
    /// Calls that are running.
    pub open_calls: u64,
    /// How long ago the store last answered anything.
    pub store_age_ms: u64,
    /// The configuration in force; `None` before the first.
    pub config: Option<ConfigStatus>,
    /// How many routers share the retry budget; 0 while that is not known.
    pub routers: u64,
    /// Other routers.
    pub peers: Vec<GatewayPeerStatus>,
    /// Workspaces whose totals are counted.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Targets.
    pub targets: Vec<GatewayTargetStatus>,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Its version.
    pub version: u64,
    /// How long it has been in force here.
    pub age_ms: u64,
    /// How many routes it has.
    pub routes: u64,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayPeerStatus {
    /// Its host.
    pub host: HostName,
    /// Its domain.
    pub domain: DomainName,
    /// For how long it is passed over yet because it did not answer; 0 for one that is asked.
    pub down_for_ms: u64,
}

/// A workspace's tokens, as this router sees them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// `keeper` or `borrower`.
    pub role: String,
    /// Held and not promised.
    pub free: u64,
    /// Promised to calls that run.
    pub reserved: u64,
    /// Taken by nobody, as the ledger was last seen.
    pub left: Option<u64>,
    /// How long ago the ledger was seen.
    pub ledger_age_ms: Option<u64>,
}

/// A target, as this router sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayTargetStatus {
    /// The target.
    pub target: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// `ready`, `draining`, or `unlisted` for one whose entry is missing since an outage.
    pub phase: String,
    /// Attempts of this router that run there.
    pub active: u64,
    /// For how long it gets no work yet; 0 for one in use.
    pub ejected_for_ms: u64,
    /// The share of recent attempts that failed, 0 to 1.
    pub failure_share: f64,
    /// How long ago anything came from it, or it was listed.
    pub heard_age_ms: u64,
}
