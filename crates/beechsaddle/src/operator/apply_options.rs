//! The `apply_options` module provides the options of an apply.

use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::names::OwnerName;
use beechsaddle_core::objects::FleetLayout;

/// The options of an apply.
#[derive(Clone, Debug)]
pub struct ApplyOptions {
    /// The author that the change records.
    pub author: OwnerName,
    /// The time of the apply, by the operator's clock.
    pub now: ClockTime,
    /// The shard counts for a fleet that has no layout yet.
    pub layout: FleetLayout,
}
