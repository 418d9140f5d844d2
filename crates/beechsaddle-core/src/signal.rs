//! The `signal` module provides what one duty of the core tells another.

use serde::Serialize;

use crate::names::{CallId, HostName, RouterIncarnation};
use crate::refusal::CallRefusal;

/// Something that another duty waits for. Signals never leave the router.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum CoreSignal {
    /// The budget's holder answered an admit request.
    AdmitDone {
        /// The call.
        call: CallId,
        /// Reserved, or why not.
        outcome: Result<(), CallRefusal>,
    },
    /// The usage of a call is known to two routers; the last part may be let go.
    SettleDone {
        /// The call.
        call: CallId,
    },
    /// The dedup record of a not-repeatable call is durable, or the call must not be dispatched.
    RecordDone {
        /// The call.
        call: CallId,
        /// Durable, or why not.
        outcome: Result<(), CallRefusal>,
    },
    /// A router of the own domain was first heard of.
    MemberUp(RouterIncarnation),
    /// A router of the own domain is not heard any more; it may be dead, frozen or cut off.
    MemberDown(RouterIncarnation),
    /// A router's host is gone, by its own leave, the host list, or a later incarnation.
    MemberGone(RouterIncarnation),
    /// The list of hosts of the own domain changed.
    HostsChanged,
    /// A newer catalogue is in force.
    CatalogueChanged {
        /// Its revision.
        revision: u64,
    },
    /// A host of the own domain is leaving: no new work for its targets.
    HostLeaving(HostName),
}
