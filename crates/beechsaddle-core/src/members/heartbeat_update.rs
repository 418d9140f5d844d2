//! The `heartbeat_update` module provides the parts of a heartbeat that other modules contribute.

use crate::objects::FleetLayout;
use crate::peer::{LimitUse, TargetUpdate};

/// The parts of a heartbeat that other modules contribute.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatUpdate {
    /// The catalogue revision in effect at this router.
    pub catalogue_revision: u64,
    /// The shard counts of the fleet, if known.
    pub layout: Option<FleetLayout>,
    pub targets: Vec<TargetUpdate>,
    /// The use of shared limits.
    pub limits: Vec<LimitUse>,
}
