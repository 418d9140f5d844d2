//! The `ledger_sync` module provides the synchronization of the escrow with the ledgers in the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::backoff::RetryBackoff;
use beechsaddle_core::gateway::TokenEscrow;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::StoreFailure;
use futures::stream::{self, StreamExt};
use tokio::time::{sleep, timeout};

use super::cached_ledger::CachedLedger;
use super::gateway_state::GatewayState;
use super::ledger_store::{LedgerStore, StoredLedger, WriteOutcome};
use super::ledger_updates::notify_allocators;
use super::token_lending::update_roles;
use super::token_return::TokenReturns;

/// Interval between synchronizations when no call waits. A router returns tokens of a scarce workspace
/// within this interval plus one write.
const TICK_INTERVAL: Duration = Duration::from_millis(800);

/// Initial upper bound of the random pause after a write conflict, in milliseconds: two round trips. It
/// doubles with each conflict. With pauses of a fixed length, routers that reconnect at the same time keep
/// conflicting, and hardly any write succeeds.
const CONFLICT_BACKOFF_BASE_MS: u64 = 8;
/// Largest upper bound of that pause, in milliseconds.
const CONFLICT_BACKOFF_MAX_MS: u64 = 256;

/// Maximum number of attempts at a write in one synchronization.
const WRITE_ATTEMPTS_MAX: u32 = 8;

/// Number of consecutive failures after which calls stop waiting for ledgers.
const OUTAGE_FAILURES: u32 = 2;

/// Minimum pause after a failure, in milliseconds.
const FAILURE_PAUSE_MIN_MS: u64 = 60;
/// Maximum pause after a failure, in milliseconds; calls may have to wait for the ledger that long.
const FAILURE_PAUSE_MAX_MS: u64 = 500;

/// Maximum age of the cached ledger of a scarce workspace, in milliseconds. Routers that hold its tokens
/// have to detect the scarcity and return them.
const SCARCE_AGE_MAX_MS: u64 = 600;
/// Maximum age of any other cached ledger, in milliseconds, also of workspaces without calls: an outage is
/// then already detected when the first call arrives, and the call is refused at once.
const LEDGER_AGE_MAX_MS: u64 = 2_000;

/// Maximum age of the ledger that a write is based on, in milliseconds. A read costs a tenth of a write
/// that conflicts with one of another domain.
const WRITE_AGE_MAX_MS: u64 = 150;

/// Maximum number of ledgers that are read or written concurrently.
const PARALLEL_CALLS_MAX: usize = 6;

/// Moves tokens between the ledgers in the store and the router's escrow.
pub(super) struct LedgerSync {
    state: Rc<GatewayState>,
    store: LedgerStore,
    returns: TokenReturns,
    cached_ledgers: RefCell<BTreeMap<WorkspaceName, CachedLedger>>,
    backoff: RefCell<RetryBackoff>,
    failures: Cell<u32>,
    last_tick_at: Cell<ClockTime>,
}

impl LedgerSync {
    /// Creates a synchronizer that has read no ledger yet.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        LedgerSync {
            store: LedgerStore::new(Rc::clone(&state)),
            returns: TokenReturns::new(Rc::clone(&state)),
            backoff: RefCell::new(state.backoff("budgets")),
            state,
            cached_ledgers: RefCell::default(),
            failures: Cell::new(0),
            last_tick_at: Cell::new(ClockTime::ZERO),
        }
    }

    /// Synchronizes the escrow for as long as the process runs.
    pub(super) async fn run(self) {
        loop {
            let waking = self.state.escrow_wake.notified();
            // A timeout is a regular tick.
            let _ = timeout(TICK_INTERVAL, waking).await;
            if self.is_tick_due() {
                update_roles(&self.state);
            }
            self.synchronize().await;
        }
    }

    /// Whether the roles have to be updated; starts the next interval if so.
    fn is_tick_due(&self) -> bool {
        let now = self.state.now();
        let is_tick_due = now.since(self.last_tick_at.get()) >= TICK_INTERVAL.as_millis() as u64;
        if is_tick_due {
            self.last_tick_at.set(now);
        }
        is_tick_due
    }

    /// Reads unknown ledgers, writes due changes and refreshes stale ledgers.
    async fn synchronize(&self) {
        let before = self.failures.get();
        self.returns.begin();
        let unread = self.unread();
        self.for_each_parallel(unread, |workspace| self.load(workspace))
            .await;
        let allocated = self.state.escrow.borrow().allocated_workspaces();
        allocated
            .iter()
            .for_each(|workspace| self.apply_update(workspace));
        let due = self.due();
        self.for_each_parallel(due, |workspace| self.write(workspace))
            .await;
        let stale = self.stale();
        self.for_each_parallel(stale, |workspace| self.refresh(workspace))
            .await;
        if self.failures.get() > before {
            let pause_ms = self.backoff.borrow_mut().next_ms(FAILURE_PAUSE_MIN_MS);
            sleep(Duration::from_millis(pause_ms.min(FAILURE_PAUSE_MAX_MS))).await;
        }
    }

    /// Returns the workspaces whose ledgers to read for the first time. While this router cannot register
    /// it has no role, and would detect an outage only when a call waits; so it reads one ledger.
    fn unread(&self) -> Vec<WorkspaceName> {
        let escrow = self.state.escrow.borrow();
        if !self.state.lending.is_registration_failing() {
            return escrow.unread();
        }
        let mut probed = probed_workspaces(&escrow);
        probed.retain(|workspace| escrow.ledger(workspace).is_none());
        probed
    }

    async fn for_each_parallel<F: Future<Output = ()>>(
        &self,
        workspaces: Vec<WorkspaceName>,
        task: impl Fn(WorkspaceName) -> F,
    ) {
        let tasks = stream::iter(workspaces.into_iter().map(task));
        tasks
            .buffer_unordered(PARALLEL_CALLS_MAX)
            .collect::<()>()
            .await;
    }

    /// Returns the workspaces whose ledgers to write now. Changes that no call waits for are written at
    /// longer intervals.
    fn due(&self) -> Vec<WorkspaceName> {
        let now = self.state.now();
        self.update_clock();
        let escrow = self.state.escrow.borrow();
        let cached_ledgers = self.cached_ledgers.borrow();
        let due = escrow.due(now).into_iter();
        let due = due.filter(|workspace| {
            let cached = cached_ledgers.get(workspace);
            let may_write_idle = cached.is_some_and(|cached| cached.may_write_idle(now));
            let may_write_idle = may_write_idle && !escrow.awaits_deferred(workspace);
            cached.is_some() && (may_write_idle || escrow.is_urgent(now, workspace))
        });
        due.collect()
    }

    /// Passes the bounds on the fleet's time to the escrow.
    fn update_clock(&self) {
        let bounds = self.state.clocks.bounds(&self.state);
        self.state.escrow.borrow_mut().set_clock(bounds);
    }

    /// Returns the workspaces whose cached ledgers are too old.
    fn stale(&self) -> Vec<WorkspaceName> {
        let now = self.state.now();
        let escrow = self.state.escrow.borrow();
        let scarce = escrow.scarce();
        let allocated = match self.state.lending.is_registration_failing() {
            true => probed_workspaces(&escrow),
            false => escrow.allocated_workspaces(),
        };
        let cached_ledgers = self.cached_ledgers.borrow();
        let stale = cached_ledgers.iter().filter(|(workspace, cached)| {
            let age_ms = now.since(cached.seen_at);
            let is_scarce_stale = scarce.contains(workspace) && age_ms >= SCARCE_AGE_MAX_MS;
            is_scarce_stale || (allocated.contains(workspace) && age_ms >= LEDGER_AGE_MAX_MS)
        });
        stale.map(|(workspace, _)| workspace.clone()).collect()
    }

    async fn load(&self, workspace: WorkspaceName) {
        let loaded = self.store.find_or_create(&workspace).await;
        self.handle_read(&workspace, loaded);
    }

    /// Reads a ledger at a tenth of the cost of a consistent read. The result may be older than the cached
    /// ledger.
    async fn refresh(&self, workspace: WorkspaceName) {
        let read = self.store.read_stale(&workspace).await;
        self.handle_read(&workspace, read);
    }

    fn handle_read(&self, workspace: &WorkspaceName, read: Result<StoredLedger, StoreFailure>) {
        match read {
            Ok(ledger) => self.apply_read(workspace, ledger),
            Err(failure) => self.record_failure(&failure),
        }
    }

    /// Writes due changes of a workspace until one succeeds, none is due or the store fails.
    async fn write(&self, workspace: WorkspaceName) {
        self.apply_update(&workspace);
        // Without an answer from the store, a planned change would only delay the use of deferred tokens.
        if !self.refresh_before_write(&workspace).await {
            return;
        }
        for conflicts in 0..WRITE_ATTEMPTS_MAX {
            self.apply_update(&workspace);
            self.update_clock();
            // Read after the clocks of the fleet: if the process is paused in between, deferred tokens
            // become usable later than their entry says, and not earlier.
            let now = self.state.now();
            let change = self.state.escrow.borrow_mut().plan(now, &workspace);
            let base_ledger = self.base_ledger(&workspace);
            let (Some(change), Some(base_ledger)) = (change, base_ledger) else {
                return;
            };
            match self.store.write(&workspace, &base_ledger, change).await {
                WriteOutcome::Done(ledger) => {
                    self.record_write(&workspace);
                    notify_allocators(&self.state, &workspace, &ledger);
                    self.finish(&workspace, ledger, true);
                    return;
                }
                WriteOutcome::Superseded { ledger, has_change } => {
                    self.finish(&workspace, ledger, has_change);
                    let pause_max_ms =
                        (CONFLICT_BACKOFF_BASE_MS << conflicts).min(CONFLICT_BACKOFF_MAX_MS);
                    let pause_ms = rand::random_range(0..=pause_max_ms);
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                WriteOutcome::Failed(failure) => {
                    if matches!(failure, StoreFailure::Refused(_)) {
                        self.state.escrow.borrow_mut().withdraw(&workspace);
                    }
                    self.record_failure(&failure);
                    return;
                }
            }
        }
    }

    /// Applies a ledger update from the allocator of another domain. It does not show that the store
    /// answers this router.
    fn apply_update(&self, workspace: &WorkspaceName) {
        let Some(update) = self.state.ledger_updates.take(workspace) else {
            return;
        };
        let mut cached_ledgers = self.cached_ledgers.borrow_mut();
        let Some(cached) = cached_ledgers.get_mut(workspace) else {
            return;
        };
        // Based on an older ledger, a committed change would count as not committed, and the tokens it gave
        // back would be spent again.
        if cached.revision >= update.stored.revision {
            return;
        }
        cached.revision = update.stored.revision;
        cached.seen_at = cached.seen_at.max(update.received_at);
        drop(cached_ledgers);
        let mut escrow = self.state.escrow.borrow_mut();
        escrow.take_ledger(update.received_at, workspace, update.stored.ledger, true);
        drop(escrow);
        self.state.escrow_changed.notify_waiters();
    }

    /// Refreshes the ledger if it is stale or the outcome of the last write is unknown. Returns whether a
    /// write is worth an attempt.
    ///
    /// A write without an answer is looked up in a consistent read. Repeating it might get no answer
    /// either, and calls would wait for its timeout although it had been committed.
    async fn refresh_before_write(&self, workspace: &WorkspaceName) -> bool {
        let pending = self.state.escrow.borrow().pending_number(workspace);
        if pending.is_some() {
            let read = self.store.read(workspace).await;
            self.handle_read(workspace, read);
            return true;
        }
        let seen_at = self
            .cached_ledgers
            .borrow()
            .get(workspace)
            .map(|cached| cached.seen_at);
        let is_stale = seen_at.is_some_and(|at| self.state.now().since(at) >= WRITE_AGE_MAX_MS);
        if !is_stale {
            return true;
        }
        let read = self.store.read_stale(workspace).await;
        let is_answered = read.is_ok();
        self.handle_read(workspace, read);
        is_answered
    }

    /// Returns the ledger that a change is based on.
    fn base_ledger(&self, workspace: &WorkspaceName) -> Option<StoredLedger> {
        let revision = self.cached_ledgers.borrow().get(workspace)?.revision;
        let ledger = self.state.escrow.borrow().ledger(workspace)?.clone();
        Some(StoredLedger { revision, ledger })
    }

    /// Applies the outcome of a write.
    fn finish(&self, workspace: &WorkspaceName, stored: StoredLedger, is_done: bool) {
        self.update_cached(workspace, stored.revision);
        let now = self.state.now();
        let mut escrow = self.state.escrow.borrow_mut();
        match is_done {
            true => escrow.commit(now, workspace, stored.ledger),
            false => escrow.revert(now, workspace, stored.ledger),
        }
        drop(escrow);
        self.state.escrow_changed.notify_waiters();
    }

    /// Applies a ledger that was read.
    fn apply_read(&self, workspace: &WorkspaceName, stored: StoredLedger) {
        let known = self
            .cached_ledgers
            .borrow()
            .get(workspace)
            .map(|cached| cached.revision);
        if known.is_some_and(|known| known > stored.revision) {
            self.update_cached(workspace, known.unwrap_or_default());
            return;
        }
        self.update_cached(workspace, stored.revision);
        let now = self.state.now();
        let is_newer = known.is_some_and(|known| known < stored.revision);
        let mut escrow = self.state.escrow.borrow_mut();
        escrow.take_ledger(now, workspace, stored.ledger, is_newer);
        drop(escrow);
        self.state.escrow_changed.notify_waiters();
    }

    fn update_cached(&self, workspace: &WorkspaceName, revision: u64) {
        let now = self.state.now();
        let mut cached_ledgers = self.cached_ledgers.borrow_mut();
        let cached = cached_ledgers.entry(workspace.clone());
        let cached = cached.or_insert_with(|| CachedLedger::new(now, revision));
        cached.revision = revision;
        cached.seen_at = now;
        drop(cached_ledgers);
        self.record_success();
    }

    fn record_write(&self, workspace: &WorkspaceName) {
        let now = self.state.now();
        if let Some(cached) = self.cached_ledgers.borrow_mut().get_mut(workspace) {
            cached.written_at = now;
            cached.is_written = true;
        }
    }

    fn record_success(&self) {
        self.backoff.borrow_mut().reset();
        self.state.is_ledger_unreachable.set(false);
        if self.failures.replace(0) >= OUTAGE_FAILURES {
            let fields = [("duty", "budgets".to_owned())];
            let report = &self.state.report;
            report.log(LogLevel::Warning, "store_regained", fields);
        }
    }

    fn record_failure(&self, failure: &StoreFailure) {
        self.failures.set(self.failures.get() + 1);
        if self.failures.get() == OUTAGE_FAILURES {
            self.state.is_ledger_unreachable.set(true);
            self.state.ledger_lost_at.set(self.state.now());
            self.state.escrow_changed.notify_waiters();
            let fields = [
                ("duty", "budgets".to_owned()),
                ("detail", failure.to_string()),
            ];
            let report = &self.state.report;
            report.log(LogLevel::Warning, "store_lost", fields);
        }
    }
}

/// Returns the workspace whose ledger a router without a role reads. One shows whether ledgers can be
/// reached; all of them, read by each router of a fleet, would take the store's whole rate.
fn probed_workspaces(escrow: &TokenEscrow) -> Vec<WorkspaceName> {
    let mut counted = escrow.counted();
    counted.truncate(1);
    counted
}
