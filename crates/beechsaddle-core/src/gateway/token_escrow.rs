//! The `token_escrow` module provides the tokens that this router may spend for workspaces.

use std::collections::BTreeMap;

use super::EscrowFacts;
use super::escrow_account::EscrowAccount;
use super::{
    ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange, StartBound, TokenTransfer,
    UrgencyReserve, WorkspaceLedger,
};
use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::names::WorkspaceName;

/// The assumed number of allocators of a workspace until they are counted: a few more than a small
/// fleet has, as all of them take their first tokens at the same moment.
const ALLOCATORS_ASSUMED: u64 = 12;

/// The result of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    Reserved,
    /// The router holds too few tokens and has to obtain more.
    Short,
    /// The tokens left in the fleet do not cover the request.
    Exhausted,
}

/// The tokens that this router took from ledgers, and the part of them that is reserved for
/// requests.
#[derive(Clone, Debug)]
pub struct TokenEscrow {
    pub(super) options: EscrowOptions,
    router: String,
    allocators: u64,
    routers: u64,
    pub(super) accounts: BTreeMap<WorkspaceName, EscrowAccount>,
    changes: u64,
    clock: ClockBounds,
    is_closing: bool,
}

impl TokenEscrow {
    /// Creates an escrow without tokens; `router` is the incarnation that identifies its changes.
    pub fn new(options: EscrowOptions, router: impl Into<String>) -> Self {
        TokenEscrow {
            options,
            router: router.into(),
            allocators: ALLOCATORS_ASSUMED,
            routers: ALLOCATORS_ASSUMED,
            accounts: BTreeMap::new(),
            changes: 0,
            clock: ClockBounds::default(),
            is_closing: false,
        }
    }

    /// Returns the incarnation that identifies this router's changes.
    pub fn router(&self) -> &str {
        &self.router
    }

    /// Sets the prepaid totals of a configuration.
    pub fn set_config(&mut self, now: ClockTime, config: &GatewayConfig) {
        let (allocators, routers, is_closing) = (self.allocators, self.routers, self.is_closing);
        for rule in config.workspaces() {
            let account = self.accounts.entry(rule.name.clone());
            let account = account.or_insert_with(|| {
                let mut account = EscrowAccount::new(now);
                account.urgency = UrgencyReserve::new(initial_credit(&self.router, &rule.name));
                account
            });
            account.allocators = allocators;
            account.routers = routers;
            account.is_closing = is_closing;
            account.set_prepaid(rule.prepaid, &self.options);
        }
    }

    /// Sets the number of allocators of each workspace, one in each domain, and the number of
    /// routers.
    pub fn set_fleet(&mut self, allocators: u64, routers: u64) {
        self.allocators = allocators.max(1);
        self.routers = routers.max(1);
        for account in self.accounts.values_mut() {
            account.allocators = self.allocators;
            account.routers = self.routers;
        }
    }

    /// Sets the present bounds from the clocks of the fleet.
    pub fn set_clock(&mut self, clock: ClockBounds) {
        self.clock = clock;
    }

    /// Sets the role for a workspace; returns whether it changed.
    pub fn set_role(&mut self, workspace: &WorkspaceName, role: EscrowRole) -> bool {
        let account = self.accounts.get_mut(workspace);
        account.is_some_and(|account| account.set_role(role))
    }

    /// Starts to return all tokens that are not reserved, and to take no more.
    pub fn close(&mut self) {
        self.is_closing = true;
        for account in self.accounts.values_mut() {
            account.is_closing = true;
        }
    }

    /// Whether all tokens are to be returned.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Returns the workspaces that have a prepaid total.
    pub fn counted(&self) -> Vec<WorkspaceName> {
        self.select(|account| account.prepaid.is_some())
    }

    /// Returns the workspaces whose ledgers have to be read.
    pub fn unread(&self) -> Vec<WorkspaceName> {
        self.select(EscrowAccount::needs_ledger)
    }

    /// Returns the workspaces whose ledgers should be written, or read for the outcome of a write.
    pub fn due(&self, now: ClockTime) -> Vec<WorkspaceName> {
        self.select(|account| account.pending.is_some() || self.transfer(now, account).is_some())
    }

    /// Returns the transfer to write to an account's ledger.
    ///
    /// Only a change recovers the tokens that an earlier process on this host deferred, or defers
    /// tokens again that have become usable. If no other change is due, one that moves no tokens is
    /// written for that.
    fn transfer(&self, now: ClockTime, account: &EscrowAccount) -> Option<TokenTransfer> {
        if !account.uses_ledger() {
            return None;
        }
        let transfer = account.next_transfer(now, &self.options);
        let is_useful = || self.may_recover(account) || self.may_defer_again(now, account);
        transfer.or_else(|| is_useful().then_some(TokenTransfer::Take(0)))
    }

    /// Whether the ledger has deferred tokens of an earlier process on this host, and it is known
    /// how many of them were unused. While too few clocks have answered, a change would count them
    /// as lost; more may answer later.
    fn may_recover(&self, account: &EscrowAccount) -> bool {
        let ledger = account.ledger.as_ref();
        let has_deferred = ledger.is_some_and(|ledger| ledger.has_deferred_before(&self.router));
        has_deferred && !account.is_closing && matches!(self.clock.started, StartBound::By(_))
    }

    /// Whether many deferred tokens have become usable since the last write, and enough clocks of
    /// the fleet are known to defer them again.
    fn may_defer_again(&self, now: ClockTime, account: &EscrowAccount) -> bool {
        self.clock.earliest.is_some() && account.has_excess(now, &self.options)
    }

    /// Returns the workspaces that this router allocates and holds tokens of while little is left,
    /// as other routers may need them.
    pub fn scarce(&self) -> Vec<WorkspaceName> {
        self.select(|account| {
            account.role == EscrowRole::Allocator && account.is_scarce() && account.held() > 0
        })
    }

    /// Returns the workspaces that this router allocates.
    pub fn allocated_workspaces(&self) -> Vec<WorkspaceName> {
        self.select(|account| account.role == EscrowRole::Allocator)
    }

    /// Whether calls wait for a write of a workspace's ledger, on this router or others.
    pub fn is_urgent(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        let account = self.accounts.get(workspace);
        account
            .is_some_and(|account| account.needs_write() || account.is_needed(now, &self.options))
    }

    /// Whether calls wait for more tokens of a workspace that this router allocates than it and the
    /// ledger have.
    pub fn is_uncovered(&self, workspace: &WorkspaceName) -> bool {
        let account = self.accounts.get(workspace);
        account
            .is_some_and(|account| account.role == EscrowRole::Allocator && account.is_uncovered())
    }

    /// Reserves the most tokens that a request may use.
    pub fn try_reserve(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        tokens: u64,
    ) -> ReserveOutcome {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return ReserveOutcome::Reserved;
        };
        if account.prepaid.is_none() {
            return ReserveOutcome::Reserved;
        }
        account.update_deferred(now);
        if account.free >= tokens {
            account.reserve(now, tokens);
            return ReserveOutcome::Reserved;
        }
        match account.is_exhausted(now, tokens, &self.options) {
            true => ReserveOutcome::Exhausted,
            false => ReserveOutcome::Short,
        }
    }

    /// Registers a request that waits for `tokens`.
    pub fn begin_wait(&mut self, now: ClockTime, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.begin_wait(now, tokens);
        }
    }

    /// Removes a waiting request.
    pub fn end_wait(&mut self, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.end_wait(tokens);
        }
    }

    /// Ends a reservation of which `used` tokens are spent.
    pub fn settle(&mut self, now: ClockTime, workspace: &WorkspaceName, reserved: u64, used: u64) {
        let account = self.accounts.get_mut(workspace);
        if let Some(account) = account.filter(|account| account.prepaid.is_some()) {
            account.settle(now, reserved, used);
        }
    }

    /// Returns the ledger of a workspace as last read or written.
    pub fn ledger(&self, workspace: &WorkspaceName) -> Option<&WorkspaceLedger> {
        self.accounts.get(workspace)?.ledger.as_ref()
    }

    /// Returns the number of a workspace's change whose outcome is unknown.
    pub fn pending_number(&self, workspace: &WorkspaceName) -> Option<u64> {
        let pending = self.accounts.get(workspace)?.pending?;
        Some(pending.change.number)
    }

    /// Sets the ledger of a workspace as read; `is_newer` is whether its revision differs from that
    /// of the known ledger.
    ///
    /// A change with an unknown outcome was made from the known ledger, and can only be applied
    /// while that is the newest. A newer ledger either has its writer entry, or the change will
    /// never be applied. If it stayed pending, it would be written on top of the newer ledger:
    /// tokens would be returned twice, or taken beyond a total that others have used up meanwhile.
    pub fn take_ledger(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        ledger: WorkspaceLedger,
        is_newer: bool,
    ) {
        let pending = self.pending_number(workspace);
        let has_change = pending.is_some_and(|number| ledger.has_change(&self.router, number));
        match (pending, has_change, is_newer) {
            (Some(_), true, _) => self.commit(now, workspace, ledger),
            (Some(_), false, true) => self.revert(now, workspace, ledger),
            (Some(_), false, false) | (None, _, _) => self.set_ledger(now, workspace, ledger),
        }
    }

    fn set_ledger(&mut self, now: ClockTime, workspace: &WorkspaceName, ledger: WorkspaceLedger) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.uncounted_losses = ledger.uncounted_losses(&self.router);
            account.set_ledger(now, ledger, &self.options);
        }
    }

    /// Whether tokens of an earlier process on this host may still be recovered. Until that is
    /// known, a write that no call waits for should be postponed.
    pub fn awaits_deferred(&self, workspace: &WorkspaceName) -> bool {
        let ledger = self.ledger(workspace);
        let is_deferred = ledger.is_some_and(|ledger| ledger.has_deferred_before(&self.router));
        is_deferred && self.clock.started == StartBound::Awaited
    }

    /// Returns the change to write to a workspace's ledger; the same change until its outcome is
    /// known.
    pub fn plan(&mut self, now: ClockTime, workspace: &WorkspaceName) -> Option<LedgerChange> {
        let account = self.accounts.get_mut(workspace)?;
        if account.pending.is_some() {
            return account.repeat_change();
        }
        account.update_deferred(now);
        let transfer = self.transfer(now, self.accounts.get(workspace)?)?;
        self.changes += 1;
        let (number, clock) = (self.changes, self.clock);
        let account = self.accounts.get_mut(workspace)?;
        Some(account.begin_change(now, number, transfer, clock, &self.options))
    }

    /// Applies the pending change of a workspace, which is in its ledger.
    pub fn commit(&mut self, now: ClockTime, workspace: &WorkspaceName, ledger: WorkspaceLedger) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.commit_change(now);
        }
        self.set_ledger(now, workspace, ledger);
    }

    /// Reverts the pending change of a workspace, which is not in its ledger and never will be.
    pub fn revert(&mut self, now: ClockTime, workspace: &WorkspaceName, ledger: WorkspaceLedger) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.revert_change();
            account.update_deferred(now);
        }
        self.set_ledger(now, workspace, ledger);
    }

    /// Handles the store's rejection of a write of the pending change. A change that was written
    /// before may still be applied, and stays pending.
    pub fn withdraw(&mut self, workspace: &WorkspaceName) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.withdraw_change();
        }
    }

    /// Whether tokens are unreserved or in transit, or a ledger still has an entry with idle tokens
    /// of this router.
    pub fn has_tokens(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| account.has_tokens() || account.pending.is_some())
    }

    /// Returns the tokens of all workspaces that calls may use now.
    pub fn free_tokens(&self) -> u64 {
        self.accounts.values().map(|account| account.free).sum()
    }

    /// Returns the unreserved tokens of all workspaces, free and deferred.
    pub fn held_tokens(&self) -> u64 {
        self.accounts.values().map(EscrowAccount::held).sum()
    }

    /// Returns the tokens of a workspace's total that no router has taken; `None` until they are
    /// known.
    pub fn left_of(&self, workspace: &WorkspaceName) -> Option<u64> {
        self.accounts.get(workspace)?.left()
    }

    /// Returns the holdings of a workspace, for logs and operators; `None` if it has no prepaid
    /// total.
    pub fn facts(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<EscrowFacts> {
        let account = self.accounts.get(workspace)?;
        account.prepaid?;
        Some(account.facts(now))
    }

    pub(super) fn select(
        &self,
        is_selected: impl Fn(&EscrowAccount) -> bool,
    ) -> Vec<WorkspaceName> {
        let accounts = self.accounts.iter();
        let selected = accounts.filter(|(_, account)| is_selected(account));
        selected.map(|(workspace, _)| workspace.clone()).collect()
    }
}

/// Returns a number from 0 to 1 that differs between routers and workspaces.
fn initial_credit(router: &str, workspace: &WorkspaceName) -> f64 {
    let hash = rendezvous_weight(workspace.as_str(), router);
    hash as f64 / u64::MAX as f64
}
