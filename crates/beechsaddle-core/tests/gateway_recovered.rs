//! Tests of what the next process on a host returns of its predecessor's deferred tokens.

use beechsaddle_core::gateway::{
    CallerLimits, ClockBounds, EscrowOptions, EscrowRole, GatewayConfig, LedgerChange, StartBound,
    TokenEscrow, TokenTransfer, WorkspaceLedger, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use serde_json::{Value, json};

const NOW: ClockTime = ClockTime::from_millis(1_000_000);
const PREPAID: u64 = 1_000_000;
/// Most of the total is used, so that an allocator without callers takes nothing.
const TAKEN: u64 = 600_000;
const IDLE: u64 = 50_000;
const DEFERRED: u64 = 40_000;
/// When the first deferred tokens become usable.
const UNTIL: ClockTime = ClockTime::from_millis(1_010_000);
/// The largest difference between correct clocks, in milliseconds.
const CLOCK_SKEW_MS: u64 = 500;

const SUCCESSOR: &str = "host-0@2";

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

/// Returns a ledger with the predecessor's entry, as stored.
fn ledger(deferred: Value) -> WorkspaceLedger {
    let writer = json!({
        "router": "host-0@1",
        "number": 3,
        "idle": IDLE,
        "deferred": deferred,
    });
    let stored = json!({ "taken": TAKEN, "lost": 0, "writers": [writer] });
    serde_json::from_value(stored).expect("a stored ledger is valid")
}

/// Returns a ledger whose entry was written by a version that makes all tokens usable at once.
fn ledger_without_rate() -> WorkspaceLedger {
    ledger(json!({ "tokens": DEFERRED, "until": UNTIL }))
}

/// Returns the successor's escrow, which has read the ledger.
fn successor(started: StartBound) -> TokenEscrow {
    let mut escrow = TokenEscrow::new(EscrowOptions::default(), SUCCESSOR);
    escrow.set_config(NOW, &config());
    escrow.set_fleet(3, 3);
    escrow.set_role(&acme(), EscrowRole::Allocator);
    escrow.set_clock(ClockBounds {
        earliest: Some(NOW),
        started,
    });
    escrow.take_ledger(NOW, &acme(), ledger_without_rate(), true);
    escrow
}

/// Returns the ledger after the successor's change, which must be due.
fn write(escrow: &mut TokenEscrow) -> WorkspaceLedger {
    assert_eq!(escrow.due(NOW), [acme()]);
    let change = escrow.plan(NOW, &acme()).expect("a change is due");
    assert_eq!(change.transfer, TokenTransfer::Take(0));
    let next = ledger_without_rate().with_change(SUCCESSOR, change);
    escrow.commit(NOW, &acme(), next.clone());
    next
}

/// Returns the tokens that a change returns by a successor that started at `started_at`.
fn returned(ledger: &WorkspaceLedger, started_at: ClockTime) -> u64 {
    let change = LedgerChange {
        number: 1,
        transfer: TokenTransfer::Take(0),
        idle: 0,
        deferred: None,
        started: StartBound::By(started_at),
    };
    let next = ledger.with_change(SUCCESSOR, change);
    assert_eq!(next.lost + (TAKEN - next.taken), IDLE);
    TAKEN - next.taken
}

/// Without callers, a successor takes and gives back nothing: its predecessor's deferred tokens
/// must not wait for a change that never comes.
#[test]
fn successor_without_callers_returns_deferred_tokens() {
    let mut escrow = successor(StartBound::By(NOW));
    let next = write(&mut escrow);
    assert_eq!(next.taken, TAKEN - DEFERRED);
    assert_eq!(next.lost, IDLE - DEFERRED);
    assert_eq!(escrow.due(NOW), []);
}

/// A change without enough clocks would count deferred tokens as lost, although more clocks may
/// answer later.
#[test]
fn successor_without_clocks_writes_nothing() {
    let mut escrow = successor(StartBound::Unknown);
    assert_eq!(escrow.due(NOW), []);
    assert_eq!(escrow.plan(NOW, &acme()), None);
}

/// A change before the clocks answered would settle nothing, and be followed by one after another.
#[test]
fn successor_awaiting_clocks_writes_nothing() {
    let escrow = successor(StartBound::Awaited);
    assert!(escrow.awaits_deferred(&acme()));
    assert_eq!(escrow.due(NOW), []);
}

/// An older version uses all its deferred tokens from one moment on: an entry of it proves nothing
/// for a successor that may have started later.
#[test]
fn entry_without_rate_returns_all_or_nothing() {
    let ledger = ledger_without_rate();
    let last_ms = UNTIL.as_millis() - CLOCK_SKEW_MS;
    assert_eq!(returned(&ledger, NOW), DEFERRED);
    assert_eq!(
        returned(&ledger, ClockTime::from_millis(last_ms - 1)),
        DEFERRED
    );
    assert_eq!(returned(&ledger, ClockTime::from_millis(last_ms)), 0);
    assert_eq!(returned(&ledger, UNTIL), 0);
}

/// An entry of an older version is stored again as it was: other versions read the same.
#[test]
fn entry_without_rate_is_stored_unchanged() {
    let stored = serde_json::to_value(ledger_without_rate()).expect("a ledger can be stored");
    let deferred = &stored["writers"][0]["deferred"];
    assert_eq!(*deferred, json!({ "tokens": DEFERRED, "until": UNTIL }));
}

/// An older version ignores the rate, and reads an entry that has one as proof for all tokens until
/// the first become usable.
#[test]
fn entry_with_rate_returns_all_before_first_use() {
    let ledger = ledger(json!({ "tokens": DEFERRED, "until": UNTIL, "per_s": 10_000 }));
    let last_ms = UNTIL.as_millis() - CLOCK_SKEW_MS;
    let started_at = ClockTime::from_millis(last_ms - 1);
    assert_eq!(returned(&ledger, started_at), DEFERRED);
}
