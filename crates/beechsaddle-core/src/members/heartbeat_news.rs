//! The `heartbeat_news` module provides what other duties put into a heartbeat.

use crate::peer::{LimitUse, TargetNews};

/// What other duties put into a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatNews {
    /// The catalogue revision in force here.
    pub catalogue_revision: u64,
    /// Observations of targets.
    pub targets: Vec<TargetNews>,
    /// Use of shared limits.
    pub limits: Vec<LimitUse>,
}
