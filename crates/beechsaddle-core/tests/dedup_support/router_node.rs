//! The `router_node` module provides one router of the bench.

use beechsaddle_core::dedup::{DedupManager, DedupOptions};
use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::prelude::*;

#[derive(Clone, Debug)]
pub struct RouterNode {
    pub me: RouterIncarnation,
    pub domain: DomainName,
    pub manager: DedupManager,
    pub members: MemberTable,
    pub next_call: u64,
    pub is_alive: bool,
    pub is_frozen: bool,
    /// How far the router's clock is ahead of the bench's, in milliseconds.
    pub clock_ahead_ms: u64,
}

/// Creates a router with an empty member table.
pub fn new_node(options: &DedupOptions, me: RouterIncarnation, domain: DomainName) -> RouterNode {
    RouterNode {
        manager: DedupManager::new(options.clone(), me.clone()),
        members: MemberTable::new(me.clone(), domain.clone()),
        me,
        domain,
        next_call: 0,
        is_alive: true,
        is_frozen: false,
        clock_ahead_ms: 0,
    }
}

/// Returns the entry of a router in the member tables of others.
pub fn member_entry(node: &RouterNode) -> MemberEntry {
    MemberEntry {
        domain: node.domain.clone(),
        address: format!("{}:7000", node.me.host),
        state: RouterState::Live,
        liveness: if node.is_alive {
            MemberLiveness::Live
        } else {
            MemberLiveness::Down
        },
        catalogue_revision: 1,
        last_seen_at: ClockTime::ZERO,
        sequence: 1,
    }
}
