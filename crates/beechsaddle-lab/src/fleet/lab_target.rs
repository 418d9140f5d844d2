//! The `lab_target` module provides a target of a fleet.

use std::net::SocketAddr;

use beechsaddle_core::members::HostState;

use super::fleet_plan::TargetPlan;
use super::lab_process::LabProcess;

/// A target of the fleet.
#[derive(Debug)]
pub struct LabTarget {
    /// What it is.
    pub plan: TargetPlan,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is announced as leaving.
    pub state: HostState,
    /// Its process; it ends with this.
    pub(super) _process: LabProcess,
}
