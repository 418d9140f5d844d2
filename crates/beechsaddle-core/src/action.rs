//! The `action` module provides everything that the core asks its edges to do.

use serde::Serialize;

use crate::call::CallAction;
use crate::names::RouterIncarnation;
use crate::peer::PeerMessage;
use crate::platform::{PlatformCall, PlatformTicket};
use crate::report::ReportAction;
use crate::status::RouterStatus;
use crate::target::TargetAction;

/// Something that an edge has to carry out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum CoreAction {
    /// For the edge towards callers and targets.
    Call(CallAction),
    /// A call on the platform; its outcome comes back with the same ticket.
    Platform {
        /// Names the call.
        ticket: PlatformTicket,
        /// What to do.
        call: PlatformCall,
    },
    /// A message to another router; it may be lost, and is never sent twice by the edge.
    Peer {
        /// The receiver.
        to: RouterIncarnation,
        /// Where it listens, as `address:port`.
        address: String,
        /// The message.
        message: PeerMessage,
    },
    /// A probe or an order.
    Target(TargetAction),
    /// A log line or a count.
    Report(ReportAction),
    /// The answer to a status query.
    Status {
        /// The query.
        query: u64,
        /// The answer.
        status: Box<RouterStatus>,
    },
    /// All is handed over: the process may exit.
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
