//! The `router_node` module provides a router on the bench.

use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::once::{OnceDesk, OnceOptions};
use beechsaddle_core::peer::RouterState;
use beechsaddle_core::prelude::*;

/// One router.
#[derive(Clone, Debug)]
pub struct RouterNode {
    pub me: RouterIncarnation,
    pub domain: DomainName,
    pub desk: OnceDesk,
    pub members: MemberTable,
    pub next_call: u64,
    pub is_alive: bool,
    pub is_frozen: bool,
    /// What its clock is ahead of the bench's, in milliseconds.
    pub clock_ahead_ms: u64,
}

/// A router that knows no other.
pub fn new_node(options: &OnceOptions, me: RouterIncarnation, domain: DomainName) -> RouterNode {
    RouterNode {
        desk: OnceDesk::new(options.clone(), me.clone()),
        members: MemberTable::new(me.clone(), domain.clone()),
        me,
        domain,
        next_call: 0,
        is_alive: true,
        is_frozen: false,
        clock_ahead_ms: 0,
    }
}

/// What other routers know of one.
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
