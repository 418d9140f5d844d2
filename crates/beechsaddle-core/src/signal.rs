//! The `signal` module provides the messages between the managers of the core.

use serde::Serialize;

use crate::names::{CallId, HostName, RouterIncarnation};
use crate::refusal::CallRefusal;

/// A message to another manager of the same router.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum CoreSignal {
    /// The budget's holder answered an admit request.
    AdmitDone {
        call: CallId,
        /// Success once the tokens are reserved, or the refusal.
        outcome: Result<(), CallRefusal>,
    },
    /// The usage of a call is known to two routers; the last part of the answer may be relayed.
    SettleDone { call: CallId },
    /// The dedup record of a not-repeatable call is durable, or the call must not be dispatched.
    RecordDone {
        call: CallId,
        /// Success once the record is durable, or the refusal.
        outcome: Result<(), CallRefusal>,
    },
    /// A router of the own domain was seen for the first time.
    MemberUp(RouterIncarnation),
    /// Heartbeats of a router of the own domain stopped; it may be dead, frozen or partitioned.
    MemberDown(RouterIncarnation),
    /// A router is gone: it left, is not in the host list, or has a later incarnation.
    MemberGone(RouterIncarnation),
    /// The list of hosts of the own domain changed.
    HostsChanged,
    /// A newer catalogue is in effect.
    CatalogueChanged { revision: u64 },
    /// A host of the own domain is leaving; its targets get no new work.
    HostLeaving(HostName),
}
