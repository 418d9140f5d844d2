//! The `escrow_account` module provides the tokens that a router holds and requires of one
//! workspace.

use std::collections::BTreeMap;

use super::deferred_change::PendingChange;
use super::demand_peak::DemandPeak;
use super::reserve_schedule::ReserveSchedule;
use super::{DemandRate, EscrowFacts, EscrowOptions, EscrowRole, TokenTransfer, WorkspaceLedger};
use crate::clock::ClockTime;

/// Half-life of the average demand, in milliseconds.
const DEMAND_HALF_LIFE_MS: u64 = 5_000;

/// How long an allocator's report that the total does not cover a request stays valid, in
/// milliseconds. The total may be raised at any time.
const EXHAUSTED_MS: u64 = 1_000;

/// The largest age of a ledger on which a permanent refusal may rest, in milliseconds. The ledger
/// is read several times in this span.
const LEDGER_FRESH_MS: u64 = 2_500;

/// A router's holdings of one workspace.
#[derive(Clone, Debug)]
pub(super) struct EscrowAccount {
    /// The prepaid total; `None` if the workspace has no limit.
    pub(super) prepaid: Option<u64>,
    /// Whether tokens come from the ledger or from the domain's allocator.
    pub(super) role: EscrowRole,
    /// Tokens that are not reserved and may be used now.
    pub(super) free: u64,
    /// Tokens that are not reserved and may not be used yet.
    pub(super) deferred: u64,
    /// The schedule of the last change that is known to be in the ledger.
    pub(super) schedule: ReserveSchedule,
    /// Tokens lost with earlier processes on this host that the ledger does not count as lost yet.
    pub(super) uncounted_losses: u64,
    /// Tokens in transit back to the allocator.
    pub(super) returning: u64,
    /// The router's idle tokens according to its last entry in the ledger.
    pub(super) reported_idle: u64,
    /// The ledger as last read or written.
    pub(super) ledger: Option<WorkspaceLedger>,
    /// The change whose outcome is unknown.
    pub(super) pending: Option<PendingChange>,
    /// Number of routers that allocate tokens of the workspace.
    pub(super) allocators: u64,
    /// Number of routers of the fleet.
    pub(super) routers: u64,
    /// Whether all tokens are to be returned.
    pub(super) is_closing: bool,
    pub(super) demand: DemandRate,
    /// Whether little is left of the total.
    pub(super) is_scarce: bool,
    /// Tokens used by a borrower's calls that were not reported to the allocator yet. An allocator
    /// records its own demand and reports none.
    pub(super) unreported_use: i64,
    /// Tokens taken by all routers, as last read from the ledger or sent by the allocator.
    known_taken: Option<u64>,
    reserved: u64,
    awaited: BTreeMap<u64, u32>,
    uncovered_since: Option<ClockTime>,
    ledger_at: ClockTime,
    exhausted: Option<ExhaustedReport>,
    largest: DemandPeak,
}

/// An allocator's report that the total does not cover a request.
#[derive(Clone, Copy, Debug)]
struct ExhaustedReport {
    tokens: u64,
    seen_at: ClockTime,
}

impl EscrowAccount {
    /// Creates the account of a router whose role for the workspace is not known yet.
    pub(super) fn new(now: ClockTime) -> Self {
        EscrowAccount {
            prepaid: None,
            role: EscrowRole::Borrower,
            free: 0,
            deferred: 0,
            schedule: ReserveSchedule::default(),
            uncounted_losses: 0,
            returning: 0,
            reported_idle: 0,
            ledger: None,
            pending: None,
            allocators: 1,
            routers: 1,
            is_closing: false,
            reserved: 0,
            awaited: BTreeMap::new(),
            is_scarce: false,
            unreported_use: 0,
            known_taken: None,
            uncovered_since: None,
            ledger_at: now,
            exhausted: None,
            largest: DemandPeak::new(DEMAND_HALF_LIFE_MS),
            demand: DemandRate::new(DEMAND_HALF_LIFE_MS, now),
        }
    }

    /// Sets the prepaid total.
    pub(super) fn set_prepaid(&mut self, prepaid: Option<u64>, options: &EscrowOptions) {
        if self.prepaid != prepaid {
            self.prepaid = prepaid;
            self.uncovered_since = None;
            self.exhausted = None;
            self.update_scarcity(options);
        }
    }

    /// Sets the ledger as read or written.
    pub(super) fn set_ledger(
        &mut self,
        now: ClockTime,
        ledger: WorkspaceLedger,
        options: &EscrowOptions,
    ) {
        let left = self.left();
        self.ledger_at = now;
        self.known_taken = Some(ledger.taken);
        self.ledger = Some(ledger);
        // Another router returned tokens, so a request that did not fit may fit now.
        if self.left() > left {
            self.uncovered_since = None;
        }
        self.update_scarcity(options);
    }

    /// Sets the tokens taken by all routers, as sent by the allocator.
    pub(super) fn record_taken(&mut self, taken: u64, options: &EscrowOptions) {
        self.known_taken = Some(taken);
        self.update_scarcity(options);
    }

    /// Reserves tokens for a call.
    pub(super) fn reserve(&mut self, now: ClockTime, tokens: u64) {
        self.free -= tokens;
        self.reserved += tokens;
        self.add_unreported_use(tokens as i64);
        self.record_use(now, tokens as f64);
        self.record_peak(now, tokens);
    }

    /// Ends a reservation of which `used` tokens are spent.
    pub(super) fn settle(&mut self, now: ClockTime, reserved: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        let unused = reserved.saturating_sub(used);
        self.free += unused;
        self.add_unreported_use(-(unused as i64));
        self.record_use(now, -(unused as f64));
    }

    /// Sets the role; returns whether it changed.
    pub(super) fn set_role(&mut self, role: EscrowRole) -> bool {
        let is_changed = std::mem::replace(&mut self.role, role) != role;
        if is_changed {
            // The workspace has another allocator now, or none. Earlier use is not demand on it.
            self.unreported_use = 0;
        }
        is_changed
    }

    /// Adds tokens used by a borrower's calls; a negative amount stands for use that was reported
    /// to the allocator.
    pub(super) fn add_unreported_use(&mut self, tokens: i64) {
        if self.role == EscrowRole::Borrower {
            self.unreported_use += tokens;
        }
    }

    /// Registers a call that waits for tokens.
    pub(super) fn begin_wait(&mut self, now: ClockTime, tokens: u64) {
        *self.awaited.entry(tokens).or_default() += 1;
        self.record_peak(now, tokens);
    }

    /// Removes a waiting call.
    pub(super) fn end_wait(&mut self, tokens: u64) {
        if let Some(count) = self.awaited.get_mut(&tokens) {
            *count -= 1;
            if *count == 0 {
                self.awaited.remove(&tokens);
            }
        }
    }

    /// Returns the tokens that calls wait for.
    pub(super) fn awaited(&self) -> u64 {
        let awaited = self.awaited.iter();
        awaited
            .map(|(tokens, count)| tokens * u64::from(*count))
            .sum()
    }

    /// Returns the tokens that calls wait for, smallest calls first, as far as `limit` covers
    /// complete calls.
    ///
    /// A remainder that covers no call is not taken, as it would be unavailable to smaller calls
    /// elsewhere, and returning it would look as if tokens had become free.
    pub(super) fn awaited_within(&self, limit: u64) -> u64 {
        let mut sum = 0_u64;
        for (tokens, count) in &self.awaited {
            let room = limit.saturating_sub(sum) / (*tokens).max(1);
            let fitting = u64::from(*count).min(room);
            sum += tokens * fitting;
            if fitting < u64::from(*count) {
                break;
            }
        }
        sum
    }

    /// Returns the smallest request that waits.
    pub(super) fn least_awaited(&self) -> Option<u64> {
        self.awaited.keys().next().copied()
    }

    /// Whether calls wait for more tokens than are free here.
    pub(super) fn is_waiting(&self) -> bool {
        self.awaited() > self.free
    }

    /// Whether the smallest waiting request exceeds the tokens held here plus those left in the
    /// ledger, so that only other allocators can help.
    pub(super) fn is_uncovered(&self) -> bool {
        let least = self.least_awaited().unwrap_or(0);
        let left = self.left();
        left.is_some_and(|left| left.saturating_add(self.held()) < least)
    }

    /// Whether the ledger should be written at once.
    pub(super) fn needs_write(&self) -> bool {
        let needs_tokens = self.is_waiting() && self.role == EscrowRole::Allocator;
        needs_tokens || (self.is_closing && self.has_tokens())
    }

    /// Whether the router holds unreserved tokens, has tokens in transit, or has a ledger entry
    /// that says so.
    pub(super) fn has_tokens(&self) -> bool {
        self.held() > 0 || self.returning > 0 || self.reported_idle > 0
    }

    /// Whether other routers may need the tokens that this one is due to return.
    pub(super) fn is_needed(&self, now: ClockTime, options: &EscrowOptions) -> bool {
        let transfer = self.next_transfer(now, options);
        self.is_scarce && matches!(transfer, Some(TokenTransfer::GiveBack(_)))
    }

    /// Records an allocator's report that the total does not cover a request.
    pub(super) fn record_exhausted(&mut self, now: ClockTime, tokens: u64) {
        self.exhausted = Some(ExhaustedReport {
            tokens,
            seen_at: now,
        });
    }

    /// Whether the tokens left in the fleet certainly do not cover a request.
    ///
    /// Other routers may still hold some. Near exhaustion they return these within a second; a
    /// request is refused for good only if it still does not fit after `give_back_ms`.
    pub(super) fn is_exhausted(
        &mut self,
        now: ClockTime,
        tokens: u64,
        options: &EscrowOptions,
    ) -> bool {
        let is_reported = self
            .exhausted
            .is_some_and(|last| now.since(last.seen_at) < EXHAUSTED_MS && tokens >= last.tokens);
        let fits = self
            .left()
            .is_none_or(|left| left.saturating_add(self.held()) >= tokens);
        if is_reported || fits || self.role == EscrowRole::Borrower {
            return is_reported;
        }
        // While the ledger is unreachable, tokens returned by other routers are not visible.
        if now.since(self.ledger_at) > LEDGER_FRESH_MS {
            self.uncovered_since = None;
            return false;
        }
        let since = *self.uncovered_since.get_or_insert(now);
        now.since(since) >= options.give_back_ms
    }

    /// Records tokens used by calls here or at borrowers; negative if a call uses less than was
    /// recorded.
    pub(super) fn record_use(&mut self, now: ClockTime, tokens: f64) {
        self.demand.add(now, tokens);
    }

    /// Returns how many tokens to borrow beyond those that calls wait for.
    pub(super) fn borrow_ahead(&self, now: ClockTime, options: &EscrowOptions) -> u64 {
        (self.demand.per_second(now).max(0.0) * options.borrow_s) as u64
    }

    /// Returns the holdings, for logs and operators.
    pub(super) fn facts(&self, now: ClockTime) -> EscrowFacts {
        let has_ledger = self.ledger.is_some();
        EscrowFacts {
            role: self.role,
            free: self.held(),
            reserved: self.reserved,
            left: self.left(),
            ledger_age_ms: has_ledger.then(|| now.since(self.ledger_at)),
        }
    }

    /// Returns the tokens taken by all routers; `None` until they are known. An allocator uses the
    /// ledger that it writes.
    pub(super) fn taken(&self) -> Option<u64> {
        match self.role {
            EscrowRole::Allocator => self.ledger.as_ref().map(|ledger| ledger.taken),
            EscrowRole::Borrower => self.known_taken,
        }
    }

    /// Returns the tokens that no router has taken; `None` until they are known.
    pub(super) fn left(&self) -> Option<u64> {
        Some(self.prepaid?.saturating_sub(self.taken()?))
    }

    /// Whether tokens move between this router and the ledger. A borrower exchanges tokens with the
    /// allocator, unless the ledger has an entry with idle tokens of this router: that must be
    /// cleared in the ledger.
    pub(super) fn uses_ledger(&self) -> bool {
        self.role == EscrowRole::Allocator || self.reported_idle > 0
    }

    /// Whether the ledger has to be read.
    pub(super) fn needs_ledger(&self) -> bool {
        let is_counted = self.prepaid.is_some() && self.ledger.is_none();
        let has_use = !self.is_closing || self.held() > 0;
        is_counted && has_use && self.role == EscrowRole::Allocator
    }

    /// Returns the largest recent request, in tokens.
    pub(super) fn largest_at(&self, now: ClockTime) -> u64 {
        self.largest.tokens_at(now)
    }

    pub(super) fn record_peak(&mut self, now: ClockTime, tokens: u64) {
        self.largest.record(now, tokens);
    }

    fn update_scarcity(&mut self, options: &EscrowOptions) {
        if let (Some(prepaid), Some(left)) = (self.prepaid, self.left()) {
            self.is_scarce = (left as f64) < prepaid as f64 * options.scarce_part;
        }
    }

    /// Whether the total is nearly exhausted.
    pub(super) fn is_scarce(&self) -> bool {
        self.is_scarce
    }
}
