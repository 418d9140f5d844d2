//! The `action` module provides everything that the core requests from its edges.

use serde::Serialize;

use crate::call::CallAction;
use crate::names::RouterIncarnation;
use crate::peer::PeerMessage;
use crate::platform::{PlatformCall, PlatformTicket};
use crate::report::ReportAction;
use crate::status::RouterStatus;
use crate::target::TargetAction;

/// An action for an edge to carry out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum CoreAction {
    /// For the edge towards callers and targets.
    Call(CallAction),
    /// A platform call; its outcome comes back with the same ticket.
    Platform {
        ticket: PlatformTicket,
        call: PlatformCall,
    },
    /// A message to another router. It may be lost; the edge never sends it twice.
    Peer {
        to: RouterIncarnation,
        /// The receiver's address, as `address:port`.
        address: String,
        message: PeerMessage,
    },
    /// A probe or an order.
    Target(TargetAction),
    /// A log line or a metric.
    Report(ReportAction),
    /// The answer to a status query.
    Status {
        query: u64,
        status: Box<RouterStatus>,
    },
    /// Everything is handed over and the process may exit.
    Exit,
}

impl From<CallAction> for CoreAction {
    fn from(action: CallAction) -> Self {
        CoreAction::Call(action)
    }
}

impl From<TargetAction> for CoreAction {
    fn from(action: TargetAction) -> Self {
        CoreAction::Target(action)
    }
}

impl From<ReportAction> for CoreAction {
    fn from(action: ReportAction) -> Self {
        CoreAction::Report(action)
    }
}
