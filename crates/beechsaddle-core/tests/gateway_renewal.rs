//! Tests of when an allocator defers tokens again that have become usable.

use beechsaddle_core::gateway::{
    CallerLimits, ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange,
    ReserveOutcome, StartBound, TokenEscrow, TokenTransfer, WorkspaceLedger, WorkspaceRule,
};
use beechsaddle_core::prelude::*;

const START: ClockTime = ClockTime::from_millis(1_000_000);
/// The time between two calls, in milliseconds.
const CALL_SPAN_MS: u64 = 10;
/// The time between two calls once there are fewer, in milliseconds.
const FEWER_CALLS_SPAN_MS: u64 = 10 * CALL_SPAN_MS;
/// How long power is away in the losses that come several times in a day.
const SHORT_LOSS_MS: u64 = 1_500;
const CALL_TOKENS: u64 = 1_000;
/// The demand of callers, in tokens per second.
const DEMAND: u64 = CALL_TOKENS * 1_000 / CALL_SPAN_MS;
/// The shortest time between two writes while no call waits for a write, in milliseconds.
const WRITE_SPAN_MS: u64 = 2_500;
/// Large enough that no surplus of a few seconds of demand is given back.
const PREPAID: u64 = DEMAND * 400;

fn acme() -> WorkspaceName {
    WorkspaceName::new("acme")
}

fn config() -> GatewayConfig {
    let mut config = GatewayConfig::new(1, CallerLimits::default());
    let rule = WorkspaceRule {
        name: acme(),
        priority: None,
        prepaid: Some(PREPAID),
    };
    config.add_workspace(rule, ["key".to_owned()]);
    config
}

/// An allocator that writes the ledger as often as it may.
struct SteadyAllocator {
    now: ClockTime,
    escrow: TokenEscrow,
    ledger: WorkspaceLedger,
    written_at: ClockTime,
}

impl SteadyAllocator {
    fn new() -> Self {
        let mut escrow = TokenEscrow::new(EscrowOptions::default(), "host-0@1");
        escrow.set_config(START, &config());
        escrow.set_fleet(3, 1);
        escrow.set_role(&acme(), EscrowRole::Allocator);
        escrow.take_ledger(START, &acme(), WorkspaceLedger::default(), true);
        SteadyAllocator {
            now: START,
            escrow,
            ledger: WorkspaceLedger::default(),
            written_at: ClockTime::ZERO,
        }
    }

    /// Runs for `span_ms` with a part of the calls, and returns the most tokens that a loss of power
    /// would have taken while the allocator might write and did not.
    fn run_with_fewer_calls(&mut self, span_ms: u64) -> u64 {
        let end = self.now.plus_ms(span_ms);
        let mut most = 0;
        while self.now < end {
            self.run(FEWER_CALLS_SPAN_MS - CALL_SPAN_MS, false);
            if self.now.since(self.written_at) > WRITE_SPAN_MS {
                most = most.max(self.lost_after(SHORT_LOSS_MS));
            }
            self.run(CALL_SPAN_MS, true);
        }
        most
    }

    /// Runs for `span_ms`, with calls or without.
    fn run(&mut self, span_ms: u64, has_calls: bool) {
        let end = self.now.plus_ms(span_ms);
        while self.now < end {
            if has_calls {
                self.call();
            }
            if self.now.since(self.written_at) >= WRITE_SPAN_MS {
                self.write();
            }
            self.now = self.now.plus_ms(CALL_SPAN_MS);
        }
    }

    fn call(&mut self) {
        let outcome = self.escrow.try_reserve(self.now, &acme(), CALL_TOKENS);
        if outcome == ReserveOutcome::Reserved {
            self.escrow
                .settle(self.now, &acme(), CALL_TOKENS, CALL_TOKENS);
            return;
        }
        self.escrow.begin_wait(self.now, &acme(), CALL_TOKENS);
        self.write();
        self.escrow.end_wait(&acme(), CALL_TOKENS);
    }

    /// Runs with calls until the next write.
    fn call_until_written(&mut self) {
        let written_at = self.written_at;
        while self.written_at == written_at {
            self.run(CALL_SPAN_MS, true);
        }
    }

    fn write(&mut self) {
        self.escrow.set_clock(ClockBounds {
            earliest: Some(self.now),
            started: StartBound::By(START),
        });
        let Some(change) = self.escrow.plan(self.now, &acme()) else {
            return;
        };
        self.ledger = self.ledger.with_change(self.escrow.router(), change);
        self.escrow.commit(self.now, &acme(), self.ledger.clone());
        self.written_at = self.now;
    }

    /// Returns the tokens that are lost if the process ends now and its successor starts at once.
    fn lost(&self) -> u64 {
        self.lost_after(0)
    }

    /// Returns the tokens that are lost if the process ends now and its successor starts `span_ms`
    /// later.
    fn lost_after(&self, span_ms: u64) -> u64 {
        let change = LedgerChange {
            number: 1,
            transfer: TokenTransfer::Take(0),
            idle: 0,
            deferred: None,
            started: StartBound::By(self.now.plus_ms(span_ms)),
        };
        let next = self.ledger.with_change("host-0@2", change);
        let returned = self.ledger.taken - next.taken;
        self.escrow.held_tokens() - returned
    }
}

/// An allocator whose callers pause holds what it deferred until they return. If it became usable
/// for good meanwhile, all of it would be lost with the process.
#[test]
fn allocator_without_calls_defers_tokens_again() {
    let mut allocator = SteadyAllocator::new();
    allocator.run(10_000, true);
    let before = allocator.escrow.held_tokens();
    allocator.run(12_000, false);
    let (held, lost) = (allocator.escrow.held_tokens(), allocator.lost());
    assert!(
        held >= before,
        "{held} held, {before} before the calls ended"
    );
    assert!(lost < DEMAND * 4, "{lost} of {held} lost");
}

/// A workspace that nobody calls costs no writes, however many there are: its first part would be
/// deferred again every few seconds for ever.
#[test]
fn allocator_of_unused_workspace_writes_once() {
    let mut allocator = SteadyAllocator::new();
    allocator.run(100, false);
    let ledger = allocator.ledger.clone();
    assert!(ledger.taken > 0);
    allocator.run(60_000, false);
    assert_eq!(allocator.ledger, ledger);
}

/// Callers become fewer after a write: deferred tokens that become usable on time and are not used
/// are lost with the process. A loss may then take what is usable at any time and a part of the total
/// that is not worth a write.
#[test]
fn allocator_with_fewer_calls_defers_tokens_again() {
    let options = EscrowOptions::default();
    let mut allocator = SteadyAllocator::new();
    allocator.run(10_000, true);
    let most = allocator.run_with_fewer_calls(10_000);
    let usable = DEMAND as f64 * options.open_s;
    let small = PREPAID as f64 * options.renew_part;
    let bound = usable + small;
    assert!((most as f64) < bound, "{most} of {bound} lost");
}

/// A large call has ended. Where three allocators of a workspace with few callers each keep as much
/// usable at any time, one loss of power takes several such calls; half of it serves most calls.
#[test]
fn allocator_after_a_large_call_defers_half_of_it() {
    let mut allocator = SteadyAllocator::new();
    allocator.run(10_000, true);
    let large = DEMAND * 4;
    let now = allocator.now;
    allocator.escrow.begin_wait(now, &acme(), large);
    allocator.write();
    allocator.escrow.end_wait(&acme(), large);
    let outcome = allocator.escrow.try_reserve(now, &acme(), large);
    assert_eq!(outcome, ReserveOutcome::Reserved);
    allocator.escrow.settle(now, &acme(), large, 0);
    allocator.run(WRITE_SPAN_MS, true);
    allocator.call_until_written();
    let lost = allocator.lost();
    assert!(lost <= large / 2, "{lost} of {large} lost");
}
