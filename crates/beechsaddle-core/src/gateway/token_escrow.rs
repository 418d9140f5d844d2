//! The `token_escrow` module provides the tokens that this router may spend for workspaces.

use std::collections::BTreeMap;

use super::escrow_account::{EscrowAccount, LedgerLevel};
use super::{BudgetLedger, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange};
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
    /// The router holds too little, and the ledger has to be asked.
    Short,
    /// The fleet's remainder does not cover the request.
    Exhausted,
}

/// What the ledger should be asked for next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EscrowPlan {
    /// The change.
    pub change: LedgerChange,
}

/// The tokens that this router took from the ledger, and what of them is promised to requests.
#[derive(Clone, Debug)]
pub struct TokenEscrow {
    options: EscrowOptions,
    router: String,
    keepers: u64,
    accounts: BTreeMap<WorkspaceName, EscrowAccount>,
    ledger: Option<BudgetLedger>,
    pending: Option<LedgerChange>,
    changes: u64,
    is_closing: bool,
}

impl TokenEscrow {
    /// An escrow that holds nothing; `router` is the incarnation that marks its changes.
    pub fn new(options: EscrowOptions, router: impl Into<String>) -> Self {
        TokenEscrow {
            options,
            router: router.into(),
            keepers: KEEPERS_ASSUMED,
            accounts: BTreeMap::new(),
            ledger: None,
            pending: None,
            changes: 0,
            is_closing: false,
        }
    }

    /// Takes over the totals of a configuration.
    pub fn set_config(&mut self, now: ClockTime, config: &GatewayConfig) {
        for rule in config.workspaces() {
            let account = self
                .accounts
                .entry(rule.name.clone())
                .or_insert_with(|| EscrowAccount::new(now));
            if account.prepaid != rule.prepaid {
                account.prepaid = rule.prepaid;
                account.scarce_since = None;
            }
        }
        self.note_scarcity(now);
    }

    /// Takes over how many routers keep each workspace, one in each domain.
    pub fn set_keepers(&mut self, keepers: u64) {
        self.keepers = keepers.max(1);
    }

    /// Takes over where the tokens of a workspace come from.
    pub fn set_role(&mut self, workspace: &WorkspaceName, role: EscrowRole) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.role = role;
        }
    }

    /// The workspaces whose totals are counted.
    pub fn counted(&self) -> Vec<WorkspaceName> {
        let counted = self.accounts.iter();
        let counted = counted.filter(|(_, account)| account.prepaid.is_some());
        counted.map(|(workspace, _)| workspace.clone()).collect()
    }

    /// What calls wait for beyond what is here, and what to borrow ahead of more.
    pub fn loan_wanted(&self, now: ClockTime, workspace: &WorkspaceName) -> Option<(u64, u64)> {
        let account = self.accounts.get(workspace)?;
        let need = account.awaited.saturating_sub(account.free);
        (need > 0).then(|| (need, account.borrow_ahead(now, &self.options)))
    }

    /// Gives up tokens to another router: `need`, and of `ahead` what leaves as much here; or none.
    ///
    /// They are given up before they are sent. An answer that is lost loses them, and no order of
    /// failures lets two routers spend the same ones.
    pub fn lend(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        need: u64,
        ahead: u64,
    ) -> u64 {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return 0;
        };
        if account.free < need {
            return 0;
        }
        let rest = account.free - need;
        let lent = need + ahead.min(rest / 2);
        account.free -= lent;
        account.note_demand(now, lent);
        lent
    }

    /// Takes over tokens that another router has given up.
    pub fn receive(&mut self, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.free += tokens;
        }
    }

    /// Has everything that is not promised given back, and nothing taken any more.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Takes over the ledger as it was read or written.
    pub fn set_ledger(&mut self, now: ClockTime, ledger: BudgetLedger) {
        self.ledger = Some(ledger);
        self.note_scarcity(now);
    }

    /// The ledger as it was last seen.
    pub fn ledger(&self) -> Option<&BudgetLedger> {
        self.ledger.as_ref()
    }

    /// The number of the change whose outcome is not known yet.
    pub fn pending_number(&self) -> Option<u64> {
        self.pending.as_ref().map(|change| change.number)
    }

    /// The incarnation that marks this router's changes.
    pub fn router(&self) -> &str {
        &self.router
    }

    /// Reserves the most that a request may use.
    pub fn try_reserve(
        &mut self,
        now: ClockTime,
        workspace: &WorkspaceName,
        tokens: u64,
    ) -> ReserveOutcome {
        let left = self.left_of(workspace);
        let give_back_ms = self.options.give_back_ms;
        let account = self
            .accounts
            .entry(workspace.clone())
            .or_insert_with(|| EscrowAccount::new(now));
        if account.prepaid.is_none() {
            return ReserveOutcome::Reserved;
        }
        if account.free >= tokens {
            account.free -= tokens;
            account.reserved += tokens;
            account.note_demand(now, tokens);
            return ReserveOutcome::Reserved;
        }
        let Some(left) = left else {
            return ReserveOutcome::Short;
        };
        let is_settled = account
            .scarce_since
            .is_some_and(|since| now.since(since) >= give_back_ms);
        if is_settled && left.saturating_add(account.free) < tokens {
            return ReserveOutcome::Exhausted;
        }
        ReserveOutcome::Short
    }

    /// A request waits for `tokens`.
    pub fn begin_wait(&mut self, now: ClockTime, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.awaited += tokens;
            account.note_peak(now, tokens);
        }
    }

    /// The request waits no more.
    pub fn end_wait(&mut self, workspace: &WorkspaceName, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.awaited = account.awaited.saturating_sub(tokens);
        }
    }

    /// Ends a reservation; `used` of its tokens are spent.
    pub fn settle(&mut self, workspace: &WorkspaceName, reserved: u64, used: u64) {
        let Some(account) = self.accounts.get_mut(workspace) else {
            return;
        };
        if account.prepaid.is_none() {
            return;
        }
        account.reserved = account.reserved.saturating_sub(reserved);
        account.free += reserved.saturating_sub(used);
    }

    /// Whether a call waits for tokens, or everything is to be given back.
    pub fn is_urgent(&self) -> bool {
        self.is_closing || self.accounts.values().any(EscrowAccount::asks_ledger)
    }

    /// What the ledger should be asked for; the same change until its outcome is known.
    pub fn plan(&mut self, now: ClockTime) -> Option<EscrowPlan> {
        if let Some(change) = &self.pending {
            return Some(EscrowPlan {
                change: change.clone(),
            });
        }
        let change = self.next_change(now)?;
        // Given back now, so that it cannot be spent while the write is on its way.
        for (workspace, tokens) in &change.returns {
            if let Some(account) = self.accounts.get_mut(workspace) {
                account.free = account.free.saturating_sub(*tokens);
            }
        }
        self.pending = Some(change.clone());
        Some(EscrowPlan { change })
    }

    /// The pending change is in the ledger.
    pub fn commit(&mut self, now: ClockTime, ledger: BudgetLedger) {
        if let Some(change) = self.pending.take() {
            for (workspace, tokens) in change.takes {
                if let Some(account) = self.accounts.get_mut(&workspace) {
                    account.free += tokens;
                }
            }
        }
        self.set_ledger(now, ledger);
    }

    /// The pending change is not in the ledger and never will be.
    pub fn revert(&mut self, now: ClockTime, ledger: BudgetLedger) {
        if let Some(change) = self.pending.take() {
            for (workspace, tokens) in change.returns {
                if let Some(account) = self.accounts.get_mut(&workspace) {
                    account.free += tokens;
                }
            }
        }
        self.set_ledger(now, ledger);
    }

    /// Tokens held and not promised, of all workspaces.
    pub fn free_tokens(&self) -> u64 {
        self.accounts.values().map(|account| account.free).sum()
    }

    /// Tokens that nobody has taken of a workspace's total; `None` while that is not known.
    pub fn left_of(&self, workspace: &WorkspaceName) -> Option<u64> {
        let prepaid = self.accounts.get(workspace)?.prepaid?;
        let taken = self.ledger.as_ref()?.taken_of(workspace);
        Some(prepaid.saturating_sub(taken))
    }

    fn next_change(&mut self, now: ClockTime) -> Option<LedgerChange> {
        let levels = self.levels(now)?;
        if !levels.iter().any(EscrowLevel::is_due) {
            return None;
        }
        // One write moves the tokens of all workspaces. Those that are a little off go along, or
        // each would ask for a write of its own soon after.
        let mut takes = BTreeMap::new();
        let mut returns = BTreeMap::new();
        for level in levels {
            if let Some(tokens) = level.take() {
                takes.insert(level.workspace, tokens);
            } else if let Some(tokens) = level.give_back() {
                returns.insert(level.workspace, tokens);
            }
        }
        if takes.is_empty() && returns.is_empty() {
            return None;
        }
        self.changes += 1;
        Some(LedgerChange {
            number: self.changes,
            takes,
            returns,
        })
    }

    /// What is held and wanted of each workspace; `None` before the ledger is known.
    fn levels(&self, now: ClockTime) -> Option<Vec<EscrowLevel>> {
        let ledger = self.ledger.as_ref()?;
        let mut levels = Vec::new();
        for (workspace, account) in &self.accounts {
            let Some(prepaid) = account.prepaid else {
                continue;
            };
            let level = LedgerLevel {
                prepaid,
                taken: ledger.taken_of(workspace),
                keepers: self.keepers,
            };
            let wanted = match self.is_closing {
                true => 0,
                false => account.wanted(now, level, &self.options),
            };
            levels.push(EscrowLevel {
                workspace: workspace.clone(),
                free: account.free,
                wanted,
                left: level.left(),
                is_waiting: account.asks_ledger(),
                may_take: account.role == EscrowRole::Keeper,
            });
        }
        Some(levels)
    }

    fn note_scarcity(&mut self, now: ClockTime) {
        let Some(ledger) = &self.ledger else {
            return;
        };
        for (workspace, account) in &mut self.accounts {
            let Some(prepaid) = account.prepaid else {
                continue;
            };
            let left = prepaid.saturating_sub(ledger.taken_of(workspace));
            let is_scarce = (left as f64) < prepaid as f64 * self.options.scarce_part;
            match (is_scarce, account.scarce_since) {
                (true, None) => account.scarce_since = Some(now),
                (false, Some(_)) => account.scarce_since = None,
                (true, Some(_)) | (false, None) => {}
            }
        }
    }
}

/// What a router holds and wants of one workspace, in tokens.
#[derive(Clone, Debug)]
struct EscrowLevel {
    workspace: WorkspaceName,
    free: u64,
    wanted: u64,
    left: u64,
    is_waiting: bool,
    may_take: bool,
}

impl EscrowLevel {
    /// Whether it is worth a write by itself: half of what is wanted, or twice; or a call waits.
    fn is_due(&self) -> bool {
        let is_low = self.may_take && (self.free < self.wanted / 2 || self.is_waiting);
        let is_high = self.free > self.wanted.saturating_mul(2);
        (is_low && self.left > 0) || is_high
    }

    /// What to take, if a write is made: from four fifths of what is wanted down.
    fn take(&self) -> Option<u64> {
        let is_low = self.may_take && (self.free < self.wanted / 5 * 4 || self.is_waiting);
        let tokens = self.wanted.saturating_sub(self.free).min(self.left);
        (is_low && tokens > 0).then_some(tokens)
    }

    /// What to give back, if a write is made: from a half more than what is wanted up.
    fn give_back(&self) -> Option<u64> {
        let is_high = self.free > self.wanted + self.wanted / 2;
        is_high.then(|| self.free - self.wanted)
    }
}
