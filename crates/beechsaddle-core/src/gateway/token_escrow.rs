//! The `token_escrow` module provides the tokens that this router may spend for workspaces.

use std::collections::BTreeMap;

use super::{BudgetLedger, DemandRate, GatewayConfig, LedgerChange};
use crate::clock::ClockTime;
use crate::names::WorkspaceName;

/// How fast demand is forgotten, in milliseconds.
const DEMAND_HALF_LIFE_MS: u64 = 5_000;

/// How many routers are assumed to share totals until they are counted: a few more than a small
/// fleet has, as the first holds are taken by all in the same moment.
const ROUTERS_ASSUMED: u64 = 12;

/// How the escrow trades tokens held idle against serving while the ledger cannot be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EscrowOptions {
    /// Seconds of demand that are held in advance: an outage of this length refuses nobody, and a
    /// kill loses as much.
    pub hold_s: f64,
    /// The most that routers hold, as a multiple of an equal part of what is not spent. When all
    /// hold as much, 1.5 leaves a third of it to the ledger.
    pub most_part: f64,
    /// The most that one router holds, as a part of what is not spent: a kill loses no more, however
    /// small the fleet is.
    pub most_alone: f64,
    /// What a router without demand holds, as a multiple of an equal part: its first requests are
    /// served without a wait.
    pub first_part: f64,
    /// The part of the prepaid total below which a refusal for good may be due.
    pub scarce_part: f64,
    /// How long the fleet has to give back what it holds once a total is scarce, in milliseconds.
    /// Before that, a request that does not fit may fit in a moment.
    pub give_back_ms: u64,
}

impl Default for EscrowOptions {
    fn default() -> Self {
        EscrowOptions {
            hold_s: 12.0,
            most_part: 1.5,
            most_alone: 0.3,
            first_part: 0.12,
            scarce_part: 0.15,
            give_back_ms: 2_500,
        }
    }
}

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

#[derive(Clone, Debug)]
struct EscrowAccount {
    prepaid: Option<u64>,
    free: u64,
    reserved: u64,
    awaited: u64,
    largest: DemandPeak,
    demand: DemandRate,
    scarce_since: Option<ClockTime>,
}

/// The largest recent request.
#[derive(Clone, Copy, Debug, Default)]
struct DemandPeak {
    tokens: u64,
    noted_at: ClockTime,
}

/// The tokens that this router took from the ledger, and what of them is promised to requests.
#[derive(Clone, Debug)]
pub struct TokenEscrow {
    options: EscrowOptions,
    router: String,
    routers: u64,
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
            routers: ROUTERS_ASSUMED,
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

    /// Takes over how many routers share the totals.
    pub fn set_routers(&mut self, routers: u64) {
        self.routers = routers.max(1);
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
        self.is_closing || self.accounts.values().any(EscrowAccount::is_waiting)
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
                routers: self.routers,
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
                is_waiting: account.is_waiting(),
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

impl EscrowAccount {
    fn new(now: ClockTime) -> Self {
        EscrowAccount {
            prepaid: None,
            free: 0,
            reserved: 0,
            awaited: 0,
            largest: DemandPeak::default(),
            demand: DemandRate::new(DEMAND_HALF_LIFE_MS, now),
            scarce_since: None,
        }
    }

    fn is_waiting(&self) -> bool {
        self.awaited > self.free
    }

    fn note_demand(&mut self, now: ClockTime, tokens: u64) {
        self.demand.add(now, tokens as f64);
        self.note_peak(now, tokens);
    }

    fn note_peak(&mut self, now: ClockTime, tokens: u64) {
        let is_old = now.since(self.largest.noted_at) > 2 * DEMAND_HALF_LIFE_MS;
        if is_old || tokens > self.largest.tokens {
            self.largest = DemandPeak {
                tokens,
                noted_at: now,
            };
        }
    }

    /// How many free tokens the router should hold.
    ///
    /// It holds seconds of its own demand, so that it can serve while the ledger is out of reach,
    /// but only a bounded part of what nobody has spent. That part shrinks as the total runs out,
    /// so that near the end hardly anything lies idle at one router while another refuses.
    fn wanted(&self, now: ClockTime, level: LedgerLevel, options: &EscrowOptions) -> u64 {
        if level.is_overdrawn() {
            return 0;
        }
        let unspent = level.left().saturating_add(self.free) as f64;
        let scarce = level.prepaid as f64 * options.scarce_part;
        let ease = (unspent / scarce.max(1.0)).min(1.0);
        let part = unspent / level.routers as f64;
        let most = (part * options.most_part).min(unspent * options.most_alone) * ease;
        let demand = self.demand.per_second(now) * options.hold_s;
        let ahead = demand + self.largest_at(now) as f64;
        let held = ahead.max(part * options.first_part).min(most);
        self.awaited + held as u64
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
struct LedgerLevel {
    prepaid: u64,
    taken: u64,
    routers: u64,
}

impl LedgerLevel {
    /// What nobody has taken.
    fn left(self) -> u64 {
        self.prepaid.saturating_sub(self.taken)
    }

    /// Whether more is taken than there is, as after the total was lowered.
    fn is_overdrawn(self) -> bool {
        self.taken > self.prepaid
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
}

impl EscrowLevel {
    /// Whether it is worth a write by itself: half of what is wanted, or twice; or a call waits.
    fn is_due(&self) -> bool {
        let is_low = self.free < self.wanted / 2 || self.is_waiting;
        let is_high = self.free > self.wanted.saturating_mul(2);
        (is_low && self.left > 0) || is_high
    }

    /// What to take, if a write is made: from four fifths of what is wanted down.
    fn take(&self) -> Option<u64> {
        let is_low = self.free < self.wanted / 5 * 4 || self.is_waiting;
        let tokens = self.wanted.saturating_sub(self.free).min(self.left);
        (is_low && tokens > 0).then_some(tokens)
    }

    /// What to give back, if a write is made: from a half more than what is wanted up.
    fn give_back(&self) -> Option<u64> {
        let is_high = self.free > self.wanted + self.wanted / 2;
        is_high.then(|| self.free - self.wanted)
    }
}
