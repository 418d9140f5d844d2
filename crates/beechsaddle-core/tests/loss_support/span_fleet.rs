//! The `span_fleet` module provides the allocators of three domains that lose power, with a forced
//! order of events and no network.

use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    CallerLimits, ClockBounds, DeferredReserve, EscrowOptions, EscrowRole, GatewayConfig,
    LedgerChange, LoanReply, ReserveOutcome, StartBound, TokenEscrow, TokenTransfer,
    WorkspaceLedger, WorkspaceRule,
};
use beechsaddle_core::prelude::*;

pub const START: ClockTime = ClockTime::from_millis(1_000_000);
pub const ALLOCATORS: usize = 3;

/// The time between two calls, in milliseconds.
pub const CALL_SPAN_MS: u64 = 10;
/// The tokens that a call uses.
pub const CALL_TOKENS: u64 = 1_000;
/// The demand of callers, in tokens per second.
pub const DEMAND: u64 = CALL_TOKENS * 1_000 / CALL_SPAN_MS;
/// The time between two writes of an allocator while no call waits for a write, in milliseconds.
pub const WRITE_SPAN_MS: u64 = 2_500;
/// The tokens of a large call, and the time between two of them, in milliseconds.
pub const LARGE_CALL_TOKENS: u64 = 4 * DEMAND;
pub const LARGE_CALL_SPAN_MS: u64 = 8_000;
/// The tokens of the calls among large ones, so that the demand stays the same.
pub const SMALL_CALL_TOKENS: u64 = CALL_TOKENS / 2;
/// How long a restarted router waits for the clocks of other routers, in milliseconds.
pub const START_WAIT_MS: u64 = 4_000;
/// The largest difference between correct clocks, in milliseconds.
pub const CLOCK_SKEW_MS: u64 = 500;

pub const PREPAID: u64 = DEMAND * 92 * 23 / 20;

pub fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

pub fn config() -> GatewayConfig {
    let mut config = GatewayConfig::new(1, CallerLimits::default());
    let rule = WorkspaceRule {
        name: acme(),
        priority: None,
        prepaid: Some(PREPAID),
    };
    config.add_workspace(rule, ["key".to_owned()]);
    config
}

/// What becomes of a ledger write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    Answered,
    /// Never done, without an answer.
    Lost,
    /// Done at once, without an answer.
    Unanswered,
    /// Done after the process died and before its successor reads the ledger.
    LateBeforeRestart,
    /// Arrives at the store after the successor's first write.
    LateAfterRestart,
}

/// The order of events around a loss of power.
#[derive(Clone, Copy, Debug)]
pub struct LossSetup {
    /// How long power is away.
    pub span_ms: u64,
    /// The age of the last write of each allocator when the store becomes unreachable, or else when
    /// power goes.
    pub mark_age_ms: u64,
    /// How long the store is out of reach right before power goes.
    pub outage_ms: u64,
    /// The fate of the last write.
    pub fate: WriteFate,
    /// Whether restarted routers learn from the fleet's clocks when they started.
    pub has_clocks: bool,
    pub has_large_calls: bool,
    /// How long a call runs.
    pub call_ms: u64,
}

impl LossSetup {
    pub fn new(span_ms: u64, mark_age_ms: u64) -> Self {
        LossSetup {
            span_ms,
            mark_age_ms,
            outage_ms: 0,
            fate: WriteFate::Answered,
            has_clocks: true,
            has_large_calls: false,
            call_ms: 0,
        }
    }
}

/// Tokens at a loss of all routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LossCount {
    /// Not reserved for calls, including deferred ones.
    pub held: u64,
    pub reserved: u64,
    pub recovered: u64,
    /// Tokens that are neither used nor held by anyone afterwards.
    pub lost: u64,
    /// The largest age of an allocator's last write, in milliseconds.
    pub mark_age_ms: u64,
}

impl LossCount {
    pub fn row(&self) -> String {
        let seconds = |tokens: u64| tokens as f64 / DEMAND as f64;
        let (held, recovered) = (seconds(self.held), seconds(self.recovered));
        let lost = seconds(self.lost);
        format!("held {held:.2} recovered {recovered:.2} lost {lost:.2}")
    }
}

/// Returns how many tokens of an entry are deferred at `time`.
pub fn deferred_at(reserve: Option<DeferredReserve>, time: ClockTime) -> u64 {
    match reserve {
        Some(reserve) if time < reserve.until => reserve.tokens,
        Some(DeferredReserve {
            tokens,
            until,
            per_s: Some(per_s),
        }) => tokens.saturating_sub(per_s * time.since(until) / 1_000),
        Some(_) | None => 0,
    }
}

/// Returns how many tokens of an entry were certainly unused when the successor started.
pub fn proven_unused(reserve: Option<DeferredReserve>, started: StartBound) -> u64 {
    let StartBound::By(started_by) = started else {
        return 0;
    };
    deferred_at(reserve, started_by.plus_ms(CLOCK_SKEW_MS))
}

pub struct OpenCall {
    pub ends_at: ClockTime,
    pub tokens: u64,
}

/// The allocator of one domain.
pub struct DomainAllocator {
    pub escrow: TokenEscrow,
    pub revision: u64,
    pub marked_at: ClockTime,
    pub started_at: ClockTime,
    pub open_calls: Vec<OpenCall>,
    /// The change whose outcome is unknown.
    pub pending: Option<LedgerChange>,
    /// The deferred tokens in the ledger if the pending change is not done.
    pub entry: Option<DeferredReserve>,
}

impl DomainAllocator {
    pub fn reserved(&self) -> u64 {
        self.open_calls.iter().map(|call| call.tokens).sum()
    }

    /// Returns the tokens that were not usable up to `now`.
    pub fn deferred(&self, now: ClockTime) -> u64 {
        let mut escrow = self.escrow.clone();
        escrow.try_reserve(now, &acme(), 0);
        escrow.held_tokens() - escrow.free_tokens()
    }
}

/// The unused tokens of a process that ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedProcess {
    pub deferred: u64,
    pub pending: Option<LedgerChange>,
}

impl EndedProcess {
    /// Returns the tokens that the process had not used and that its entry in the ledger may name.
    pub fn unused(&self, number: u64) -> u64 {
        let pending = self
            .pending
            .map(|change| (change.number == number, change.transfer));
        let moved = match pending {
            Some((true, TokenTransfer::Take(tokens))) => tokens,
            Some((false, TokenTransfer::GiveBack(tokens))) => tokens,
            Some(_) | None => 0,
        };
        self.deferred + moved
    }
}

/// A write that reaches the store after its process died.
pub struct LateWrite {
    pub router: String,
    pub revision: u64,
    pub change: LedgerChange,
}

/// A ledger, its allocators, and callers with a steady rate.
pub struct SpanFleet {
    pub now: ClockTime,
    pub setup: LossSetup,
    pub ledger: WorkspaceLedger,
    pub revision: u64,
    pub is_store_away: bool,
    /// A time at which allocators write; the others are multiples of the write span away.
    pub write_at: ClockTime,
    pub allocators: Vec<DomainAllocator>,
    pub ended: BTreeMap<String, EndedProcess>,
    pub late: Vec<LateWrite>,
    pub incarnations: u64,
    pub used: u64,
    pub recovered: u64,
}

impl SpanFleet {
    pub fn new(setup: LossSetup) -> Self {
        let mut fleet = SpanFleet {
            now: START,
            setup,
            ledger: WorkspaceLedger::default(),
            revision: 1,
            is_store_away: false,
            write_at: START,
            allocators: Vec::new(),
            ended: BTreeMap::new(),
            late: Vec::new(),
            incarnations: 0,
            used: 0,
            recovered: 0,
        };
        fleet.allocators = (0..ALLOCATORS).map(|index| fleet.start(index)).collect();
        fleet
    }

    pub fn start(&mut self, index: usize) -> DomainAllocator {
        self.incarnations += 1;
        let name = format!("host-{index}@{}", self.incarnations);
        let mut escrow = TokenEscrow::new(EscrowOptions::default(), name);
        escrow.set_config(self.now, &config());
        escrow.set_fleet(ALLOCATORS as u64, ALLOCATORS as u64);
        escrow.set_role(&acme(), EscrowRole::Allocator);
        escrow.take_ledger(self.now, &acme(), self.ledger.clone(), true);
        DomainAllocator {
            escrow,
            revision: self.revision,
            marked_at: self.now,
            started_at: self.now,
            open_calls: Vec::new(),
            pending: None,
            entry: None,
        }
    }

    /// Runs until power goes at `loss_ms`, with the last write as old as the setup says: the store is
    /// out of reach from that write on.
    pub fn run_to_loss(&mut self, loss_ms: u64) {
        let (loss_at, setup) = (START.plus_ms(loss_ms), self.setup);
        let cut_at = ClockTime::from_millis(loss_at.as_millis() - setup.outage_ms);
        self.write_at = ClockTime::from_millis(cut_at.as_millis() - setup.mark_age_ms);
        let last_at = match self.write_at > START {
            true => self.write_at,
            false => cut_at,
        };
        self.run_until(last_at);
        self.tick_all();
        self.is_store_away = true;
        self.run_until(loss_at);
    }

    /// Runs until power goes at `loss_ms`, with writes whenever one is due.
    pub fn run_to_free_loss(&mut self, loss_ms: u64) {
        self.write_at = START;
        self.run_until(START.plus_ms(loss_ms));
    }

    pub fn run_for(&mut self, span_ms: u64) {
        self.run_until(self.now.plus_ms(span_ms));
    }

    pub fn run_until(&mut self, end: ClockTime) {
        while self.now < end {
            self.call();
            self.tick_all();
            self.now = self.now.plus_ms(CALL_SPAN_MS);
        }
    }

    pub fn elapsed_ms(&self) -> u64 {
        self.now.since(START)
    }

    pub fn call(&mut self) {
        let call_index = (self.elapsed_ms() / CALL_SPAN_MS) as usize;
        let domain = call_index % ALLOCATORS;
        if !self.setup.has_large_calls {
            self.call_for(domain, CALL_TOKENS);
            return;
        }
        self.call_for(domain, SMALL_CALL_TOKENS);
        if self.elapsed_ms().is_multiple_of(LARGE_CALL_SPAN_MS) {
            let large_index = self.elapsed_ms() / LARGE_CALL_SPAN_MS;
            self.call_for(
                (large_index % ALLOCATORS as u64) as usize,
                LARGE_CALL_TOKENS,
            );
        }
    }

    pub fn call_for(&mut self, index: usize, tokens: u64) {
        let is_served = self.reserve(index, tokens) || self.reserve_by_ledger(index, tokens);
        if is_served {
            let ends_at = self.now.plus_ms(self.setup.call_ms);
            let open_call = OpenCall { ends_at, tokens };
            self.allocators[index].open_calls.push(open_call);
            self.settle(index);
        }
    }

    pub fn settle(&mut self, index: usize) {
        let now = self.now;
        let allocator = &mut self.allocators[index];
        let open_calls = std::mem::take(&mut allocator.open_calls);
        for call in open_calls {
            if call.ends_at > now {
                allocator.open_calls.push(call);
                continue;
            }
            let tokens = call.tokens;
            allocator.escrow.settle(now, &acme(), tokens, tokens);
            self.used += tokens;
        }
    }

    pub fn reserve(&mut self, index: usize, tokens: u64) -> bool {
        let escrow = &mut self.allocators[index].escrow;
        escrow.try_reserve(self.now, &acme(), tokens) == ReserveOutcome::Reserved
    }

    pub fn reserve_by_ledger(&mut self, index: usize, tokens: u64) -> bool {
        let now = self.now;
        let escrow = &mut self.allocators[index].escrow;
        escrow.begin_wait(now, &acme(), tokens);
        self.write(index, WriteFate::Answered);
        self.borrow_remainders(index);
        self.allocators[index].escrow.end_wait(&acme(), tokens);
        self.reserve(index, tokens)
    }

    /// Borrows from the other allocators what they have left if the ledger has too little.
    pub fn borrow_remainders(&mut self, index: usize) {
        let now = self.now;
        for lender in (0..ALLOCATORS).filter(|lender| *lender != index) {
            let borrower = &self.allocators[index].escrow;
            let request = borrower.loan_wanted(now, &acme());
            let Some(request) = request.filter(|_| borrower.is_uncovered(&acme())) else {
                return;
            };
            let lender = &mut self.allocators[lender].escrow;
            lender.record_request(now, &acme(), request);
            if let LoanReply::Lent(tokens) = lender.lend(now, &acme(), request) {
                let borrower = &mut self.allocators[index].escrow;
                borrower.receive(&acme(), request, tokens);
            }
        }
    }

    pub fn tick_all(&mut self) {
        let from_write_ms = self.now.since(self.write_at) + self.write_at.since(self.now);
        let is_due = from_write_ms.is_multiple_of(WRITE_SPAN_MS);
        let is_last = self.now == self.write_at && self.now > START;
        let fate = match is_last {
            true => self.setup.fate,
            false => WriteFate::Answered,
        };
        for index in 0..ALLOCATORS {
            self.settle(index);
            let clock = self.clock_bounds(index);
            self.allocators[index].escrow.set_clock(clock);
            if is_due && !self.allocators[index].escrow.awaits_deferred(&acme()) {
                match is_last {
                    true => self.write_now(index, fate),
                    false => self.write(index, fate),
                }
            }
        }
    }

    pub fn clock_bounds(&self, index: usize) -> ClockBounds {
        let started_at = self.allocators[index].started_at;
        if self.setup.has_clocks || started_at == START {
            return ClockBounds {
                earliest: Some(self.now),
                started: StartBound::By(started_at),
            };
        }
        let is_late = self.now.since(started_at) >= START_WAIT_MS;
        ClockBounds {
            earliest: None,
            started: match is_late {
                true => StartBound::Unknown,
                false => StartBound::Awaited,
            },
        }
    }

    /// Writes at this moment. If no change is due, a call that needs more than is usable makes one
    /// due.
    fn write_now(&mut self, index: usize, fate: WriteFate) {
        if self.is_change_due(index) {
            return self.write(index, fate);
        }
        let now = self.now;
        let escrow = &mut self.allocators[index].escrow;
        escrow.try_reserve(now, &acme(), 0);
        let tokens = escrow.free_tokens() + 1;
        escrow.begin_wait(now, &acme(), tokens);
        self.write(index, fate);
        self.allocators[index].escrow.end_wait(&acme(), tokens);
        if fate == WriteFate::Answered {
            self.call_for(index, tokens);
        }
    }

    fn is_change_due(&self, index: usize) -> bool {
        let allocator = &self.allocators[index];
        let mut escrow = allocator.escrow.clone();
        let is_newer = allocator.revision != self.revision;
        escrow.take_ledger(self.now, &acme(), self.ledger.clone(), is_newer);
        escrow.plan(self.now, &acme()).is_some()
    }

    pub fn write(&mut self, index: usize, fate: WriteFate) {
        let clock = self.clock_bounds(index);
        self.allocators[index].escrow.set_clock(clock);
        if self.is_store_away {
            return;
        }
        let (now, ledger, revision) = (self.now, self.ledger.clone(), self.revision);
        let entry = self.entry(index);
        let allocator = &mut self.allocators[index];
        let is_newer = allocator.revision != revision;
        allocator.escrow.take_ledger(now, &acme(), ledger, is_newer);
        allocator.revision = revision;
        let router = allocator.escrow.router().to_owned();
        if allocator.escrow.pending_number(&acme()).is_none() {
            allocator.entry = entry;
            allocator.pending = None;
        }
        let Some(change) = allocator.escrow.plan(now, &acme()) else {
            return;
        };
        allocator.pending = Some(change);
        match fate {
            WriteFate::Answered => self.write_answered(index, &router, change),
            WriteFate::Lost => {}
            WriteFate::Unanswered => self.put(&router, change),
            WriteFate::LateBeforeRestart | WriteFate::LateAfterRestart => {
                let late = LateWrite {
                    router,
                    revision,
                    change,
                };
                self.late.push(late);
            }
        }
    }

    pub fn write_answered(&mut self, index: usize, router: &str, change: LedgerChange) {
        self.put(router, change);
        let allocator = &mut self.allocators[index];
        allocator
            .escrow
            .commit(self.now, &acme(), self.ledger.clone());
        allocator.revision = self.revision;
        allocator.marked_at = self.now;
        allocator.pending = None;
    }

    /// Applies a change in the store.
    pub fn put(&mut self, router: &str, change: LedgerChange) {
        let next = self.ledger.with_change(router, change);
        let is_present = |name: &str| next.writers.iter().any(|mark| mark.router == name);
        let mut proven = 0;
        for mark in &self.ledger.writers {
            if is_present(&mark.router) {
                continue;
            }
            let unused = proven_unused(mark.deferred, change.started);
            let left = self.ended[&mark.router].unused(mark.number);
            assert!(unused <= left, "{unused} of {left} returned: {mark:?}");
            proven += unused;
        }
        let recovered = self.ledger.recovered_in(&next, change);
        assert_eq!(recovered, proven, "{:?}", self.ledger);
        self.recovered += recovered;
        self.ledger = next;
        self.revision += 1;
    }

    /// Returns the entry of a running process in the ledger.
    pub fn entry(&self, index: usize) -> Option<DeferredReserve> {
        let router = self.allocators[index].escrow.router();
        let mut marks = self.ledger.writers.iter();
        marks.find(|mark| mark.router == router)?.deferred
    }

    /// Returns how many tokens the entries that may be in the ledger require to be deferred.
    pub fn required(&self, index: usize) -> u64 {
        let (now, allocator) = (self.now, &self.allocators[index]);
        let Some(change) = allocator.pending else {
            return deferred_at(self.entry(index), now);
        };
        let current = deferred_at(allocator.entry, now);
        let next = deferred_at(change.deferred, now);
        match change.transfer {
            TokenTransfer::Take(tokens) => current.max(next.saturating_sub(tokens)),
            TokenTransfer::GiveBack(tokens) => next.max(current.saturating_sub(tokens)),
        }
    }

    /// All routers lose power, and restart after the span of the setup.
    pub fn lose_all(&mut self) -> LossCount {
        let mut count = LossCount::default();
        (0..ALLOCATORS).for_each(|index| self.end(index, &mut count));
        if self.setup.fate == WriteFate::LateBeforeRestart {
            self.do_late();
        }
        self.now = self.now.plus_ms(self.setup.span_ms);
        self.is_store_away = false;
        (0..ALLOCATORS).for_each(|index| self.restart(index));
        count
    }

    /// Ends the process of an allocator, and counts what it had.
    pub fn end(&mut self, index: usize, count: &mut LossCount) {
        let allocator = &self.allocators[index];
        let mark_age_ms = self.now.since(allocator.marked_at);
        count.held += allocator.escrow.held_tokens();
        count.reserved += allocator.reserved();
        count.mark_age_ms = count.mark_age_ms.max(mark_age_ms);
        let ended = EndedProcess {
            deferred: allocator.deferred(self.now),
            pending: allocator.pending,
        };
        let router = allocator.escrow.router().to_owned();
        self.ended.insert(router, ended);
    }

    pub fn restart(&mut self, index: usize) {
        self.allocators[index] = self.start(index);
    }

    /// Writes that are under way reach the store, which rejects those made from an old ledger.
    pub fn do_late(&mut self) {
        for late in std::mem::take(&mut self.late) {
            if late.revision == self.revision {
                self.put(&late.router, late.change);
            }
        }
    }

    /// Tokens taken that were neither used nor are held by anyone.
    pub fn missing(&self) -> u64 {
        let running = self.allocators.iter();
        let present: u64 = running
            .map(|allocator| allocator.escrow.held_tokens() + allocator.reserved())
            .sum();
        let taken = self.ledger.taken;
        taken
            .checked_sub(self.used + present)
            .expect("no more used and held than taken")
    }
}
