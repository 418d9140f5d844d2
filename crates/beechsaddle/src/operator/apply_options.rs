//! The `apply_options` module provides how an edit is applied.

use beechsaddle_core::clock::ClockTime;
use beechsaddle_core::names::OwnerName;
use beechsaddle_core::objects::FleetLayout;

/// How an edit is applied.
#[derive(Clone, Debug)]
pub struct ApplyOptions {
    /// Who applies it.
    pub author: OwnerName,
    /// When, by the operator's clock.
    pub now: ClockTime,
    /// The shard counts of a fleet that has none yet.
    pub layout: FleetLayout,
}
