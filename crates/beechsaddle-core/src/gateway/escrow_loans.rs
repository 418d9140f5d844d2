//! The `escrow_loans` module provides the exchange of tokens between an escrow and other routers.
//!
//! One router of each domain allocates the tokens of a workspace and writes its ledger. All other
//! routers of the domain borrow from it and return their surplus to it, so that a ledger has a few
//! writers instead of one for each router. Tokens are deducted before they are sent, in either
//! direction: a lost answer loses them, and no order of failures lets two routers spend the same
//! tokens.

use super::token_escrow::TokenEscrow;
use super::{LoanReply, LoanRequest, LoanReturn, TokenTransfer};
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

impl TokenEscrow {
    /// Returns the request to send to another router; `None` if no call waits.
    pub fn loan_wanted(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<LoanRequest> {
        let account = self.accounts.get(workspace)?;
        let least = account.least_awaited()?.saturating_sub(account.free);
        let need = account.awaited().saturating_sub(account.free);
        (need > 0).then(|| LoanRequest {
            least,
            need,
            ahead: account.borrow_ahead(now, &self.options),
            used: account.unreported_use,
        })
    }

    /// Records the demand of a borrower: the use that it reports and the tokens that its calls wait
    /// for. Called once for each request, however often the lender looks for tokens before it
    /// answers.
    ///
    /// Tokens lent in advance count only once they are used. Otherwise the stock of dozens of
    /// borrowers would look like demand, and allocators would hold a multiple of `hold_s`.
    pub fn record_request(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        request: LoanRequest,
    ) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.record_use(now, request.used as f64 + request.need as f64);
            account.record_peak(now, request.least);
        }
    }

    /// Lends tokens to another router: the amount that it needs, or the smallest part that helps;
    /// beyond that as much as leaves an equal amount here, and less the more tokens were lost with
    /// terminated routers. A borrower does not know the ledger, and its tokens are lost with it as
    /// well.
    pub fn lend(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        request: LoanRequest,
    ) -> LoanReply {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return LoanReply::Short;
        };
        account.update_deferred(now);
        if account.free < request.least {
            return match account.is_exhausted(now, request.least, &self.options) {
                true => LoanReply::Exhausted,
                false => LoanReply::Short,
            };
        }
        let needed = request.need.min(account.free);
        let remainder = account.free - needed;
        let ahead = (request.ahead as f64 * account.hold_factor(&self.options)) as u64;
        let lent = needed + ahead.min(remainder / 2);
        account.free -= lent;
        LoanReply::Lent(lent)
    }

    /// Adds tokens that another router lent for a request.
    pub fn receive(&mut self, workspace: &WorkspaceName, request: LoanRequest, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.free += tokens;
            account.add_unreported_use(-(request.used + request.need as i64));
        }
    }

    /// Returns the workspaces of which a borrower holds more tokens than its calls use, which it
    /// should return to their allocator.
    pub fn returnable(&self, now: ClockTime) -> Vec<WorkspaceName> {
        self.select(|account| {
            let transfer = account.next_transfer(now, &self.options);
            !account.uses_ledger() && matches!(transfer, Some(TokenTransfer::GiveBack(_)))
        })
    }

    /// Deducts the surplus of a workspace, to return it to the allocator.
    pub fn begin_return(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
    ) -> Option<LoanReturn> {
        let account = self.accounts.get_mut(workspace)?;
        account.update_deferred(now);
        match account.next_transfer(now, &self.options) {
            Some(TokenTransfer::GiveBack(tokens)) if !account.uses_ledger() => {
                // A change without an outcome may still defer tokens here.
                let tokens = tokens.min(account.free);
                account.free -= tokens;
                account.returning += tokens;
                let used = account.unreported_use;
                Some(LoanReturn { tokens, used })
            }
            _ => None,
        }
    }

    /// Completes a return that the allocator has accepted.
    pub fn finish_return(&mut self, workspace: &WorkspaceName, loan_return: LoanReturn) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.returning -= loan_return.tokens;
            account.add_unreported_use(-loan_return.used);
        }
    }

    /// Ends a return whose outcome is unknown. The tokens are treated as lost, as the other router
    /// may have them.
    pub fn lose_return(&mut self, workspace: &WorkspaceName, loan_return: LoanReturn) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.returning -= loan_return.tokens;
        }
    }

    /// Cancels a return that the other router certainly did not accept; the tokens are held here
    /// again.
    pub fn undo_return(&mut self, workspace: &WorkspaceName, loan_return: LoanReturn) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.returning -= loan_return.tokens;
            account.free += loan_return.tokens;
        }
    }

    /// Accepts tokens that a borrower returns; returns whether it did. A router that is shutting
    /// down refuses, as its own tokens must reach the ledger in time.
    pub fn take_back(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        loan_return: LoanReturn,
    ) -> bool {
        let account = self.accounts.get_mut(workspace);
        let account = account.filter(|account| account.prepaid.is_some() && !account.is_closing);
        let Some(account) = account else {
            return false;
        };
        account.free += loan_return.tokens;
        account.record_use(now, loan_return.used as f64);
        true
    }

    /// Records the tokens of a total taken by all routers, as sent by the allocator.
    pub fn record_taken(&mut self, workspace: &WorkspaceName, taken: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.record_taken(taken, &self.options);
        }
    }

    /// Returns the tokens of a total taken by all routers, as known here.
    pub fn taken_of(&self, workspace: &WorkspaceName) -> Option<u64> {
        self.accounts.get(workspace)?.taken()
    }

    /// Records an allocator's report that the total does not cover `tokens`.
    pub fn record_exhausted(&mut self, now: ClockTime, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.record_exhausted(now, tokens);
        }
    }
}
