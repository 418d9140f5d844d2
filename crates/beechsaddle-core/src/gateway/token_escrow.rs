//! The `token_escrow` module provides the tokens that this router may spend for workspaces.

use std::collections::BTreeMap;

use super::EscrowFacts;
use super::escrow_account::EscrowAccount;
use super::{
    BudgetLedger, ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange, StartBound,
};
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

/// How many routers are assumed to keep a workspace until they are counted: a few more than there
/// are in a small fleet, as the first holds are taken by all in the same moment.
const KEEPERS_ASSUMED: u64 = 12;

/// What came of an attempt to reserve tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    /// The tokens are reserved.
    Reserved,
    /// The router holds too little, and has to ask for more.
    Short,
    /// The fleet's remainder does not cover the request.
    Exhausted,
}

/// The tokens that this router took from ledgers, and what of them is promised to requests.
#[derive(Clone, Debug)]
pub struct TokenEscrow {
    pub(super) options: EscrowOptions,
    router: String,
    keepers: u64,
    routers: u64,
    pub(super) accounts: BTreeMap<WorkspaceName, EscrowAccount>,
    changes: u64,
    clock: ClockBounds,
    is_closing: bool,
}

impl TokenEscrow {
    /// An escrow that holds nothing; `router` is the incarnation that marks its changes.
    pub fn new(options: EscrowOptions, router: impl Into<String>) -> Self {
        TokenEscrow {
            options,
            router: router.into(),
            keepers: KEEPERS_ASSUMED,
            routers: KEEPERS_ASSUMED,
            accounts: BTreeMap::new(),
            changes: 0,
            clock: ClockBounds::default(),
            is_closing: false,
        }
    }

    /// The incarnation that marks this router's changes.
    pub fn router(&self) -> &str {
        &self.router
    }

    /// Takes over the totals of a configuration.
    pub fn set_config(&mut self, now: ClockTime, config: &GatewayConfig) {
        let (keepers, routers, is_closing) = (self.keepers, self.routers, self.is_closing);
        for rule in config.workspaces() {
            let account = self.accounts.entry(rule.name.clone());
            let account = account.or_insert_with(|| EscrowAccount::new(now));
            account.keepers = keepers;
            account.routers = routers;
            account.is_closing = is_closing;
            account.set_prepaid(rule.prepaid, &self.options);
        }
    }

    /// Takes over how many routers keep each workspace, one in each domain, and how many there are.
    pub fn set_fleet(&mut self, keepers: u64, routers: u64) {
        self.keepers = keepers.max(1);
        self.routers = routers.max(1);
        for account in self.accounts.values_mut() {
            account.keepers = self.keepers;
            account.routers = self.routers;
        }
    }

    /// Takes over what the clocks of the fleet say now.
    pub fn set_clock(&mut self, clock: ClockBounds) {
        self.clock = clock;
    }

    /// Takes over where the tokens of a workspace come from; tells whether that is a change.
    pub fn set_role(&mut self, workspace: &WorkspaceName, role: EscrowRole) -> bool {
        let account = self.accounts.get_mut(workspace);
        account.is_some_and(|account| account.set_role(role))
    }

    /// Has everything that is not promised given back, and nothing taken any more.
    pub fn close(&mut self) {
        self.is_closing = true;
        for account in self.accounts.values_mut() {
            account.is_closing = true;
        }
    }

    /// Whether everything is to be given back.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// The workspaces whose totals are counted.
    pub fn counted(&self) -> Vec<WorkspaceName> {
        self.select(|account| account.prepaid.is_some())
    }

    /// The workspaces whose ledgers have to be read.
    pub fn unread(&self) -> Vec<WorkspaceName> {
        self.select(EscrowAccount::needs_ledger)
    }

    /// The workspaces whose ledgers should be written, or asked what became of a write.
    pub fn due(&self, now: ClockTime) -> Vec<WorkspaceName> {
        self.select(|account| {
            let has_transfer = || account.next_transfer(now, &self.options).is_some();
            account.pending.is_some() || (account.uses_ledger() && has_transfer())
        })
    }

    /// The workspaces that this router keeps and holds tokens of while little is left: others may need them.
    pub fn scarce(&self) -> Vec<WorkspaceName> {
        self.select(|account| {
            account.role == EscrowRole::Keeper && account.is_scarce() && account.held() > 0
        })
    }

    /// The workspaces that this router keeps.
    pub fn kept(&self) -> Vec<WorkspaceName> {
        self.select(|account| account.role == EscrowRole::Keeper)
    }

    /// Whether calls wait for a write of a workspace's ledger, here or elsewhere.
    pub fn is_urgent(&self, now: ClockTime, workspace: &WorkspaceName) -> bool {
        let account = self.accounts.get(workspace);
        account
            .is_some_and(|account| account.asks_ledger() || account.is_missed(now, &self.options))
    }

    /// Whether calls wait for more of a workspace that this router keeps than it and the ledger have.
    pub fn outgrows_ledger(&self, workspace: &WorkspaceName) -> bool {
        let account = self.accounts.get(workspace);
        account
            .is_some_and(|account| account.role == EscrowRole::Keeper && account.outgrows_ledger())
    }

    /// Reserves the most that a request may use.
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
        account.open_deferred(now, &self.options);
        if account.free >= tokens {
            account.reserve(now, tokens);
            return ReserveOutcome::Reserved;
        }
        match account.is_exhausted(now, tokens, &self.options) {
            true => ReserveOutcome::Exhausted,
            false => ReserveOutcome::Short,
        }
    }

    /// A request waits for `tokens`.
    pub fn begin_wait(&mut self, now: ClockTime, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.begin_wait(now, tokens);
        }
    }

    /// The request waits no more.
    pub fn end_wait(&mut self, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.end_wait(tokens);
        }
    }

    /// Ends a reservation; `used` of its tokens are spent.
    pub fn settle(&mut self, now: ClockTime, workspace: &WorkspaceName, reserved: u64, used: u64) {
        let account = self.accounts.get_mut(workspace);
        if let Some(account) = account.filter(|account| account.prepaid.is_some()) {
            account.settle(now, reserved, used);
        }
    }

    /// The ledger of a workspace as it was last seen.
    pub fn ledger(&self, workspace: &WorkspaceName) -> Option<&BudgetLedger> {
        self.accounts.get(workspace)?.ledger.as_ref()
    }

    /// The number of a workspace's change whose outcome is not known yet.
    pub fn pending_number(&self, workspace: &WorkspaceName) -> Option<u64> {
        let pending = self.accounts.get(workspace)?.pending?;
        Some(pending.change.number)
    }

    /// Takes over the ledger of a workspace as it was read; `is_newer` tells whether its revision is
    /// another than that of the ledger which was known.
    ///
    /// A change whose outcome is not known was made from the ledger that was known, and can only be
    /// done while that is the newest. On a newer one it either shows its mark, or never will be done.
    /// Left pending, it would be written on top of the newer ledger: tokens given back twice, or
    /// taken beyond a total that others have used up meanwhile.
    pub fn take_ledger(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        ledger: BudgetLedger,
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

    fn set_ledger(&mut self, now: ClockTime, workspace: &WorkspaceName, ledger: BudgetLedger) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.died_before = ledger.died_before(&self.router);
            account.set_ledger(now, ledger, &self.options);
        }
    }

    /// Whether it may still turn out that tokens of a process that ended on this host come back. Until then a
    /// write that no call waits for is worth waiting with.
    pub fn awaits_deferred(&self, workspace: &WorkspaceName) -> bool {
        let ledger = self.ledger(workspace);
        let is_deferred = ledger.is_some_and(|ledger| ledger.has_deferred_before(&self.router));
        is_deferred && self.clock.started == StartBound::Awaited
    }

    /// What a workspace's ledger should be asked for; the same change until its outcome is known.
    pub fn plan(&mut self, now: ClockTime, workspace: &WorkspaceName) -> Option<LedgerChange> {
        let account = self.accounts.get_mut(workspace)?;
        if account.pending.is_some() {
            return account.repeat_change();
        }
        if !account.uses_ledger() {
            return None;
        }
        account.open_deferred(now, &self.options);
        let transfer = account.next_transfer(now, &self.options)?;
        self.changes += 1;
        let (number, clock) = (self.changes, self.clock);
        Some(account.begin_change(now, number, transfer, clock, &self.options))
    }

    /// The pending change of a workspace is in its ledger.
    pub fn commit(&mut self, now: ClockTime, workspace: &WorkspaceName, ledger: BudgetLedger) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.commit_change();
        }
        self.set_ledger(now, workspace, ledger);
    }

    /// The pending change of a workspace is not in its ledger and never will be.
    pub fn revert(&mut self, now: ClockTime, workspace: &WorkspaceName, ledger: BudgetLedger) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.revert_change();
        }
        self.set_ledger(now, workspace, ledger);
    }

    /// The store turned a write of the pending change away. One that was tried before may still be done, and stays.
    pub fn withdraw(&mut self, workspace: &WorkspaceName) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.withdraw_change();
        }
    }

    /// Whether tokens are held and not promised, or on their way to a ledger, or a ledger has yet to be told
    /// that none are.
    pub fn has_tokens(&self) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| account.has_tokens() || account.pending.is_some())
    }

    /// Tokens that calls may use now, of all workspaces.
    pub fn free_tokens(&self) -> u64 {
        self.accounts.values().map(|account| account.free).sum()
    }

    /// Tokens held and not promised, of all workspaces: the free and the deferred ones.
    pub fn held_tokens(&self) -> u64 {
        self.accounts.values().map(EscrowAccount::held).sum()
    }

    /// Tokens that nobody has taken of a workspace's total; `None` while that is not known.
    pub fn left_of(&self, workspace: &WorkspaceName) -> Option<u64> {
        self.accounts.get(workspace)?.left()
    }

    /// What is held and known of a workspace, for logs and operators; `None` where nothing is counted.
    pub fn facts(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<EscrowFacts> {
        let account = self.accounts.get(workspace)?;
        account.prepaid?;
        Some(account.facts(now))
    }

    pub(super) fn select(&self, is_meant: impl Fn(&EscrowAccount) -> bool) -> Vec<WorkspaceName> {
        let accounts = self.accounts.iter();
        let meant = accounts.filter(|(_, account)| is_meant(account));
        meant.map(|(workspace, _)| workspace.clone()).collect()
    }
}
