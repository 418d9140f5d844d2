//! The `peer` module provides the messages between routers.
//!
//! Messages are one-way, may be lost, delayed or duplicated, and contain everything that a reply
//! needs.

use serde::{Deserialize, Serialize};

use crate::catalogue::{CatalogueBase, CatalogueChange, EntryId};
use crate::members::{HostList, HostState};
use crate::names::{
    BudgetName, CallId, DomainName, KeyText, RequestKey, RouterIncarnation, TargetName,
};
use crate::objects::FleetLayout;
use crate::refusal::CallRefusal;
use crate::target::{EngineState, LoadReport};

/// A message from one router to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent every heartbeat period.
    Heartbeat(PeerHeartbeat),
    /// Requests catalogue changes.
    CatalogueRequest {
        /// The sender's revision; zero when it has no catalogue.
        after: u64,
    },
    /// Catalogue changes, in order and without gaps.
    CatalogueUpdate {
        /// The whole catalogue on which the changes are based, if the receiver is too far behind.
        base: Option<Box<CatalogueBase>>,
        changes: Vec<CatalogueChange>,
    },
    /// Requests the host list of the sender's domain; sent by a router that started during an
    /// outage of the platform and has no list.
    HostsRequest,
    /// The host list of the sender's domain as last read from the platform.
    HostsUpdate {
        /// The list's version on the platform; a higher one replaces a lower one.
        version: u64,
        hosts: HostList,
    },
    /// Asks a budget's holder to reserve tokens for a call and to hold a copy of its usage.
    AdmitRequest(AdmitRequest),
    /// The reply to an admit request.
    AdmitReply {
        call: CallId,
        /// The journal with the reservation, or the refusal.
        outcome: Result<KeyText, CallRefusal>,
    },
    /// Usage of running calls so far, batched.
    ProgressReport {
        /// The sender's calls with the tokens used so far.
        calls: Vec<CallProgress>,
    },
    /// Sends the usage of a call that ended to the budget's holder.
    SettleRequest(SettleRequest),
    /// The usage was recorded and is now known to two routers.
    SettleReply { call: CallId },
    /// The bills are durable, so the sender of the settle requests may drop its copies. It returns
    /// the same message, after which the holder may drop the calls too.
    BillsDurable { calls: Vec<CallId> },
    /// The reply to an admit reply for a call that its entry router does not run under that
    /// reservation, because it timed out or was settled with another holder.
    CallUnknown {
        call: CallId,
        /// The journal with the reservation.
        journal: KeyText,
    },
    /// Sends a copy of the usage of the sender's own call to a backup router.
    WitnessNote(UsageCopy),
    /// The usage copy of an ended call is stored, or was dropped after its bill became durable.
    WitnessReply { call: CallId },
    /// Asks the committer of a dedup shard to make a record durable.
    RecordRequest(RecordRequest),
    /// The reply to a record request.
    RecordReply {
        call: CallId,
        /// Success once the record is durable, or the refusal.
        outcome: Result<(), CallRefusal>,
    },
}

/// The state that a router sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    pub domain: DomainName,
    /// The address for peers, as `address:port`.
    pub address: String,
    /// Counts the router's heartbeats.
    pub sequence: u64,
    /// Whether the router takes new work.
    pub state: RouterState,
    /// The catalogue revision in effect at the router.
    pub catalogue_revision: u64,
    /// The fleet's shard counts, if known; a router that starts during an outage of the platform
    /// takes them from here.
    pub layout: Option<FleetLayout>,
    /// The latest observations of targets of the router's domain.
    pub targets: Vec<TargetUpdate>,
    /// The demand of the router's callers on shared limits.
    pub limits: Vec<LimitUse>,
    /// Live routers of the sender's domain that the receiver may not know: new ones, and bridges
    /// for other domains.
    pub routers: Vec<RouterUpdate>,
}

/// Whether a router takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterState {
    /// The router takes new work.
    Live,
    /// The router is shutting down and takes no new work.
    Draining,
    /// The router has handed over everything and exits.
    Left,
}

/// One router's observation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetUpdate {
    pub target: TargetName,
    /// The target's epoch in the host list; a replaced host has a higher one.
    pub epoch: u64,
    /// The observed state.
    pub state: HostState,
    /// Counts observations of that target and epoch; a higher one replaces a lower one.
    pub sequence: u64,
    /// The load seen by a probe, for routers that do not probe the target themselves.
    pub load: Option<LoadReport>,
    /// The engine state seen by a probe.
    pub engine: Option<EngineState>,
}

/// The demand of one router's callers on an entry's shared limits, both admitted and refused.
/// Shares follow demand, and a router with too small a share could not raise it if only admitted
/// calls counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUse {
    pub entry: EntryId,
    /// Running calls.
    pub running: u32,
    /// Calls that the concurrency limit refused in the last second.
    pub held_back: u32,
    /// Calls requested in the last second.
    pub requests: u32,
    /// Tokens requested in the last minute.
    pub tokens: u64,
}

/// The state of a router as a bridge of its domain reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterUpdate {
    pub router: RouterIncarnation,
    pub domain: DomainName,
    /// The address for peers.
    pub address: String,
    /// The catalogue revision in effect at the router.
    pub catalogue_revision: u64,
    /// The time since the router was last seen, in milliseconds.
    pub age_ms: u64,
}

/// Asks a budget's holder to reserve tokens for a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    pub call: CallId,
    pub key: RequestKey,
    pub budget: BudgetName,
    /// The largest number of tokens that the call can use.
    pub bound: u64,
}

/// The usage of a running call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallProgress {
    pub call: CallId,
    /// The tokens used so far.
    pub tokens: u64,
}

/// Reports the end of a call to a budget's holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    pub call: CallId,
    pub key: RequestKey,
    pub budget: BudgetName,
    /// The reserved tokens.
    pub bound: u64,
    /// The tokens to bill; zero with `ran == false` releases the reservation without a bill.
    pub tokens: u64,
    /// Whether anything ran and a bill is due.
    pub ran: bool,
    /// Whether the caller got its complete answer.
    pub complete: bool,
    /// The journal with the reservation, if another router than the receiver made it: the bill is
    /// then deducted from the amount that was written off for that journal.
    pub against: Option<KeyText>,
}

/// A copy of a call's usage, sent to a backup router by an entry router that holds the budget
/// itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCopy {
    /// The journal with the reservation.
    pub journal: KeyText,
    /// The call's usage so far.
    pub settle: SettleRequest,
    /// Whether the call ended.
    pub ended: bool,
}

/// Requests a durable dedup record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRequest {
    pub call: CallId,
    pub key: RequestKey,
}
