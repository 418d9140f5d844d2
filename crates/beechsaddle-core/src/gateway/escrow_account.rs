//! The `escrow_account` module provides what a router holds and wants of one workspace.

use super::{DemandRate, EscrowOptions};
use crate::clock::ClockTime;

/// How fast demand is forgotten, in milliseconds.
pub(super) const DEMAND_HALF_LIFE_MS: u64 = 5_000;

/// Where a router gets tokens of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EscrowRole {
    /// It takes them from the ledger, for itself and for those that borrow from it.
    Keeper,
    /// It borrows them from the keeper of its domain.
    Borrower,
}

/// What a router holds of one workspace.
#[derive(Clone, Debug)]
pub(super) struct EscrowAccount {
    /// The total; `None` where nothing is counted.
    pub(super) prepaid: Option<u64>,
    /// Where its tokens come from.
    pub(super) role: EscrowRole,
    /// Tokens that are not promised.
    pub(super) free: u64,
    /// Tokens promised to calls that run.
    pub(super) reserved: u64,
    /// Tokens that calls wait for.
    pub(super) awaited: u64,
    /// Since when the total is nearly used up.
    pub(super) scarce_since: Option<ClockTime>,
    largest: DemandPeak,
    demand: DemandRate,
}

/// The largest recent request.
#[derive(Clone, Copy, Debug, Default)]
struct DemandPeak {
    tokens: u64,
    noted_at: ClockTime,
}

impl EscrowAccount {
    /// An account of a router that has nobody to borrow from.
    pub(super) fn new(now: ClockTime) -> Self {
        EscrowAccount {
            prepaid: None,
            role: EscrowRole::Keeper,
            free: 0,
            reserved: 0,
            awaited: 0,
            scarce_since: None,
            largest: DemandPeak::default(),
            demand: DemandRate::new(DEMAND_HALF_LIFE_MS, now),
        }
    }

    /// Whether calls wait for more than is here.
    pub(super) fn is_waiting(&self) -> bool {
        self.awaited > self.free
    }

    /// Whether the ledger should be asked at once.
    pub(super) fn asks_ledger(&self) -> bool {
        self.is_waiting() && self.role == EscrowRole::Keeper
    }

    /// Notes tokens that were promised or lent.
    pub(super) fn note_demand(&mut self, now: ClockTime, tokens: u64) {
        self.demand.add(now, tokens as f64);
        self.note_peak(now, tokens);
    }

    /// Notes the size of a request.
    pub(super) fn note_peak(&mut self, now: ClockTime, tokens: u64) {
        let is_old = now.since(self.largest.noted_at) > 2 * DEMAND_HALF_LIFE_MS;
        if is_old || tokens > self.largest.tokens {
            self.largest = DemandPeak {
                tokens,
                noted_at: now,
            };
        }
    }

    /// How many tokens to borrow beyond what calls wait for.
    pub(super) fn borrow_ahead(&self, now: ClockTime, options: &EscrowOptions) -> u64 {
        let demand = self.demand.per_second(now) * options.borrow_s;
        demand as u64
    }

    /// How many free tokens the router should hold.
    ///
    /// A keeper holds seconds of its domain's demand, so that it can serve while the ledger is out
    /// of reach, but only a bounded part of what nobody has spent. That part shrinks as the total
    /// runs out, so that near the end hardly anything lies idle at one router while another refuses.
    pub(super) fn wanted(
        &self,
        now: ClockTime,
        level: LedgerLevel,
        options: &EscrowOptions,
    ) -> u64 {
        if level.is_overdrawn() {
            return 0;
        }
        let unspent = level.left().saturating_add(self.free) as f64;
        let scarce = level.prepaid as f64 * options.scarce_part;
        let ease = (unspent / scarce.max(1.0)).min(1.0);
        let part = unspent / level.keepers as f64;
        let most = (part * options.most_part).min(unspent * options.most_alone) * ease;
        let ahead = match self.role {
            EscrowRole::Keeper => {
                let demand = self.demand.per_second(now) * options.hold_s;
                (demand + self.largest_at(now) as f64).max(part * options.first_part)
            }
            EscrowRole::Borrower => (self.borrow_ahead(now, options) + self.largest_at(now)) as f64,
        };
        self.awaited + ahead.min(most) as u64
    }

    /// The largest recent request, in tokens.
    fn largest_at(&self, now: ClockTime) -> u64 {
        match now.since(self.largest.noted_at) > 4 * DEMAND_HALF_LIFE_MS {
            true => 0,
            false => self.largest.tokens,
        }
    }
}

/// A workspace's total as the ledger has it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LedgerLevel {
    /// The total.
    pub(super) prepaid: u64,
    /// What routers took of it.
    pub(super) taken: u64,
    /// How many routers keep the workspace.
    pub(super) keepers: u64,
}

impl LedgerLevel {
    /// What nobody has taken.
    pub(super) fn left(self) -> u64 {
        self.prepaid.saturating_sub(self.taken)
    }

    /// Whether more is taken than there is, as after the total was lowered.
    fn is_overdrawn(self) -> bool {
        self.taken > self.prepaid
    }
}
