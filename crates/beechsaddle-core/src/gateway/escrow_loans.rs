//! The `escrow_loans` module provides the tokens that move between an escrow and other routers.
//!
//! A router of each domain keeps a workspace and writes its ledger. All others borrow from it and hand
//! what they have too much of back to it, so that a ledger has a few writers and not one for each router.
//! Tokens are given up before they are sent, whichever way they go: an answer that is lost loses them, and
//! no order of failures lets two routers spend the same ones.

use super::token_escrow::TokenEscrow;
use super::{LoanReply, LoanRequest, LoanReturn, TokenTransfer};
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

impl TokenEscrow {
    /// What to ask another router for; `None` when no call waits.
    pub fn loan_wanted(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<LoanRequest> {
        let account = self.accounts.get(workspace)?;
        let least = account.least_awaited()?.saturating_sub(account.free);
        let need = account.awaited().saturating_sub(account.free);
        (need > 0).then(|| LoanRequest {
            least,
            need,
            ahead: account.borrow_ahead(now, &self.options),
            used: account.untold,
        })
    }

    /// Notes what a borrower's calls use: what it tells, and what they wait for. Called once for each
    /// request, however often the lender has to look for tokens before it can answer.
    ///
    /// What is lent ahead counts only when it is used: the stock of dozens of borrowers would look like demand,
    /// and keepers would hold a multiple of `hold_s`.
    pub fn note_request(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        request: LoanRequest,
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.note_use(now, request.used as f64 + request.need as f64);
            account.note_peak(now, request.least);
        }
    }

    /// Gives up tokens to another router: what it needs, or the smallest part that helps; beyond
    /// that as much as leaves the same here, and the less the more has died with routers. A borrower
    /// does not know the ledger, and what it holds dies with it as well.
    pub fn lend(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        request: LoanRequest,
    ) -> LoanReply {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return LoanReply::Short;
        };
        account.open_deferred(now, &self.options);
        if account.free < request.least {
            return match account.is_exhausted(now, request.least, &self.options) {
                true => LoanReply::Exhausted,
                false => LoanReply::Short,
            };
        }
        let needed = request.need.min(account.free);
        let rest = account.free - needed;
        let ahead = (request.ahead as f64 * account.hold_factor(&self.options)) as u64;
        let lent = needed + ahead.min(rest / 2);
        account.free -= lent;
        LoanReply::Lent(lent)
    }

    /// Takes over tokens that another router has given up for a request.
    pub fn receive(&mut self, workspace: &WorkspaceName, request: LoanRequest, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.free += tokens;
            account.note_untold(-(request.used + request.need as i64));
        }
    }

    /// Workspaces of which this router holds more than its calls use, for the router that keeps them.
    pub fn returnable(&self, now: ClockTime) -> Vec<WorkspaceName> {
        self.select(|account| {
            let transfer = account.next_transfer(now, &self.options);
            !account.uses_ledger() && matches!(transfer, Some(TokenTransfer::GiveBack(_)))
        })
    }

    /// Gives up what is held too much of a workspace, to hand it to the router that keeps it.
    pub fn begin_return(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
    ) -> Option<LoanReturn> {
        let account = self.accounts.get_mut(workspace)?;
        match account.next_transfer(now, &self.options) {
            Some(TokenTransfer::GiveBack(tokens)) if !account.uses_ledger() => {
                account.free = account.free.saturating_sub(tokens);
                account.returning += tokens;
                let used = account.untold;
                Some(LoanReturn { tokens, used })
            }
            _ => None,
        }
    }

    /// The router that keeps the workspace has what was handed to it.
    pub fn finish_return(&mut self, workspace: &WorkspaceName, handed: LoanReturn) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.returning -= handed.tokens;
            account.note_untold(-handed.used);
        }
    }

    /// Nobody knows whether the other router has what was handed to it: it is lost here.
    pub fn lose_return(&mut self, workspace: &WorkspaceName, handed: LoanReturn) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.returning -= handed.tokens;
        }
    }

    /// What was to be handed over was surely not taken, and is held here again.
    pub fn undo_return(&mut self, workspace: &WorkspaceName, handed: LoanReturn) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.returning -= handed.tokens;
            account.free += handed.tokens;
        }
    }

    /// Takes over what a borrower hands back; tells whether it does. A router that is ending refuses: what
    /// it holds itself has to be in the ledger in time.
    pub fn take_back(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        handed: LoanReturn,
    ) -> bool {
        let account = self.accounts.get_mut(workspace);
        let account = account.filter(|account| account.prepaid.is_some() && !account.is_closing);
        let Some(account) = account else {
            return false;
        };
        account.free += handed.tokens;
        account.note_use(now, handed.used as f64);
        true
    }

    /// Notes what all routers took of a total, as the router that keeps the workspace has seen it.
    pub fn note_taken(&mut self, workspace: &WorkspaceName, taken: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.note_taken(taken, &self.options);
        }
    }

    /// What all routers took of a total, as this one has seen it.
    pub fn taken_of(&self, workspace: &WorkspaceName) -> Option<u64> {
        self.accounts.get(workspace)?.taken()
    }

    /// Notes a keeper's word that the total does not cover `tokens`.
    pub fn note_exhausted(&mut self, now: ClockTime, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.note_exhausted(now, tokens);
        }
    }
}
