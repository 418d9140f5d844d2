//! The `world_types` module provides what a world of money desks consists of.

use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::money::MoneyDesk;
use beechsaddle_core::peer::{PeerMessage, RouterState};
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

/// Something on its way.
#[derive(Clone, Debug)]
pub enum Flight {
    Peer {
        from: usize,
        to: usize,
        message: PeerMessage,
    },
    Call {
        router: usize,
        ticket: PlatformTicket,
        call: PlatformCall,
    },
    Reply {
        router: usize,
        ticket: PlatformTicket,
        reply: PlatformReply,
    },
    /// A write whose answer was lost before it took effect.
    Straggler { call: PlatformCall },
}

/// A call as its caller and its engine see it.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub entry: usize,
    pub key: RequestKey,
    pub budget: BudgetName,
    pub bound: u64,
    /// `None` while the caller waits for a reservation.
    pub admitted: Option<Result<(), CallRefusal>>,
    /// What the engine generated.
    pub served: u64,
    pub settled: Option<u64>,
    pub is_released: bool,
}

pub struct RouterSlot {
    pub router: RouterIncarnation,
    pub desk: Option<MoneyDesk>,
    pub members: MemberTable,
    pub domain: DomainName,
    pub is_frozen: bool,
    pub is_gone: bool,
    /// Died with whatever it had in memory.
    pub is_lost: bool,
    pub is_draining: bool,
    pub calls: u64,
}

pub fn member(router: &RouterIncarnation, domain: &DomainName) -> MemberEntry {
    MemberEntry {
        domain: domain.clone(),
        address: router.to_string(),
        state: RouterState::Live,
        liveness: MemberLiveness::Live,
        catalogue_revision: 0,
        last_seen_at: ClockTime::ZERO,
        sequence: 0,
    }
}
