//! The `gateway_state` module provides what all parts of a gateway share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use beechsaddle_core::backoff::RetryBackoff;
use beechsaddle_core::gateway::{
    GatewayConfig, LinkDirection, LinkMeter, RetryShare, RosterChange, RotationGate, TargetRoster,
    TokenEscrow,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{StoreClient, StoreFailure};
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use super::changes::{ChangeRelay, StoreHealth};
use super::clock_desk::ClockDesk;
use super::crashes::CrashManager;
use super::gateway_metrics::{GatewayMetrics, StoreLabel};
use super::gateway_settings::GatewaySettings;
use super::ledger_notes::LedgerNotes;
use super::limits::LimitManager;
use super::line_budget::LineBudget;
use super::store_call::StoreCall;
use super::store_tally::StoreTally;
use super::target_pool::TargetPool;
use super::token_lending::TokenLending;
use crate::report::ReportHandle;
use crate::router::ClockSource;

/// How far the gateway has shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GatewayPhase {
    /// It serves.
    Serving,
    /// It is not ready any more, and still takes what comes; connections end with their answers.
    Leaving,
    /// It takes no new connections and closes idle ones.
    Closing,
}

/// What all parts of a gateway share. They run on one thread and never hold a borrow while waiting.
pub(super) struct GatewayState {
    /// Settings as they were last read.
    pub(super) settings: RefCell<Rc<GatewaySettings>>,
    /// This incarnation of the router.
    pub(super) me: RouterIncarnation,
    /// The time.
    pub(super) clock: ClockSource,
    /// What the clocks of other routers say.
    pub(super) clocks: ClockDesk,
    /// The configuration in force; `None` before the first.
    pub(super) config: RefCell<Option<Rc<GatewayConfig>>>,
    /// Since when it is in force.
    pub(super) config_at: Cell<ClockTime>,
    /// Targets.
    pub(super) roster: RefCell<TargetRoster>,
    /// Tokens.
    pub(super) escrow: RefCell<TokenEscrow>,
    /// Tokens borrowed from other routers, and what is known of these.
    pub(super) lending: TokenLending,
    /// Requests that crash targets.
    pub(super) crashes: CrashManager,
    /// Places at targets that name limits.
    pub(super) limits: LimitManager,
    /// What other keepers told of ledgers.
    pub(super) ledger_notes: LedgerNotes,
    /// What the store told, for those that follow this router, and whom this one follows.
    pub(super) relay: ChangeRelay,
    /// How full the router's own link is.
    pub(super) link: RefCell<LinkMeter>,
    /// Whether the router asks for new callers.
    pub(super) rotation: RefCell<RotationGate>,
    /// The retry budget.
    pub(super) retries: RefCell<RetryShare>,
    /// Idle connections to targets.
    pub(super) pool: TargetPool,
    /// The platform's store.
    pub(super) store: StoreClient,
    /// Whether the store answers.
    pub(super) store_health: StoreHealth,
    /// When the store last answered.
    pub(super) store_answered_at: Cell<ClockTime>,
    /// Up to when changes of targets are known.
    pub(super) targets_known_at: Cell<ClockTime>,
    /// Calls to the store since they were last logged.
    pub(super) store_tally: StoreTally,
    /// Logs.
    pub(super) report: ReportHandle,
    /// Metrics.
    pub(super) metrics: GatewayMetrics,
    /// Wakes the keeper of the escrow.
    pub(super) escrow_wake: Notify,
    /// Wakes calls that wait for tokens.
    pub(super) escrow_changed: Notify,
    /// Whether the ledger could not be reached when it was last tried.
    pub(super) is_ledger_away: Cell<bool>,
    /// How far the gateway has shut down.
    pub(super) phase: watch::Sender<GatewayPhase>,
    /// The bound on log lines of calls that went well.
    pub(super) line_budget: LineBudget,
    /// Calls that are running.
    pub(super) open_calls: Cell<u64>,
    /// Wakes the shutdown when a call ends.
    pub(super) call_ended: Notify,
}

impl GatewayState {
    /// The state of a gateway that knows nothing yet.
    pub(super) fn new(
        settings: GatewaySettings,
        me: RouterIncarnation,
        report: ReportHandle,
    ) -> Self {
        let clock = ClockSource::of_process();
        GatewayState {
            clock,
            clocks: ClockDesk::new(clock.now()),
            config: RefCell::new(None),
            config_at: Cell::new(ClockTime::ZERO),
            roster: RefCell::new(TargetRoster::default()),
            escrow: RefCell::new(TokenEscrow::new(settings.budgets, me.to_string())),
            lending: TokenLending::new(settings.host.clone(), settings.domain.clone()),
            crashes: CrashManager::default(),
            limits: LimitManager::default(),
            ledger_notes: LedgerNotes::default(),
            relay: ChangeRelay::default(),
            link: RefCell::new(LinkMeter::new(settings.link_mbps, ClockTime::ZERO)),
            rotation: RefCell::default(),
            retries: RefCell::new(RetryShare::new(settings.retries)),
            pool: TargetPool::default(),
            store: StoreClient::new(settings.store),
            store_health: StoreHealth::new(),
            store_answered_at: Cell::new(ClockTime::ZERO),
            targets_known_at: Cell::new(ClockTime::ZERO),
            store_tally: StoreTally::default(),
            report,
            metrics: GatewayMetrics::new(),
            escrow_wake: Notify::new(),
            escrow_changed: Notify::new(),
            is_ledger_away: Cell::new(false),
            phase: watch::Sender::new(GatewayPhase::Serving),
            line_budget: LineBudget::default(),
            open_calls: Cell::new(0),
            call_ended: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
            me,
        }
    }

    /// The time now.
    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// The settings as they were last read.
    pub(super) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The configuration in force.
    pub(super) fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// How far the gateway has shut down.
    pub(super) fn phase(&self) -> GatewayPhase {
        *self.phase.borrow()
    }

    /// Notes a request or a whole answer on the router's link.
    pub(super) fn record_message(&self, way: LinkDirection, body: &Bytes) {
        let now = self.now();
        let mut link = self.link.borrow_mut();
        link.record_message(now, way, body.len() as u64);
    }

    /// Notes a part of a stream that comes in over the router's link and goes out over it.
    pub(super) fn record_part(&self, part: &Bytes) {
        let now = self.now();
        let mut link = self.link.borrow_mut();
        for way in [LinkDirection::In, LinkDirection::Out] {
            link.record_part(now, way, part.len() as u64);
        }
    }

    /// Whether the router's own link is full.
    pub(super) fn is_link_full(&self) -> bool {
        self.link.borrow().is_full(self.now())
    }

    /// Whether the router asks for new callers.
    ///
    /// A router that knows a configuration serves what it can, also while the store is away: taking it
    /// out of rotation would leave its callers to routers that are cut off like itself.
    pub(super) fn is_in_rotation(&self) -> bool {
        let now = self.now();
        let load = self.link.borrow().load(now);
        let mut rotation = self.rotation.borrow_mut();
        if rotation.note(now, self.is_link_full()) {
            let fields = [("link_load", format!("{load:.2}"))];
            self.report.log(LogLevel::Warning, "link_full", fields);
        }
        drop(rotation);
        let serves = self.phase() == GatewayPhase::Serving && self.config.borrow().is_some();
        serves && !self.has_left_rotation()
    }

    /// Whether the router has left the rotation because its own link was full.
    pub(super) fn has_left_rotation(&self) -> bool {
        let policy = self.settings().policy;
        policy.leaves_full_link && self.rotation.borrow().is_out_of_rotation(self.now())
    }

    /// Notes that all changes of targets up to a time are known.
    pub(super) fn note_targets_known(&self, at: ClockTime) {
        let known_at = self.targets_known_at.get();
        self.targets_known_at.set(known_at.max(at));
    }

    /// Whether calls are turned away as the router's own link was full and changes of targets come late over it. A
    /// target that leaves would get new work from here for seconds, and its answers would be late. While the link is
    /// full now does not tell: what waits in its queues is not counted.
    pub(super) fn is_behind_full_link(&self) -> bool {
        let settings = self.settings();
        let known_ms = self.now().since(self.targets_known_at.get());
        // Without a full link a router hears something of the store in this time.
        let heard_span = settings.probe_span + settings.relay_age;
        let is_late = u128::from(known_ms) > heard_span.as_millis();
        is_late && self.has_left_rotation()
    }

    /// Shows how many requests are refused as they crash targets.
    pub(super) fn note_blocked_count(&self) {
        let blocked = self.crashes.blocked_count();
        self.metrics.requests_blocked.set(blocked as i64);
    }

    /// Waiting times of a duty.
    pub(super) fn backoff(&self, duty: &str) -> RetryBackoff {
        RetryBackoff::new(&self.me, duty)
    }

    /// Counts and logs a store call, and notes when the store is away.
    pub(super) fn note_store_call<T>(
        &self,
        call: StoreCall,
        started: ClockTime,
        outcome: &Result<T, StoreFailure>,
    ) {
        let now = self.now();
        let what = match outcome {
            Ok(_) => "done",
            Err(failure) => failure.as_str(),
        };
        let label = StoreLabel {
            call: call.as_str(),
            what,
        };
        self.metrics.store_calls.get_or_create(&label).inc();
        self.store_tally.note(call, what);
        let took_ms = now.since(started);
        self.metrics.store_s.observe(took_ms as f64 / 1_000.0);
        let fields = [
            ("call", label.call.to_owned()),
            ("outcome", what.to_owned()),
            ("took_ms", took_ms.to_string()),
        ];
        self.report.log(LogLevel::Debug, "store_call", fields);
        let is_away = outcome.as_ref().is_err_and(StoreFailure::is_away);
        if !is_away {
            self.note_store_answer();
        } else {
            self.note_store_away();
        }
    }

    /// Notes that the store is out of reach of this router. Entries of targets may lapse meanwhile though these live.
    /// The word of another router is no ground for it: an entry that is removed would be kept in use here for
    /// seconds, though the store told of it in time.
    fn note_store_away(&self) {
        let now = self.now();
        self.roster.borrow_mut().record_outage(now);
        self.store_health.record_outage(now);
    }

    /// Notes that the store answered.
    pub(super) fn note_store_answer(&self) {
        self.store_answered_at.set(self.now());
        if self.store_health.note(true) {
            // Keepers get tokens again: callers need not be refused until a pause is over.
            self.lending.pauses.borrow_mut().clear();
        }
    }

    /// Notes that a router that this one follows was answered by the store, so long ago.
    pub(super) fn note_relayed_answer(&self, age_ms: u64) {
        let now_ms = self.now().as_millis();
        let at = ClockTime::from_millis(now_ms.saturating_sub(age_ms));
        self.store_answered_at
            .set(self.store_answered_at.get().max(at));
    }

    /// How long ago the store last answered, in milliseconds: what is believed of configuration and
    /// targets is as old.
    pub(super) fn store_age_ms(&self) -> u64 {
        self.now().since(self.store_answered_at.get())
    }

    /// Logs what changed among the targets, and closes connections to incarnations that are gone.
    pub(super) fn log_roster(&self, changes: impl IntoIterator<Item = RosterChange>) {
        for change in changes {
            if let RosterChange::Gone(_, address) | RosterChange::Restarted(_, address) = change {
                self.pool.forget(address);
            }
            let (event, target) = match change {
                RosterChange::Joined(target) => ("target_joined", target),
                RosterChange::Restarted(target, _) => ("target_restarted", target),
                RosterChange::Draining(target) => ("target_draining", target),
                RosterChange::Gone(target, _) => ("target_gone", target),
                RosterChange::Unconfirmed(target) => ("target_unconfirmed", target),
            };
            let fields = [("target", target.to_string())];
            self.report.log(LogLevel::Info, event, fields);
        }
    }
}
