//! Tests of when deferred tokens become usable for waiting calls.

use beechsaddle_core::gateway::{
    CallerLimits, ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, ReserveOutcome,
    StartBound, TokenEscrow, WorkspaceLedger, WorkspaceRule,
};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);
const CALL_SPAN_MS: u64 = 10;
const CALL_TOKENS: u64 = 1_000;
/// The demand of callers, in tokens per second.
const DEMAND: u64 = CALL_TOKENS * 1_000 / CALL_SPAN_MS;
/// How long callers call before the store becomes unreachable, in milliseconds.
const WARM_UP_MS: u64 = 10_000;

fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

fn config() -> GatewayConfig {
    let mut config = GatewayConfig::new(1, CallerLimits::default());
    let rule = WorkspaceRule {
        name: acme(),
        priority: None,
        prepaid: Some(DEMAND * 400),
    };
    config.add_workspace(rule, ["key".to_owned()]);
    config
}

/// An allocator that wrote the ledger at `now`, and cannot reach it from then on.
struct CutAllocator {
    now: ClockTime,
    escrow: TokenEscrow,
    ledger: WorkspaceLedger,
}

impl CutAllocator {
    fn new() -> Self {
        let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host-0@1");
        escrow.set_config(START, &config());
        escrow.set_fleet(1, 1);
        escrow.set_role(&acme(), EscrowRole::Allocator);
        escrow.take_ledger(START, &acme(), WorkspaceLedger::default(), true);
        let mut allocator = CutAllocator {
            now: START,
            escrow,
            ledger: WorkspaceLedger::default(),
        };
        while allocator.now < START.plus_ms(WARM_UP_MS) {
            allocator.call();
            allocator.now = allocator.now.plus_ms(CALL_SPAN_MS);
        }
        allocator.write();
        allocator
    }

    fn call(&mut self) {
        self.escrow.begin_wait(self.now, &acme(), CALL_TOKENS);
        self.write();
        self.escrow.end_wait(&acme(), CALL_TOKENS);
        assert!(self.reserve(CALL_TOKENS));
        self.escrow
            .settle(self.now, &acme(), CALL_TOKENS, CALL_TOKENS);
    }

    fn reserve(&mut self, tokens: u64) -> bool {
        let outcome = self.escrow.try_reserve(self.now, &acme(), tokens);
        outcome == ReserveOutcome::Reserved
    }

    fn write(&mut self) {
        self.begin_write();
        self.escrow.commit(self.now, &acme(), self.ledger.clone());
    }

    fn begin_write(&mut self) {
        self.escrow.set_clock(ClockBounds {
            earliest: Some(self.now),
            started: StartBound::By(START),
        });
        if let Some(change) = self.escrow.plan(self.now, &acme()) {
            self.ledger = self.ledger.with_change(self.escrow.router(), change);
        }
    }

    /// Uses all tokens that are usable.
    fn use_all(&mut self) {
        assert!(self.reserve(0));
        let usable = self.escrow.free_tokens();
        assert!(self.reserve(usable));
        self.escrow.settle(self.now, &acme(), usable, usable);
    }

    /// Returns how long a call that waits for `tokens` has to wait.
    fn opens_in_ms(&mut self, tokens: u64) -> Option<u64> {
        self.escrow.begin_wait(self.now, &acme(), tokens);
        let opens_in_ms = self.escrow.opens_in_ms(self.now, &acme());
        self.escrow.end_wait(&acme(), tokens);
        opens_in_ms
    }

    /// Checks that the tokens are usable at the time given for them, and not before.
    fn assert_opens(&self, tokens: u64, opens_in_ms: u64) {
        let mut late = self.escrow.clone();
        let opens_at = self.now.plus_ms(opens_in_ms);
        let outcome = late.try_reserve(opens_at, &acme(), tokens);
        assert_eq!(outcome, ReserveOutcome::Reserved, "after {opens_in_ms} ms");
        if opens_in_ms > 0 {
            let mut early = self.escrow.clone();
            let before = self.now.plus_ms(opens_in_ms - 1);
            let outcome = early.try_reserve(before, &acme(), tokens);
            assert_ne!(outcome, ReserveOutcome::Reserved, "before {opens_in_ms} ms");
        }
    }
}

/// A call in an outage is told when deferred tokens cover it: told too early, it would be refused
/// after a wait; too late, it would be refused although it could be served.
#[test]
fn opens_in_ms_names_the_first_usable_moment() {
    let mut allocator = CutAllocator::new();
    for step_ms in [0, 700, 1_500, 2_500] {
        allocator.now = allocator.now.plus_ms(step_ms);
        allocator.use_all();
        for tokens in [1, CALL_TOKENS, DEMAND / 2, DEMAND * 2] {
            let opens_in_ms = allocator.opens_in_ms(tokens);
            allocator.assert_opens(tokens, opens_in_ms.expect("enough is held"));
        }
    }
}

/// A write without an answer keeps tokens deferred by either entry: a call that waited for the
/// earlier entry alone would be refused after its wait.
#[test]
fn opens_in_ms_follows_a_pending_change() {
    let mut allocator = CutAllocator::new();
    allocator.now = allocator.now.plus_ms(2_600);
    allocator.use_all();
    allocator.begin_write();
    for tokens in [1, CALL_TOKENS, DEMAND] {
        let opens_in_ms = allocator.opens_in_ms(tokens);
        allocator.assert_opens(tokens, opens_in_ms.expect("enough is held"));
    }
}

/// A call that the held tokens never cover must be refused at once and not after a wait.
#[test]
fn opens_in_ms_is_none_beyond_the_held_tokens() {
    let mut allocator = CutAllocator::new();
    let held = allocator.escrow.held_tokens();
    assert_eq!(allocator.opens_in_ms(held + 1), None);
    assert!(allocator.opens_in_ms(held).is_some());
}

/// Calls that wait already are counted: a call behind more of them than open in time would wait in
/// vain.
#[test]
fn opens_in_ms_counts_all_waiting_calls() {
    let mut allocator = CutAllocator::new();
    allocator.use_all();
    let alone_ms = allocator.opens_in_ms(CALL_TOKENS).expect("enough is held");
    for _ in 0..100 {
        let now = allocator.now;
        allocator.escrow.begin_wait(now, &acme(), CALL_TOKENS);
    }
    let behind_ms = allocator.opens_in_ms(CALL_TOKENS).expect("enough is held");
    assert!(behind_ms >= alone_ms + 500, "{alone_ms} and {behind_ms}");
}
