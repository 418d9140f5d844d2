//! The `host_session` module provides sessions in which one host is disturbed.

use std::collections::BTreeSet;

use beechsaddle_core::gateway::{DeferredReserve, LoanReturn, ReserveOutcome, TokenTransfer};

use super::span_fleet::{
    CALL_SPAN_MS, CALL_TOKENS, CLOCK_SKEW_MS, LossCount, LossSetup, PREPAID, START, SpanFleet,
    WriteFate, acme, deferred_at,
};

/// When all allocators write their marks, and when the first one plans a change that moves tokens.
pub const MARK_MS: u64 = 20_000;
pub const PENDING_MS: u64 = 23_500;
/// How long the first host's process is away after its death.
pub const RESTART_MS: u64 = 200;

/// What a pending change moves.
#[derive(Clone, Copy, Debug)]
pub enum PendingMove {
    Take,
    GiveBack,
    /// Gives back tokens that are still deferred, as a large call needs the usable ones.
    GiveBackDeferred,
    Nothing,
}

impl PendingMove {
    fn is_of(self, transfer: Option<TokenTransfer>) -> bool {
        match self {
            PendingMove::Take => matches!(transfer, Some(TokenTransfer::Take(1..))),
            PendingMove::GiveBack | PendingMove::GiveBackDeferred => {
                matches!(transfer, Some(TokenTransfer::GiveBack(1..)))
            }
            PendingMove::Nothing => transfer == Some(TokenTransfer::Take(0)),
        }
    }
}

pub const MOVES: [PendingMove; 4] = [
    PendingMove::Take,
    PendingMove::GiveBack,
    PendingMove::GiveBackDeferred,
    PendingMove::Nothing,
];

/// A fleet of which the first host is disturbed, while its calls use all that they may.
pub struct HostSession {
    pub fleet: SpanFleet,
}

impl HostSession {
    /// Starts with marks that were written at this moment, and no store from then on.
    pub fn new() -> Self {
        let mut fleet = SpanFleet::new(LossSetup::new(RESTART_MS, 0));
        fleet.run_to_loss(MARK_MS);
        assert_eq!(fleet.allocators[0].marked_at, fleet.now);
        fleet.is_store_away = true;
        HostSession { fleet }
    }

    /// Starts with a change of the given fate that is pending at the first host.
    pub fn with_pending(fate: WriteFate, pending_move: PendingMove) -> Self {
        let mut session = HostSession::new();
        match pending_move {
            PendingMove::Take => session.run_to(PENDING_MS),
            PendingMove::GiveBack => session.freeze_to(PENDING_MS),
            PendingMove::GiveBackDeferred => {
                session.use_all();
                session.freeze_to(PENDING_MS);
                session.wait_in_vain();
            }
            PendingMove::Nothing => {}
        }
        session.return_until(pending_move);
        session.fleet.is_store_away = false;
        session.fleet.write(0, fate);
        session.fleet.is_store_away = true;
        let pending = session.fleet.allocators[0].pending;
        let transfer = pending.map(|change| change.transfer);
        assert!(
            pending_move.is_of(transfer),
            "{pending_move:?}: {transfer:?}"
        );
        session
    }

    /// A borrower returns tokens to the first host.
    pub fn return_loan(&mut self, tokens: u64) {
        let loan_return = LoanReturn { tokens, used: 0 };
        let escrow = &mut self.fleet.allocators[0].escrow;
        assert!(escrow.take_back(self.fleet.now, &acme(), loan_return));
    }

    /// A large call waits, and ends before it gets any tokens.
    fn wait_in_vain(&mut self) {
        let now = self.fleet.now;
        let escrow = &mut self.fleet.allocators[0].escrow;
        let tokens = escrow.held_tokens() / 2;
        escrow.begin_wait(now, &acme(), tokens);
        escrow.end_wait(&acme(), tokens);
    }

    /// Borrowers return tokens until a change of the given kind is due.
    fn return_until(&mut self, pending_move: PendingMove) {
        while !pending_move.is_of(self.due_transfer()) {
            self.return_loan(CALL_TOKENS);
            let held = self.fleet.allocators[0].escrow.held_tokens();
            assert!(held < PREPAID, "{pending_move:?} is never due");
        }
    }

    fn due_transfer(&self) -> Option<TokenTransfer> {
        let mut escrow = self.fleet.allocators[0].escrow.clone();
        let change = escrow.plan(self.fleet.now, &acme());
        change.map(|change| change.transfer)
    }

    /// Runs while calls use all that they may, which must be exactly what no entry defers.
    pub fn run_to(&mut self, elapsed_ms: u64) {
        let end = START.plus_ms(elapsed_ms);
        while self.fleet.now < end {
            self.use_all();
            self.fleet.now = self.fleet.now.plus_ms(CALL_SPAN_MS);
        }
        self.use_all();
    }

    pub fn use_all(&mut self) {
        let (now, required) = (self.fleet.now, self.fleet.required(0));
        let escrow = &mut self.fleet.allocators[0].escrow;
        let held = escrow.held_tokens();
        escrow.try_reserve(now, &acme(), 0);
        let usable = escrow.free_tokens();
        let outcome = escrow.try_reserve(now, &acme(), usable);
        assert_eq!(outcome, ReserveOutcome::Reserved);
        escrow.settle(now, &acme(), usable, usable);
        assert_eq!(escrow.held_tokens(), required.min(held), "at {now:?}");
        self.fleet.used += usable;
    }

    /// No process runs until then.
    pub fn freeze_to(&mut self, elapsed_ms: u64) {
        self.fleet.now = START.plus_ms(elapsed_ms);
    }

    /// The answer to the pending change arrives.
    pub fn answer(&mut self) {
        let (now, ledger) = (self.fleet.now, self.fleet.ledger.clone());
        let allocator = &mut self.fleet.allocators[0];
        allocator.escrow.commit(now, &acme(), ledger);
        allocator.pending = None;
    }

    /// Returns the entries of the first host that may be in the ledger.
    pub fn entries(&self) -> Vec<DeferredReserve> {
        let pending = self.fleet.allocators[0].pending;
        let current = match pending {
            Some(_) => self.fleet.allocators[0].entry,
            None => self.fleet.entry(0),
        };
        let next = pending.and_then(|change| change.deferred);
        current.into_iter().chain(next).collect()
    }

    /// Returns times around those at which tokens of its entries become usable, in order.
    pub fn deaths_ms(&self) -> BTreeSet<u64> {
        let mut deaths: BTreeSet<u64> = BTreeSet::new();
        for reserve in self.entries() {
            let opens_ms = reserve.until.since(START);
            let per_s = reserve.per_s.expect("new entries have a rate");
            let open_ms = reserve.tokens * 1_000 / per_s;
            let lead_ms = RESTART_MS + CLOCK_SKEW_MS;
            deaths.extend([opens_ms - lead_ms - CALL_SPAN_MS, opens_ms - lead_ms]);
            deaths.extend([opens_ms - CALL_SPAN_MS, opens_ms, opens_ms + CALL_SPAN_MS]);
            let half_ms = open_ms / 2 / CALL_SPAN_MS * CALL_SPAN_MS;
            let end_ms = open_ms / CALL_SPAN_MS * CALL_SPAN_MS;
            deaths.extend([opens_ms + half_ms, opens_ms + end_ms + CALL_SPAN_MS]);
        }
        deaths.retain(|death_ms| *death_ms >= self.fleet.elapsed_ms());
        deaths
    }

    pub fn end(&mut self) {
        self.fleet.end(0, &mut LossCount::default());
    }

    /// Restarts the first host, without a write.
    pub fn restart(&mut self) {
        self.fleet.now = self.fleet.now.plus_ms(RESTART_MS);
        self.fleet.restart(0);
    }

    /// Writes the ledger for a call; returns the tokens recovered by that.
    pub fn write(&mut self) -> u64 {
        let before = self.fleet.recovered;
        self.fleet.is_store_away = false;
        self.fleet.call_for(0, CALL_TOKENS);
        self.fleet.is_store_away = true;
        assert_eq!(self.fleet.allocators[0].marked_at, self.fleet.now);
        self.fleet.recovered - before
    }

    /// Calls arrive for a time, and the first host writes a mark at its end.
    pub fn call_for(&mut self, span_ms: u64) {
        self.fleet.is_store_away = false;
        self.fleet.run_for(span_ms);
        self.fleet.write(0, WriteFate::Answered);
        self.fleet.is_store_away = true;
    }

    /// Ends the process and writes the ledger by its successor, which must recover exactly the
    /// tokens that were certainly unused.
    pub fn assert_lost(&mut self, is_late: bool) -> u64 {
        self.end();
        if is_late {
            self.fleet.do_late();
        }
        let known_by = self.fleet.now.plus_ms(RESTART_MS + CLOCK_SKEW_MS);
        let expected = deferred_at(self.fleet.entry(0), known_by);
        self.restart();
        let recovered = self.write();
        assert_eq!(recovered, expected);
        recovered
    }

    /// Ends the second process; the third recovers what is left of the first one's `reserve`.
    pub fn assert_second_death(&mut self, reserve: Option<DeferredReserve>) {
        self.end();
        self.restart();
        let known_by = self.fleet.now.plus_ms(CLOCK_SKEW_MS);
        let expected = deferred_at(reserve, known_by);
        assert!(expected > 0);
        assert_eq!(self.write(), expected);
        self.assert_settled(expected);
    }

    /// Nothing more comes back in the seconds after.
    pub fn assert_settled(&mut self, recovered: u64) {
        self.fleet.is_store_away = false;
        self.fleet.run_for(5_000);
        assert_eq!(self.fleet.recovered, recovered);
    }
}
