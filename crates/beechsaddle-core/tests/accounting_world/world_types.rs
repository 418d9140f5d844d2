//! The `world_types` module provides the parts of a world of accounting managers.

use beechsaddle_core::accounting::AccountingManager;
use beechsaddle_core::members::{MemberEntry, MemberLiveness, MemberTable};
use beechsaddle_core::peer::{PeerMessage, RouterState};
use beechsaddle_core::platform::{PlatformCall, PlatformReply, PlatformTicket};
use beechsaddle_core::prelude::*;

/// A message, platform call or reply in flight.
#[derive(Clone, Debug)]
pub enum Delivery {
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
    /// A call whose reply was lost before it took effect.
    DelayedCall { call: PlatformCall },
}

/// A call as seen by its caller and its engine.
#[derive(Clone, Debug)]
pub struct CallRecord {
    pub entry: usize,
    pub key: RequestKey,
    pub budget: BudgetName,
    pub bound: u64,
    /// `None` while the caller waits for a reservation.
    pub admitted: Option<Result<(), CallRefusal>>,
    /// Tokens that the engine generated.
    pub served: u64,
    pub settled: Option<u64>,
    pub is_released: bool,
}

pub struct RouterSlot {
    pub router: RouterIncarnation,
    pub manager: Option<AccountingManager>,
    pub members: MemberTable,
    pub domain: DomainName,
    pub is_frozen: bool,
    pub is_gone: bool,
    /// Whether the process died and lost its memory.
    pub has_crashed: bool,
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
