//! The `escrow_keeper` module provides the writes that move tokens between the ledger and the
//! router.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::backoff::RetryBackoff;
use beechsaddle_core::gateway::{BudgetLedger, EscrowPlan, LedgerChange};
use beechsaddle_core::hash::stable_hash;
use beechsaddle_core::prelude::*;
use beechsaddle_core::random::SeededRandom;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{ObjectKind, StoreFailure, StoreObject};
use serde_json::Value;
use tokio::time::{Instant, sleep, timeout};

use super::gateway_state::GatewayState;
use super::token_lending::update_roles;

/// The object with the ledger.
const LEDGER_NAME: &str = "ledger";

/// How often the ledger is brought up to date without a call that waits. Tokens that a scarce
/// workspace needs elsewhere are given back within this and one write.
const TICK: Duration = Duration::from_millis(800);

/// How long to wait at most after a write that met another router's, in milliseconds: two round trips
/// at first, doubled each time. With pauses of one length a few dozen routers that all come back at
/// once meet again and again, and hardly any write is done.
const CONFLICT_FIRST_MS: u64 = 8;
/// The longest such pause: some sixty routers write in turn in it.
const CONFLICT_LONGEST_MS: u64 = 512;

/// Failures in a row after which calls do not wait for the ledger any more.
const AWAY_FAILURES: u32 = 2;

/// The shortest time between two writes that no call waits for.
const CALM_SPAN_MS: u64 = 1_500;

/// How long to wait after a failure, at least, in milliseconds.
const LEAST_PAUSE_MS: u64 = 60;

/// The longest wait after a failure, in milliseconds: calls wait for the ledger that long.
const LONGEST_PAUSE_MS: u64 = 500;

/// The ledger as it lies in the store.
struct StoredLedger {
    revision: u64,
    ledger: BudgetLedger,
}

/// Moves tokens between the ledger and the router.
pub(super) struct EscrowKeeper {
    state: Rc<GatewayState>,
    stored: Option<StoredLedger>,
    backoff: RetryBackoff,
    random: SeededRandom,
    conflicts: u32,
    failures: u32,
    written_at: ClockTime,
    ticked_at: ClockTime,
}

impl EscrowKeeper {
    /// A keeper that has not read the ledger yet.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        EscrowKeeper {
            backoff: state.backoff("budgets"),
            random: SeededRandom::new(stable_hash(state.me.to_string())),
            state,
            stored: None,
            conflicts: 0,
            failures: 0,
            written_at: ClockTime::ZERO,
            ticked_at: ClockTime::ZERO,
        }
    }

    /// Keeps the escrow for ever.
    pub(super) async fn run(mut self) {
        loop {
            let waking = self.state.escrow_wake.notified();
            // A tick that comes without a wake is what the pause is for.
            let _ = timeout(TICK, waking).await;
            if self.has_ticked() {
                update_roles(&self.state);
            }
            self.bring_up_to_date().await;
        }
    }

    /// Whether it is time to set anew who keeps what.
    fn has_ticked(&mut self) -> bool {
        let now = self.state.now();
        let has_ticked = now.since(self.ticked_at) >= TICK.as_millis() as u64;
        if has_ticked {
            self.ticked_at = now;
        }
        has_ticked
    }

    /// Gives back everything that is not in use, for `span` at most.
    pub(super) async fn give_back(mut self, span: Duration) {
        self.state.escrow.borrow_mut().close();
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.bring_up_to_date().await;
            if self.state.escrow.borrow().free_tokens() == 0 {
                return;
            }
        }
    }

    /// Reads the ledger if it is not known, and writes what is due.
    async fn bring_up_to_date(&mut self) {
        if self.stored.is_none() && !self.try_read().await {
            return;
        }
        let mut is_written = false;
        while let Some(plan) = self.next_plan() {
            is_written = true;
            if !self.try_write(&plan.change).await {
                return;
            }
        }
        if !is_written {
            self.refresh().await;
        }
    }

    /// What to write now. What no call waits for is written together, now and then.
    fn next_plan(&self) -> Option<EscrowPlan> {
        let now = self.state.now();
        let mut escrow = self.state.escrow.borrow_mut();
        let is_calm = now.since(self.written_at) >= CALM_SPAN_MS;
        match is_calm || escrow.is_urgent() {
            true => escrow.plan(now),
            false => None,
        }
    }

    /// Reads the ledger, or makes an empty one where there is none.
    async fn try_read(&mut self) -> bool {
        let started = self.state.now();
        let read = self
            .state
            .store
            .read(ObjectKind::Budgets, LEDGER_NAME)
            .await;
        self.state.note_store_call(started, &read);
        match read {
            Ok(object) => self.take_object(&object),
            Err(StoreFailure::Missing) => self.create().await,
            Err(failure) => self.note_failure(&failure).await,
        }
        self.stored.is_some()
    }

    async fn create(&mut self) {
        let Some(empty) = to_spec(&BudgetLedger::default()) else {
            return;
        };
        let started = self.state.now();
        let created = self
            .state
            .store
            .create(ObjectKind::Budgets, LEDGER_NAME, &empty)
            .await;
        self.state.note_store_call(started, &created);
        match created {
            Ok(object) => self.take_object(&object),
            Err(StoreFailure::Conflict(Some(object))) => self.take_object(&object),
            Err(failure) => self.note_failure(&failure).await,
        }
    }

    /// Learns what others took, for a tenth of the price, so that a workspace that got scarce is
    /// noticed here as well. What is read may be older than what is known.
    async fn refresh(&mut self) {
        if self.state.escrow.borrow().free_tokens() == 0 {
            return;
        }
        let started = self.state.now();
        let read = self
            .state
            .store
            .read_stale(ObjectKind::Budgets, LEDGER_NAME)
            .await;
        self.state.note_store_call(started, &read);
        match read {
            Ok(object) => self.take_object(&object),
            Err(failure) => self.note_failure(&failure).await,
        }
    }

    /// Writes a change; tells whether its outcome is known.
    ///
    /// A write without an answer may be done now, later or never. The same write, on the same
    /// revision, is tried until the store tells: at most one of the tries can be done, since each
    /// changes the revision that all of them ask for.
    async fn try_write(&mut self, change: &LedgerChange) -> bool {
        let Some(stored) = &self.stored else {
            return false;
        };
        let router = self.state.escrow.borrow().router().to_owned();
        let ledger = stored.ledger.with_change(&router, change);
        let Some(spec) = to_spec(&ledger) else {
            return false;
        };
        let started = self.state.now();
        let written = self
            .state
            .store
            .replace(ObjectKind::Budgets, LEDGER_NAME, stored.revision, &spec)
            .await;
        self.state.note_store_call(started, &written);
        match written {
            Ok(object) => {
                self.log_change(change, object.revision());
                self.conflicts = 0;
                self.written_at = self.state.now();
                self.keep(object.revision(), ledger.clone());
                let now = self.state.now();
                self.state.escrow.borrow_mut().commit(now, ledger);
                self.state.escrow_changed.notify_waiters();
                true
            }
            Err(StoreFailure::Conflict(Some(object))) => {
                self.settle_conflict(change, &router, &object).await
            }
            Err(failure) => {
                self.note_failure(&failure).await;
                false
            }
        }
    }

    /// Another write came first, perhaps an earlier try of this one.
    async fn settle_conflict(
        &mut self,
        change: &LedgerChange,
        router: &str,
        object: &StoreObject,
    ) -> bool {
        let Some(ledger) = self.read_ledger(object) else {
            return false;
        };
        let is_done = ledger.has_change(router, change.number);
        self.keep(object.revision(), ledger.clone());
        let now = self.state.now();
        {
            let mut escrow = self.state.escrow.borrow_mut();
            match is_done {
                true => escrow.commit(now, ledger),
                false => escrow.revert(now, ledger),
            }
        }
        self.state.escrow_changed.notify_waiters();
        let longest_ms = (CONFLICT_FIRST_MS << self.conflicts.min(8)).min(CONFLICT_LONGEST_MS);
        self.conflicts += 1;
        let pause_ms = self.random.below(longest_ms);
        sleep(Duration::from_millis(pause_ms)).await;
        true
    }

    fn take_object(&mut self, object: &StoreObject) {
        let is_older = self
            .stored
            .as_ref()
            .is_some_and(|stored| stored.revision >= object.revision());
        if is_older {
            return;
        }
        let Some(ledger) = self.read_ledger(object) else {
            return;
        };
        self.keep(object.revision(), ledger.clone());
        let now = self.state.now();
        {
            let mut escrow = self.state.escrow.borrow_mut();
            // A write that was given up half-way, as at shutdown, may have been done. Writing the
            // change again would give the same tokens back twice, and others could spend both.
            let is_done = escrow
                .pending_number()
                .is_some_and(|number| ledger.has_change(escrow.router(), number));
            match is_done {
                true => escrow.commit(now, ledger),
                false => escrow.set_ledger(now, ledger),
            }
        }
        self.state.escrow_changed.notify_waiters();
    }

    fn keep(&mut self, revision: u64, ledger: BudgetLedger) {
        self.backoff.reset();
        self.state.is_ledger_away.set(false);
        if std::mem::take(&mut self.failures) >= AWAY_FAILURES {
            let fields = [("duty", "budgets".to_owned())];
            self.state
                .report
                .log(LogLevel::Warning, "store_regained", fields);
        }
        self.stored = Some(StoredLedger { revision, ledger });
    }

    fn read_ledger(&self, object: &StoreObject) -> Option<BudgetLedger> {
        match serde_json::from_value(object.spec.clone()) {
            Ok(ledger) => Some(ledger),
            Err(error) => {
                let fields = [
                    ("revision", object.revision().to_string()),
                    ("error", error.to_string()),
                ];
                self.state
                    .report
                    .log(LogLevel::Error, "ledger_unreadable", fields);
                None
            }
        }
    }

    async fn note_failure(&mut self, failure: &StoreFailure) {
        self.failures += 1;
        if self.failures == AWAY_FAILURES {
            self.state.is_ledger_away.set(true);
            self.state.escrow_changed.notify_waiters();
            let fields = [
                ("duty", "budgets".to_owned()),
                ("detail", failure.to_string()),
            ];
            self.state
                .report
                .log(LogLevel::Warning, "store_lost", fields);
        }
        let pause_ms = self.backoff.next_ms(LEAST_PAUSE_MS).min(LONGEST_PAUSE_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    fn log_change(&self, change: &LedgerChange, revision: u64) {
        let taken: u64 = change.takes.values().sum();
        let returned: u64 = change.returns.values().sum();
        let fields = [
            ("number", change.number.to_string()),
            ("taken", taken.to_string()),
            ("returned", returned.to_string()),
            ("revision", revision.to_string()),
        ];
        self.state
            .report
            .log(LogLevel::Info, "ledger_written", fields);
    }
}

/// The ledger as it is written. It is a map of names and numbers, which always can be.
fn to_spec(ledger: &BudgetLedger) -> Option<Value> {
    serde_json::to_value(ledger).ok()
}
