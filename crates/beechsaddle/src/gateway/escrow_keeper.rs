//! The `escrow_keeper` module provides the writes that move tokens between ledgers and the router.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::backoff::RetryBackoff;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::StoreFailure;
use futures::stream::{self, StreamExt};
use tokio::time::{sleep, timeout};

use super::gateway_state::GatewayState;
use super::kept_ledger::KeptLedger;
use super::ledger_notes::tell_keepers;
use super::ledger_store::{LedgerStore, StoredLedger, WriteOutcome};
use super::token_lending::update_roles;
use super::token_return::TokenReturns;

/// How often ledgers are brought up to date without a call that waits. Tokens that a scarce
/// workspace needs elsewhere are given back within this and one write.
const TICK: Duration = Duration::from_millis(800);

/// How long to wait at most after a write that met another router's, in milliseconds: two round trips
/// at first, doubled each time. With pauses of one length routers that all come back at once meet
/// again and again, and hardly any write is done.
const CONFLICT_FIRST_MS: u64 = 8;
/// The longest such pause, in milliseconds.
const CONFLICT_LONGEST_MS: u64 = 256;

/// How often a write is tried in one round.
const TRIES_MAX: u32 = 8;

/// Failures in a row after which calls do not wait for ledgers any more.
const AWAY_FAILURES: u32 = 2;

/// How long to wait after a failure, at least and at most, in milliseconds.
const LEAST_PAUSE_MS: u64 = 60;
/// See [`LEAST_PAUSE_MS`]; calls wait for the ledger that long.
const LONGEST_PAUSE_MS: u64 = 500;

/// How old a scarce workspace's ledger may be, in milliseconds. Whoever holds some has to notice.
const SCARCE_AGE_MS: u64 = 600;
/// How old any other ledger may be, in milliseconds, also one of which nobody calls: the first caller after an
/// outage has begun is refused at once, as the router knows of it.
const LEDGER_AGE_MS: u64 = 2_000;

/// How old a ledger may be that a write is made from, in milliseconds. A look at it costs a tenth of a write
/// that meets another domain's.
const WRITE_AGE_MS: u64 = 150;

/// Ledgers that are read or written at the same time.
const PARALLEL: usize = 6;

/// Moves tokens between ledgers and the router.
pub(super) struct EscrowKeeper {
    state: Rc<GatewayState>,
    store: LedgerStore,
    returns: TokenReturns,
    stored: RefCell<BTreeMap<WorkspaceName, KeptLedger>>,
    backoff: RefCell<RetryBackoff>,
    failures: Cell<u32>,
    ticked_at: Cell<ClockTime>,
}

impl EscrowKeeper {
    /// A keeper that has not read any ledger yet.
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        EscrowKeeper {
            store: LedgerStore::new(Rc::clone(&state)),
            returns: TokenReturns::new(Rc::clone(&state)),
            backoff: RefCell::new(state.backoff("budgets")),
            state,
            stored: RefCell::default(),
            failures: Cell::new(0),
            ticked_at: Cell::new(ClockTime::ZERO),
        }
    }

    /// Keeps the escrow for ever.
    pub(super) async fn run(self) {
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
    fn has_ticked(&self) -> bool {
        let now = self.state.now();
        let has_ticked = now.since(self.ticked_at.get()) >= TICK.as_millis() as u64;
        if has_ticked {
            self.ticked_at.set(now);
        }
        has_ticked
    }

    /// Reads the ledgers that are not known, writes what is due, and looks after old ones.
    async fn bring_up_to_date(&self) {
        let before = self.failures.get();
        self.returns.begin();
        let unread = self.state.escrow.borrow().unread();
        self.each(unread, |workspace| self.find(workspace)).await;
        let kept = self.state.escrow.borrow().kept();
        kept.iter().for_each(|workspace| self.take_note(workspace));
        let due = self.due();
        self.each(due, |workspace| self.write(workspace)).await;
        let old = self.old();
        self.each(old, |workspace| self.refresh(workspace)).await;
        if self.failures.get() > before {
            let pause_ms = self.backoff.borrow_mut().next_ms(LEAST_PAUSE_MS);
            sleep(Duration::from_millis(pause_ms.min(LONGEST_PAUSE_MS))).await;
        }
    }

    async fn each<F: Future<Output = ()>>(
        &self,
        workspaces: Vec<WorkspaceName>,
        work: impl Fn(WorkspaceName) -> F,
    ) {
        let works = stream::iter(workspaces.into_iter().map(work));
        works.buffer_unordered(PARALLEL).collect::<()>().await;
    }

    /// Ledgers to write now. What no call waits for is written now and then.
    fn due(&self) -> Vec<WorkspaceName> {
        let now = self.state.now();
        self.take_clock();
        let escrow = self.state.escrow.borrow();
        let stored = self.stored.borrow();
        let due = escrow.due(now).into_iter();
        let due = due.filter(|workspace| {
            let kept = stored.get(workspace);
            let is_calm = kept.is_some_and(|kept| kept.is_calm(now));
            let is_calm = is_calm && !escrow.awaits_deferred(workspace);
            kept.is_some() && (is_calm || escrow.is_urgent(now, workspace))
        });
        due.collect()
    }

    /// Takes over what the clocks of the fleet say.
    fn take_clock(&self) {
        let bounds = self.state.clocks.bounds(&self.state);
        self.state.escrow.borrow_mut().set_clock(bounds);
    }

    /// Ledgers that others may have changed for too long.
    fn old(&self) -> Vec<WorkspaceName> {
        let now = self.state.now();
        let escrow = self.state.escrow.borrow();
        let (scarce, keeping) = (escrow.scarce(), escrow.kept());
        let stored = self.stored.borrow();
        let old = stored.iter().filter(|(workspace, kept)| {
            let age_ms = now.since(kept.seen_at);
            let is_missed = scarce.contains(workspace) && age_ms >= SCARCE_AGE_MS;
            is_missed || (keeping.contains(workspace) && age_ms >= LEDGER_AGE_MS)
        });
        old.map(|(workspace, _)| workspace.clone()).collect()
    }

    async fn find(&self, workspace: WorkspaceName) {
        let found = self.store.find_or_create(&workspace).await;
        self.take_read(&workspace, found);
    }

    /// Learns what others took, for a tenth of the price. What is read may be older than what is
    /// known.
    async fn refresh(&self, workspace: WorkspaceName) {
        let read = self.store.read_stale(&workspace).await;
        self.take_read(&workspace, read);
    }

    fn take_read(&self, workspace: &WorkspaceName, read: Result<StoredLedger, StoreFailure>) {
        match read {
            Ok(ledger) => self.take(workspace, ledger),
            Err(failure) => self.note_failure(&failure),
        }
    }

    /// Writes what is due of a workspace until nothing is, or the store does not tell.
    async fn write(&self, workspace: WorkspaceName) {
        self.take_note(&workspace);
        // A change that is made while the store is away would only put off the use of deferred tokens.
        if !self.look_before_write(&workspace).await {
            return;
        }
        for conflicts in 0..TRIES_MAX {
            self.take_note(&workspace);
            let now = self.state.now();
            self.take_clock();
            let change = self.state.escrow.borrow_mut().plan(now, &workspace);
            let known = self.known(&workspace);
            let (Some(change), Some(known)) = (change, known) else {
                return;
            };
            match self.store.write(&workspace, &known, change).await {
                WriteOutcome::Done(ledger) => {
                    self.note_written(&workspace);
                    tell_keepers(&self.state, &workspace, &ledger);
                    self.finish(&workspace, ledger, true);
                    return;
                }
                WriteOutcome::Overtaken { ledger, has_change } => {
                    self.finish(&workspace, ledger, has_change);
                    let longest_ms = (CONFLICT_FIRST_MS << conflicts).min(CONFLICT_LONGEST_MS);
                    let pause_ms = rand::random_range(0..=longest_ms);
                    sleep(Duration::from_millis(pause_ms)).await;
                }
                WriteOutcome::Failed(failure) => {
                    if matches!(failure, StoreFailure::Refused(_)) {
                        self.state.escrow.borrow_mut().withdraw(&workspace);
                    }
                    self.note_failure(&failure);
                    return;
                }
            }
        }
    }

    /// Takes over what another keeper told of a ledger. It says nothing of whether the store answers this router.
    fn take_note(&self, workspace: &WorkspaceName) {
        let Some(note) = self.state.ledger_notes.take(workspace) else {
            return;
        };
        let mut kept_ledgers = self.stored.borrow_mut();
        let Some(kept) = kept_ledgers.get_mut(workspace) else {
            return;
        };
        // With an older ledger a change that is done would count as not done, and what it gave back be spent again.
        if kept.revision >= note.stored.revision {
            return;
        }
        kept.revision = note.stored.revision;
        kept.seen_at = kept.seen_at.max(note.told_at);
        drop(kept_ledgers);
        let mut escrow = self.state.escrow.borrow_mut();
        escrow.take_ledger(note.told_at, workspace, note.stored.ledger, true);
        drop(escrow);
        self.state.escrow_changed.notify_waiters();
    }

    /// Brings a ledger up to date that others may have changed since it was seen; tells whether a write is worth a try.
    ///
    /// A write without an answer is looked for in the ledger as it is now: made again it might be as silent, and
    /// calls would wait for its timeout although it was done.
    async fn look_before_write(&self, workspace: &WorkspaceName) -> bool {
        let pending = self.state.escrow.borrow().pending_number(workspace);
        if pending.is_some() {
            let read = self.store.read(workspace).await;
            self.take_read(workspace, read);
            return true;
        }
        let seen_at = self.stored.borrow().get(workspace).map(|kept| kept.seen_at);
        let is_old = seen_at.is_some_and(|at| self.state.now().since(at) >= WRITE_AGE_MS);
        if !is_old {
            return true;
        }
        let read = self.store.read_stale(workspace).await;
        let is_answered = read.is_ok();
        self.take_read(workspace, read);
        is_answered
    }

    /// The ledger that a change is made from.
    fn known(&self, workspace: &WorkspaceName) -> Option<StoredLedger> {
        let revision = self.stored.borrow().get(workspace)?.revision;
        let ledger = self.state.escrow.borrow().ledger(workspace)?.clone();
        Some(StoredLedger { revision, ledger })
    }

    /// Takes over what became of a change.
    fn finish(&self, workspace: &WorkspaceName, stored: StoredLedger, is_done: bool) {
        self.keep(workspace, stored.revision);
        let now = self.state.now();
        let mut escrow = self.state.escrow.borrow_mut();
        match is_done {
            true => escrow.commit(now, workspace, stored.ledger),
            false => escrow.revert(now, workspace, stored.ledger),
        }
        drop(escrow);
        self.state.escrow_changed.notify_waiters();
    }

    /// Takes over a ledger that was read.
    fn take(&self, workspace: &WorkspaceName, stored: StoredLedger) {
        let known = self
            .stored
            .borrow()
            .get(workspace)
            .map(|kept| kept.revision);
        if known.is_some_and(|known| known > stored.revision) {
            self.keep(workspace, known.unwrap_or_default());
            return;
        }
        self.keep(workspace, stored.revision);
        let now = self.state.now();
        let is_newer = known.is_some_and(|known| known < stored.revision);
        let mut escrow = self.state.escrow.borrow_mut();
        escrow.take_ledger(now, workspace, stored.ledger, is_newer);
        drop(escrow);
        self.state.escrow_changed.notify_waiters();
    }

    fn keep(&self, workspace: &WorkspaceName, revision: u64) {
        let now = self.state.now();
        let mut stored = self.stored.borrow_mut();
        let kept = stored.entry(workspace.clone());
        let kept = kept.or_insert_with(|| KeptLedger::new(now, revision));
        kept.revision = revision;
        kept.seen_at = now;
        drop(stored);
        self.note_answer();
    }

    fn note_written(&self, workspace: &WorkspaceName) {
        let now = self.state.now();
        if let Some(kept) = self.stored.borrow_mut().get_mut(workspace) {
            kept.written_at = now;
            kept.is_written = true;
        }
    }

    fn note_answer(&self) {
        self.backoff.borrow_mut().reset();
        self.state.is_ledger_away.set(false);
        if self.failures.replace(0) >= AWAY_FAILURES {
            let fields = [("duty", "budgets".to_owned())];
            let report = &self.state.report;
            report.log(LogLevel::Warning, "store_regained", fields);
        }
    }

    fn note_failure(&self, failure: &StoreFailure) {
        self.failures.set(self.failures.get() + 1);
        if self.failures.get() == AWAY_FAILURES {
            self.state.is_ledger_away.set(true);
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
