//! The `lab_target` module provides the targets of a running fleet.

use std::net::SocketAddr;

use beechsaddle_core::members::HostState;

use super::fleet_plan::TargetPlan;
use super::lab_process::LabProcess;

/// A running target.
#[derive(Debug)]
pub struct LabTarget {
    /// The plan from which it was started.
    pub plan: TargetPlan,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its state in the platform's host list.
    pub state: HostState,
    /// Its process, which is killed on drop.
    pub(super) _process: LabProcess,
}
