//! The `objects` module provides the values that the system keeps at the platform.

use serde::{Deserialize, Serialize};

use crate::accounting::{BudgetLedger, JournalSegment};
use crate::catalogue::{CatalogueBase, CatalogueChange, CatalogueHead};
use crate::members::HostList;
use crate::once::DedupShard;
use crate::orders::OrderFence;

/// A value at the platform. Encoded as CBOR by the `beechsaddle-wire` crate; under 1 MB each.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlatformObject {
    /// `ledger/<shard>`: top-ups, settled totals and open grants of some budgets.
    Ledger(BudgetLedger),
    /// `journal/<journal>/<number>`: one immutable part of a router's spend journal.
    Segment(JournalSegment),
    /// `dedup/<shard>`: records of dispatched not-repeatable calls.
    Dedup(DedupShard),
    /// `catalogue/change/<revision>`: one applied edit of the catalogue.
    Change(CatalogueChange),
    /// `catalogue/base/<revision>/<part>`: a part of the whole catalogue at a revision.
    Base(CatalogueBase),
    /// `catalogue/head`: the newest base.
    Head(CatalogueHead),
    /// `hosts/<domain>`: the platform's lagging list of a domain's hosts.
    Hosts(HostList),
    /// `orders/<target>`: the fencing number of the router that orders a target.
    Fence(OrderFence),
    /// `fleet/layout`: shard counts, fixed when the fleet is first started.
    Layout(FleetLayout),
}

/// Shard counts that all routers and operators share.
///
/// Two shard counts at once would put one budget into two ledgers, each with the full top-ups.
/// The object is created once and never changed, and what it says goes before any settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetLayout {
    /// How many ledger shards there are.
    pub ledger_shards: u32,
    /// How many dedup shards there are.
    pub dedup_shards: u32,
}
