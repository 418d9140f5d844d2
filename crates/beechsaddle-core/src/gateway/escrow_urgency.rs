//! The `escrow_urgency` module provides the use of tokens by the urgency of calls.
//!
//! An allocator keeps tokens for more urgent calls, in its own reservations and in loans, and tells
//! its borrowers which part of their calls is admitted. All of this only withholds tokens: what may
//! be spent at most is decided by reservations and loans as without it.

use super::token_escrow::TokenEscrow;
use super::{
    CallUrgency, EscrowRole, LoanReply, LoanRequest, ReserveOutcome, UrgencyLevel, UrgencyNeed,
};
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

impl TokenEscrow {
    /// Whether scarce tokens are kept for more urgent calls.
    pub fn follows_urgency(&self) -> bool {
        self.options.reserve_s > 0.0
    }

    /// Returns the urgency that a call has here: the same for all if tokens are not kept by urgency.
    pub fn urgency_in_force(&self, urgency: CallUrgency) -> CallUrgency {
        match self.follows_urgency() {
            true => urgency,
            false => CallUrgency::HIGHEST,
        }
    }

    /// Records the tokens that a new call asks for.
    pub fn record_call(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
    ) {
        self.record_urgent_use(now, workspace, urgency, tokens as i64);
    }

    /// Records the tokens that a call asked for and did not use.
    pub fn record_unused(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
    ) {
        self.record_urgent_use(now, workspace, urgency, -(tokens as i64));
    }

    fn record_urgent_use(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: i64,
    ) {
        if !self.follows_urgency() {
            return;
        }
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        let reserve = &mut account.urgency;
        reserve.record_asked(now, urgency, tokens, &self.options);
        if account.role == EscrowRole::Borrower {
            reserve.record_unreported(now, urgency, tokens);
        }
    }

    /// Registers a call that waits for tokens, beside [`TokenEscrow::begin_wait`].
    pub fn begin_urgent_wait(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.urgency.begin_wait(now, urgency, tokens);
        }
    }

    /// Removes a waiting call, beside [`TokenEscrow::end_wait`].
    pub fn end_urgent_wait(
        &mut self,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.urgency.end_wait(urgency, tokens);
        }
    }

    /// Returns the part of a call's urgency that is admitted; `None` if a borrower has to ask its
    /// allocator. `outage_ms` is how long the ledger has been unreachable.
    pub fn urgency_level(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        outage_ms: Option<u64>,
    ) -> Option<f64> {
        if !self.follows_urgency() {
            return Some(1.0);
        }
        let Some(account) = self.accounts.get(workspace) else {
            return Some(1.0);
        };
        match account.role {
            EscrowRole::Allocator => {
                let supply = account.supply(outage_ms);
                let level = account.urgency.level(now, urgency, &supply, &self.options);
                Some(level)
            }
            EscrowRole::Borrower => account.urgency.told_level(now, urgency),
        }
    }

    /// Decides whether a call is admitted at a level of its urgency.
    pub fn admits(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        level: f64,
    ) -> bool {
        let account = self.accounts.get_mut(workspace);
        account.is_none_or(|account| level >= 1.0 || account.urgency.admits(now, urgency, level))
    }

    /// Reserves the most tokens that a call may use, unless more urgent calls will need them.
    pub fn try_reserve_urgent(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
        outage_ms: Option<u64>,
    ) -> ReserveOutcome {
        match self.withholds(now, workspace, urgency, tokens, outage_ms) {
            true => ReserveOutcome::Short,
            false => self.try_reserve(now, workspace, tokens),
        }
    }

    /// Whether a router has tokens for a call, and keeps them for more urgent ones: a borrower for
    /// those that wait, an allocator also for those to come.
    fn withholds(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        urgency: CallUrgency,
        tokens: u64,
        outage_ms: Option<u64>,
    ) -> bool {
        if !self.follows_urgency() {
            return false;
        }
        let Some(account) = self.accounts.get_mut(workspace) else {
            return false;
        };
        account.update_deferred(now);
        if account.free < tokens {
            return false;
        }
        let awaited = account.urgency.awaited_before(urgency);
        if account.free - tokens < awaited {
            return true;
        }
        if account.role != EscrowRole::Allocator {
            return false;
        }
        let supply = account.supply(outage_ms);
        let reserve = &mut account.urgency;
        !reserve.try_grant(now, urgency, tokens, &supply, &self.options)
    }

    /// Returns the needs by urgency to tell to a lender, less the tokens that are free here, which
    /// the most urgent calls get. Empty if tokens are not kept by urgency.
    pub fn urgency_needs(&self, workspace: &WorkspaceName) -> Vec<UrgencyNeed> {
        let account = self.accounts.get(workspace);
        match account.filter(|_| self.follows_urgency()) {
            Some(account) => account.urgency.needs(account.free),
            None => Vec::new(),
        }
    }

    /// Returns the urgency of the most urgent calls that wait for tokens of a workspace; `None` if
    /// none waits, or if tokens are not kept by urgency.
    pub fn most_urgent_waiting(&self, workspace: &WorkspaceName) -> Option<CallUrgency> {
        let account = self.accounts.get(workspace)?;
        let reserve = Some(&account.urgency).filter(|_| self.follows_urgency());
        reserve?.most_urgent_waiting()
    }

    /// Records that an allocator of the own domain was told needs, and the levels that it
    /// answered.
    pub fn record_levels(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        told: &[UrgencyNeed],
        levels: &[UrgencyLevel],
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.urgency.finish_report(told);
            account.urgency.record_levels(now, levels);
        }
    }

    /// Records the demand by urgency of a borrower, once for each of its requests.
    pub fn record_needs(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        needs: &[UrgencyNeed],
    ) {
        let account = self.accounts.get_mut(workspace);
        let account = account.filter(|_| self.options.reserve_s > 0.0);
        let Some(account) = account else {
            return;
        };
        for need in needs {
            let reserve = &mut account.urgency;
            reserve.record_asked(now, need.urgency, need.used, &self.options);
        }
    }

    /// Lends tokens as [`TokenEscrow::lend`] does, but none that more urgent calls will need.
    pub fn lend_urgent(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        request: LoanRequest,
        needs: &[UrgencyNeed],
        outage_ms: Option<u64>,
    ) -> LoanReply {
        if !self.follows_urgency() || needs.is_empty() {
            return self.lend(now, workspace, request);
        }
        let Some(account) = self.accounts.get_mut(workspace) else {
            return LoanReply::Short;
        };
        account.update_deferred(now);
        if account.free < request.least {
            return self.lend(now, workspace, request);
        }
        let supply = account.supply(outage_ms);
        let options = &self.options;
        let needed = account.urgency.grant_needs(now, needs, &supply, options);
        if needed == 0 {
            return LoanReply::Short;
        }
        // Tokens lent in advance may serve calls of any urgency at the borrower.
        let levels = account.urgency.levels(now, &supply, options);
        let is_scarce = levels.iter().any(|level| level.admitted < 1.0);
        let granted = LoanRequest {
            least: request.least.min(needed),
            need: needed,
            ahead: if is_scarce { 0 } else { request.ahead },
            ..request
        };
        self.lend(now, workspace, granted)
    }

    /// Whether tokens that would cover a request are kept for more urgent calls, so that the borrower
    /// need not wait for an answer.
    pub fn keeps_from(&self, workspace: &WorkspaceName, request: LoanRequest) -> bool {
        let account = self.accounts.get(workspace);
        self.follows_urgency() && account.is_some_and(|account| account.free >= request.least)
    }

    /// Returns the levels of a workspace by urgency, as its allocator tells them; empty if tokens
    /// are not kept by urgency.
    pub fn levels(
        &self,
        now: ClockTime,
        workspace: &WorkspaceName,
        outage_ms: Option<u64>,
    ) -> Vec<UrgencyLevel> {
        let account = self.accounts.get(workspace);
        match account.filter(|_| self.follows_urgency()) {
            Some(account) => {
                let supply = account.supply(outage_ms);
                account.urgency.levels(now, &supply, &self.options)
            }
            None => Vec::new(),
        }
    }

    /// Whether calls at least as urgent wait for deferred tokens of a workspace, as
    /// [`TokenEscrow::has_opening_queue`] tells of all calls.
    pub fn has_urgent_queue(&self, workspace: &WorkspaceName, urgency: CallUrgency) -> bool {
        if !self.follows_urgency() {
            return self.has_opening_queue(workspace);
        }
        let account = self.accounts.get(workspace);
        account.is_some_and(|account| {
            account.deferred > 0 && account.urgency.awaited_up_to(urgency) > 0
        })
    }
}
