//! The `heartbeat_news` module provides what other duties put into a heartbeat.

use crate::objects::FleetLayout;
use crate::peer::{LimitUse, TargetNews};

/// What other duties put into a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatNews {
    /// The catalogue revision in force here.
    pub catalogue_revision: u64,
    /// The fleet's shard counts, if they are known here.
    pub layout: Option<FleetLayout>,
    /// Observations of targets.
    pub targets: Vec<TargetNews>,
    /// Use of shared limits.
    pub limits: Vec<LimitUse>,
}
