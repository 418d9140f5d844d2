//! The `peer` module provides the messages between routers.
//!
//! Messages are one-way, may be lost, delayed and doubled, and carry what is needed to answer them.

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
    /// Asks for changes of the catalogue.
    CatalogueRequest {
        /// The revision that the sender has; zero when it has none.
        after: u64,
    },
    /// Changes of the catalogue, in order and without gaps.
    CatalogueUpdate {
        /// When the receiver is too far behind: the whole catalogue that the changes follow.
        base: Option<Box<CatalogueBase>>,
        /// The changes.
        changes: Vec<CatalogueChange>,
    },
    /// Asks for the list of hosts of the sender's domain; sent by a router that has none, because
    /// it started while the platform was away.
    HostsRequest,
    /// The list of hosts of the sender's domain as last read from the platform.
    HostsUpdate {
        /// The list's version at the platform; a higher one replaces a lower one.
        version: u64,
        /// The list.
        hosts: HostList,
    },
    /// Asks a budget's holder to reserve for a call and to be its witness.
    AdmitRequest(AdmitRequest),
    /// Answers it.
    AdmitReply {
        /// The call.
        call: CallId,
        /// The journal that reserved, or why none did.
        outcome: Result<KeyText, CallRefusal>,
    },
    /// Usage of running calls so far, batched.
    ProgressReport {
        /// Calls of the sender with the tokens used so far.
        calls: Vec<CallProgress>,
    },
    /// Tells the holder the usage of a call that ended.
    SettleRequest(SettleRequest),
    /// The usage is noted: two routers know it now.
    SettleReply {
        /// The call.
        call: CallId,
    },
    /// The settle's bill is durable: the sender of the settle may forget its copy. It sends the
    /// same message back, after which the holder need not remember the calls either.
    BillsDurable {
        /// The calls.
        calls: Vec<CallId>,
    },
    /// Answers an admit reply for a call that its entry router does not run under that
    /// reservation: it gave up waiting, or it settled the call with another holder.
    CallUnknown {
        /// The call.
        call: CallId,
        /// The journal that reserved.
        journal: KeyText,
    },
    /// Places a copy of what the sender holds for a call of its own with another router.
    WitnessNote(WitnessNote),
    /// The copy of an ended call is kept, or was dropped after its bill became durable.
    WitnessReply {
        /// The call.
        call: CallId,
    },
    /// Asks the router picked for a dedup shard to make a record durable.
    RecordRequest(RecordRequest),
    /// Answers it.
    RecordReply {
        /// The call.
        call: CallId,
        /// Durable, or why not.
        outcome: Result<(), CallRefusal>,
    },
}

/// What a router says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The domain it is in.
    pub domain: DomainName,
    /// Where its peers reach it, as `address:port`.
    pub address: String,
    /// Counts its heartbeats.
    pub sequence: u64,
    /// Whether it takes new work.
    pub state: RouterState,
    /// The catalogue revision in force there.
    pub catalogue_revision: u64,
    /// The fleet's shard counts, if it knows them; a router that starts while the platform is away
    /// learns them here.
    pub layout: Option<FleetLayout>,
    /// What it knows of targets of its domain, newest observations only.
    pub targets: Vec<TargetNews>,
    /// What its callers use of shared limits.
    pub limits: Vec<LimitUse>,
    /// Live routers of its domain that the receiver may not know: new ones, and towards other
    /// domains the bridges.
    pub routers: Vec<RouterNews>,
}

/// Whether a router takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouterState {
    /// It does.
    Live,
    /// It is shutting down and holds nothing new.
    Draining,
    /// It has handed over everything and exits.
    Left,
}

/// One router's observation of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNews {
    /// The target.
    pub target: TargetName,
    /// The target's epoch in the host list; a replaced host has a higher one.
    pub epoch: u64,
    /// What was seen.
    pub state: HostState,
    /// Counts observations of that target and epoch; a higher one replaces a lower one.
    pub sequence: u64,
    /// The load that a prober saw, for routers that do not probe the target themselves.
    pub load: Option<LoadReport>,
    /// What a prober saw the engine serve.
    pub engine: Option<EngineState>,
}

/// What one router's callers ask of an entry's shared limits, whether it was admitted or refused:
/// shares follow demand, and a router that was short of its share could not ask for more otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUse {
    /// The entry.
    pub entry: EntryId,
    /// Calls running.
    pub running: u32,
    /// Calls that the limit of calls at a time refused in the last second.
    pub held_back: u32,
    /// Calls asked for in the last second.
    pub requests: u32,
    /// Tokens asked for in the last minute.
    pub tokens: u64,
}

/// What a bridge tells of a router of its domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterNews {
    /// The router.
    pub router: RouterIncarnation,
    /// Its domain.
    pub domain: DomainName,
    /// Where its peers reach it.
    pub address: String,
    /// The catalogue revision in force there.
    pub catalogue_revision: u64,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u64,
}

/// Asks a budget's holder to reserve for a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    /// The call.
    pub call: CallId,
    /// Its idempotency key.
    pub key: RequestKey,
    /// The budget.
    pub budget: BudgetName,
    /// The largest number of tokens that the call can use.
    pub bound: u64,
}

/// The usage of a running call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallProgress {
    /// The call.
    pub call: CallId,
    /// Tokens so far.
    pub tokens: u64,
}

/// Tells a budget's holder how a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The call.
    pub call: CallId,
    /// Its idempotency key.
    pub key: RequestKey,
    /// The budget.
    pub budget: BudgetName,
    /// What was reserved.
    pub bound: u64,
    /// What is billed; zero with `ran == false` releases the reservation without a bill.
    pub tokens: u64,
    /// Whether anything ran and a bill is due.
    pub ran: bool,
    /// Whether the caller got its whole answer.
    pub complete: bool,
    /// The journal that reserved, when the receiver is another router than the one that did:
    /// the bill is then taken against what was written off of that journal.
    pub against: Option<KeyText>,
}

/// A copy of a call that its entry router holds the budget for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessNote {
    /// The journal that reserved.
    pub journal: KeyText,
    /// How the call stands.
    pub settle: SettleRequest,
    /// Whether the call ended.
    pub ended: bool,
}

/// Asks for a durable dedup record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRequest {
    /// The call.
    pub call: CallId,
    /// Its idempotency key.
    pub key: RequestKey,
}
