//! The `objects` module provides the values that the system stores on the platform.

use serde::{Deserialize, Serialize};

use crate::accounting::{BudgetLedger, JournalSegment};
use crate::catalogue::{CatalogueBase, CatalogueChange, CatalogueHead};
use crate::dedup::DedupShard;
use crate::members::HostList;
use crate::orders::OrderFence;

/// A value on the platform, below 1 MB. The `beechsaddle-wire` crate encodes it as CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlatformObject {
    /// `ledger/<shard>`: top-ups, settled totals and open grants of some budgets.
    Ledger(BudgetLedger),
    /// `journal/<journal>/<number>`: one immutable part of a router's spend journal.
    Segment(JournalSegment),
    /// `dedup/<shard>`: dedup records of not-repeatable calls.
    Dedup(DedupShard),
    /// `catalogue/change/<revision>`: one applied edit of the catalogue.
    Change(CatalogueChange),
    /// `catalogue/base/<revision>/<part>`: a part of the whole catalogue at a revision.
    Base(CatalogueBase),
    /// `catalogue/head`: the newest base.
    Head(CatalogueHead),
    /// `hosts/<domain>`: the platform's list of a domain's hosts, which lags.
    Hosts(HostList),
    /// `orders/<target>`: the fencing number of the router that orders a target.
    Fence(OrderFence),
    /// `fleet/layout`: shard counts, fixed when the fleet is first started.
    Layout(FleetLayout),
}

/// Shard counts that all routers and operators share.
///
/// With two shard counts one budget would be in two ledgers, each with the full top-ups. The object
/// is created once and never changed, and takes precedence over settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetLayout {
    /// The number of ledger shards.
    pub ledger_shards: u32,
    /// The number of dedup shards.
    pub dedup_shards: u32,
}
