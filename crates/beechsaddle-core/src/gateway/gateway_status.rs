//! The `gateway_status` module provides the state that a gateway reports to operators.

use serde::{Deserialize, Serialize};

use crate::names::{
    DomainName, HostName, RouterIncarnation, ServiceName, TargetName, WorkspaceName,
};

/// The state as known to one gateway. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The router.
    pub gateway: RouterIncarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// `serving`, `leaving` or `closing`.
    pub phase: String,
    /// Calls in progress.
    pub open_calls: u64,
    /// The time since the store last answered any request.
    pub store_age_ms: u64,
    /// The active configuration; `None` before the first.
    pub config: Option<ConfigStatus>,
    /// How many routers share the retry budget; 0 until that is known.
    pub routers: u64,
    /// The other routers.
    pub peers: Vec<GatewayPeerStatus>,
    /// Workspaces with a prepaid total.
    pub workspaces: Vec<WorkspaceStatus>,
    /// The evacuations in force; `None` until they are known.
    #[serde(default)]
    pub evacuations: Option<Vec<EvacuationStatus>>,
    /// The router's own link; `None` if its capacity is unknown.
    #[serde(default)]
    pub link: Option<LinkStatus>,
    pub targets: Vec<GatewayTargetStatus>,
}

/// The active configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigStatus {
    pub version: u64,
    /// How long it has been active on this router.
    pub age_ms: u64,
    /// The number of its routes.
    pub routes: u64,
}

/// An evacuation in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvacuationStatus {
    /// The failure domain whose targets get no new requests.
    pub domain: DomainName,
    /// How long this router has known of it.
    pub age_ms: u64,
    /// The revision of the operator's request in the store.
    pub revision: u64,
    /// Attempts of this router that still run on targets of the domain.
    pub active: u64,
}

/// A router's own link. Loads are parts of its capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// What calls put on the link, in the busier direction.
    pub load: f64,
    /// What calls would put on it if none were shed; 0 where none may be.
    pub offered: f64,
    /// Whether the router has left the rotation because of its link.
    pub is_out: bool,
}

/// Another router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayPeerStatus {
    pub host: HostName,
    pub domain: DomainName,
    /// The remaining time for which the router is not contacted because it did not answer; 0 if it
    /// is in use.
    pub down_for_ms: u64,
}

/// A workspace's tokens, as known to this router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    pub workspace: WorkspaceName,
    /// The router's role: "keeper" (the allocator of its domain) or "borrower".
    pub role: String,
    /// Held and not reserved.
    pub free: u64,
    /// Reserved for running calls.
    pub reserved: u64,
    /// Taken by no router, as the ledger was last read.
    pub left: Option<u64>,
    /// The age of the ledger.
    pub ledger_age_ms: Option<u64>,
}

/// What other routers have measured of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportStatus {
    /// The mean time between two events of a stream.
    pub event_ms: Option<f64>,
    /// Prompt tokens that it processes in a millisecond.
    pub read_per_ms: Option<f64>,
    /// Attempts of other routers that run on it.
    pub active: u64,
    /// Prompt tokens of other routers that it has not processed yet.
    pub pending_tokens: u64,
    /// The weight of the samples of its speed.
    pub samples: f64,
    /// The time since the newest of them.
    pub age_ms: u64,
}

/// A target, as known to this router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayTargetStatus {
    pub target: TargetName,
    pub service: ServiceName,
    /// `ready`, `draining`, `evacuated`, or `unlisted` if its entry has been missing since an
    /// outage.
    pub phase: String,
    /// For how long the target is still cold and gets few requests; 0 if it is warm.
    #[serde(default)]
    pub cold_for_ms: u64,
    /// For how long the target still rests and gets no requests, as it has asked for; 0 if it does
    /// not.
    #[serde(default)]
    pub resting_for_ms: u64,
    /// Attempts of this router that run on it.
    pub active: u64,
    /// The remaining time of its ejection; 0 if it is in use.
    pub ejected_for_ms: u64,
    /// The share of recent attempts that failed, 0 to 1.
    pub failure_share: f64,
    /// The time since the last response from the target, or since it was listed.
    pub heard_age_ms: u64,
    /// The mean time between two events of a stream, as this router measured it.
    #[serde(default)]
    pub event_ms: Option<f64>,
    /// Prompt tokens that it processes in a millisecond, as this router measured it.
    #[serde(default)]
    pub read_per_ms: Option<f64>,
    /// What other routers have measured; `None` if nothing is known.
    #[serde(default)]
    pub reported: Option<ReportStatus>,
}
