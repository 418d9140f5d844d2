//! The `gateway_state` module provides the state that all parts of a gateway share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use beechsaddle_core::backoff::RetryBackoff;
use beechsaddle_core::gateway::{
    CallerLimits, EvacuationRegistry, GatewayConfig, LimitHistory, LinkDirection, LinkMeter,
    PathMonitor, RetryShare, RoomGate, RoomRequest, RoomWithdrawal, RosterChange, RotationGate,
    SuspectKind, TargetRecord, TargetRoster, TokenEscrow, UpdateAge,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{StoreClient, StoreFailure};
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use super::board::BoardManager;
use super::buffer_memory::BufferMemory;
use super::caller_slots::CallerSlots;
use super::changes::{ChangeRelay, StoreHealth, TargetRefresh, UnreadableLog};
use super::clock_manager::ClockManager;
use super::crashes::CrashManager;
use super::gateway_metrics::{GatewayMetrics, StoreLabel};
use super::gateway_settings::GatewaySettings;
use super::ledger_updates::LedgerUpdates;
use super::limits::LimitManager;
use super::log_sampler::LogSampler;
use super::loop_lag::LoopLag;
use super::origins::OriginManager;
use super::store_call::StoreCall;
use super::store_tally::StoreTally;
use super::target_pool::TargetPool;
use super::token_lending::TokenLending;
use super::tunnels::TunnelDirectory;
use crate::calls::LingerPool;
use crate::report::ReportHandle;
use crate::router::ClockSource;

/// The phase of a gateway's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum GatewayPhase {
    /// The gateway is not shutting down.
    Serving,
    /// The router is no longer ready, but still accepts connections; each closes after its answer.
    Leaving,
    /// It accepts no new connections, closes idle ones, and answers what was sent on others.
    Closing,
    /// The grace period is nearly over: calls get their final response at once.
    Ending,
}

impl GatewayPhase {
    /// Returns the phase's name in logs and the status.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            GatewayPhase::Serving => "serving",
            GatewayPhase::Leaving => "leaving",
            GatewayPhase::Closing => "closing",
            GatewayPhase::Ending => "ending",
        }
    }
}

/// The shared state of a gateway. All users run on one thread and never hold a borrow across an await.
pub(super) struct GatewayState {
    /// The settings as last read.
    pub(super) settings: RefCell<Rc<GatewaySettings>>,
    pub(super) me: RouterIncarnation,
    pub(super) clock: ClockSource,
    /// The clock readings of other routers.
    pub(super) clocks: ClockManager,
    /// The configuration in effect; `None` before the first.
    pub(super) config: RefCell<Option<Rc<GatewayConfig>>>,
    /// Since when the configuration is in effect.
    pub(super) config_at: Cell<ClockTime>,
    /// The limits that callers may go by.
    pub(super) limit_history: RefCell<LimitHistory>,
    /// The number of open connections of callers.
    pub(super) open_connections: Cell<usize>,
    /// The memory and descriptors of callers' connections.
    pub(super) callers: CallerSlots,
    /// What is read of callers' connections after their last response.
    pub(super) lingering: LingerPool,
    pub(super) roster: RefCell<TargetRoster>,
    /// The failure domains whose targets get no new requests.
    pub(super) evacuations: RefCell<EvacuationRegistry>,
    pub(super) escrow: RefCell<TokenEscrow>,
    /// The state of loans from and to other routers.
    pub(super) lending: TokenLending,
    /// Requests that crash targets.
    pub(super) crashes: CrashManager,
    /// What other routers measure of targets.
    pub(super) board: BoardManager,
    /// Permits for rate-limited targets.
    pub(super) limits: LimitManager,
    /// Where streams began.
    pub(super) origins: OriginManager,
    /// Ledger updates from allocators of other domains.
    pub(super) ledger_updates: LedgerUpdates,
    /// Changes of the store for the routers that follow this one, and the router that this one follows.
    pub(super) relay: ChangeRelay,
    /// The store's objects that cannot be decoded.
    pub(super) unreadable: UnreadableLog,
    /// The load of the router's own link.
    pub(super) link: RefCell<LinkMeter>,
    /// Whether the router accepts new callers.
    pub(super) rotation: RefCell<RotationGate>,
    /// Which calls are shed while the router's own link is short.
    pub(super) room: RefCell<RoomGate>,
    /// Whether the router has left the rotation because it sheds calls.
    pub(super) room_withdrawal: RefCell<RoomWithdrawal>,
    /// The retry budget.
    pub(super) retries: RefCell<RetryShare>,
    /// Which targets the router reaches by itself.
    pub(super) path: RefCell<PathMonitor>,
    /// Whether a call tries targets to find out if the router is partitioned from all.
    pub(super) is_confirming_path: Cell<bool>,
    /// Wakes the checks whether targets can be reached again.
    pub(super) target_unreached: Notify,
    /// Connections to targets by way of other routers.
    pub(super) tunnels: TunnelDirectory,
    /// The memory of targets' responses that are buffered, by service.
    pub(super) answer_memory: BufferMemory<ServiceName>,
    /// The memory of callers' request bodies, by workspace.
    pub(super) request_memory: BufferMemory<Option<WorkspaceName>>,
    /// Idle connections to targets.
    pub(super) pool: TargetPool,
    pub(super) store: StoreClient,
    /// Whether the store answers.
    pub(super) store_health: StoreHealth,
    /// When the store last answered.
    pub(super) store_answered_at: Cell<ClockTime>,
    /// Checks that the list of targets is current.
    pub(super) target_refresh: TargetRefresh,
    /// The age of what is known of targets.
    pub(super) update_age: RefCell<UpdateAge>,
    /// How late the router's thread runs.
    pub(super) loop_lag: LoopLag,
    /// Counts of store calls since they were last logged.
    pub(super) store_tally: StoreTally,
    pub(super) report: ReportHandle,
    pub(super) metrics: GatewayMetrics,
    /// Wakes the ledger synchronization.
    pub(super) escrow_wake: Notify,
    /// Wakes calls that wait for tokens.
    pub(super) escrow_changed: Notify,
    /// Whether the ledger could not be reached at the last attempts.
    pub(super) is_ledger_unreachable: Cell<bool>,
    /// Since when it could not be reached.
    pub(super) ledger_lost_at: Cell<ClockTime>,
    /// The phase of the shutdown.
    pub(super) phase: watch::Sender<GatewayPhase>,
    /// The rate limit for log lines of calls.
    pub(super) log_sampler: LogSampler,
    /// The number of calls in progress.
    pub(super) open_calls: Cell<u64>,
    /// The number of callers' connections on which a request may still be read, runs, or has an answer
    /// that is not sent yet.
    pub(super) active_connections: Cell<u64>,
    /// Wakes the shutdown when a call or an active connection ends.
    pub(super) work_ended: Notify,
    /// When the calls that are still open in a shutdown get their final response; `None` before it.
    pub(super) calls_end_at: Cell<Option<ClockTime>>,
}

impl GatewayState {
    /// Creates the state of a gateway that has no configuration yet.
    pub(super) fn new(
        settings: GatewaySettings,
        me: RouterIncarnation,
        report: ReportHandle,
    ) -> Self {
        let clock = ClockSource::of_process();
        GatewayState {
            clock,
            clocks: ClockManager::new(clock.now()),
            config: RefCell::new(None),
            config_at: Cell::new(ClockTime::ZERO),
            limit_history: RefCell::default(),
            open_connections: Cell::new(0),
            callers: CallerSlots::new(settings.connection_quota()),
            lingering: LingerPool::default(),
            roster: RefCell::new(TargetRoster::default()),
            evacuations: RefCell::new(match settings.follows_evacuations() {
                true => EvacuationRegistry::default(),
                false => EvacuationRegistry::disabled(),
            }),
            escrow: RefCell::new(TokenEscrow::new(settings.budgets, me.to_string())),
            lending: TokenLending::new(settings.host.clone(), settings.domain.clone()),
            crashes: CrashManager::default(),
            board: BoardManager::default(),
            limits: LimitManager::default(),
            origins: OriginManager::default(),
            ledger_updates: LedgerUpdates::default(),
            relay: ChangeRelay::default(),
            unreadable: UnreadableLog::default(),
            link: RefCell::new(LinkMeter::new(settings.link_mbps, ClockTime::ZERO)),
            rotation: RefCell::default(),
            room: RefCell::new(RoomGate::new(ClockTime::ZERO)),
            room_withdrawal: RefCell::default(),
            retries: RefCell::new(RetryShare::new(settings.retries)),
            path: RefCell::default(),
            is_confirming_path: Cell::new(false),
            target_unreached: Notify::new(),
            tunnels: TunnelDirectory::default(),
            answer_memory: BufferMemory::new(settings.body_memory_bytes()),
            request_memory: BufferMemory::new(settings.body_memory_bytes()),
            pool: TargetPool::default(),
            store: StoreClient::new(settings.store),
            store_health: StoreHealth::new(),
            store_answered_at: Cell::new(ClockTime::ZERO),
            target_refresh: TargetRefresh::default(),
            update_age: RefCell::default(),
            loop_lag: LoopLag::default(),
            store_tally: StoreTally::default(),
            report,
            metrics: GatewayMetrics::new(),
            escrow_wake: Notify::new(),
            escrow_changed: Notify::new(),
            is_ledger_unreachable: Cell::new(false),
            ledger_lost_at: Cell::new(ClockTime::ZERO),
            phase: watch::Sender::new(GatewayPhase::Serving),
            log_sampler: LogSampler::default(),
            open_calls: Cell::new(0),
            active_connections: Cell::new(0),
            work_ended: Notify::new(),
            calls_end_at: Cell::new(None),
            settings: RefCell::new(Rc::new(settings)),
            me,
        }
    }

    /// Returns for how long the ledger could not be reached, in milliseconds; `None` if it can.
    pub(super) fn outage_ms(&self) -> Option<u64> {
        let is_unreachable = self.is_ledger_unreachable.get();
        is_unreachable.then(|| self.now().since(self.ledger_lost_at.get()))
    }

    pub(super) fn now(&self) -> ClockTime {
        self.clock.now()
    }

    /// Returns the settings as last read.
    pub(super) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the configuration in effect.
    pub(super) fn config(&self) -> Option<Rc<GatewayConfig>> {
        self.config.borrow().clone()
    }

    /// Returns the most generous limits that callers may go by now.
    pub(super) fn caller_limits(&self) -> CallerLimits {
        self.limit_history.borrow().widest(self.now())
    }

    /// Returns the phase of the shutdown.
    pub(super) fn phase(&self) -> GatewayPhase {
        *self.phase.borrow()
    }

    /// Whether a shutdown has nothing left to wait for: no call runs, and none can be read any more.
    pub(super) fn is_idle(&self) -> bool {
        self.open_calls.get() == 0 && self.active_connections.get() == 0
    }

    /// Completes when open calls have to get their final response.
    pub(super) async fn calls_ending(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the state.
        let _ = phase.wait_for(|phase| *phase >= GatewayPhase::Ending).await;
    }

    /// Records a request or a whole answer as traffic of the router's link.
    pub(super) fn record_message(&self, way: LinkDirection, bytes: usize) {
        let now = self.now();
        let mut link = self.link.borrow_mut();
        link.record_message(now, way, bytes as u64);
    }

    /// Records a part of a stream, which enters and leaves over the router's link.
    pub(super) fn record_part(&self, part: &Bytes) {
        let part_bytes = part.len() as u64 + LinkMeter::PART_BYTES;
        self.room.borrow_mut().record_stream(self.now(), part_bytes);
        self.record_bytes(part.len() as u64);
    }

    /// Records bytes that enter and leave over the router's link.
    pub(super) fn record_bytes(&self, count: u64) {
        let now = self.now();
        let mut link = self.link.borrow_mut();
        for way in [LinkDirection::In, LinkDirection::Out] {
            link.record_part(now, way, count);
        }
    }

    /// Whether the router's own link is congested.
    pub(super) fn is_link_full(&self) -> bool {
        self.link.borrow().is_full(self.now())
    }

    /// Whether the router reports ready for new callers.
    ///
    /// A router with a configuration stays in rotation while the store is unreachable: otherwise its
    /// callers would move to routers that are cut off as well. One that reaches the targets neither by
    /// itself nor through another router can serve nobody, and leaves it.
    pub(super) fn is_in_rotation(&self) -> bool {
        let now = self.now();
        let load = self.link.borrow().load(now);
        let is_full = self.is_link_full() || self.is_behind_full_link();
        let mut rotation = self.rotation.borrow_mut();
        if rotation.record(now, is_full) {
            let fields = [("link_load", format!("{load:.2}"))];
            self.report.log(LogLevel::Warning, "link_full", fields);
        }
        drop(rotation);
        self.record_room();
        let knows_rules = self.config.borrow().is_some() && self.evacuations.borrow().is_known();
        let serves = self.phase() == GatewayPhase::Serving && knows_rules;
        serves && !self.has_left_rotation() && !self.tunnels.is_isolated()
    }

    /// Whether the router has left the rotation because its own link was congested or short.
    pub(super) fn has_left_rotation(&self) -> bool {
        let is_short = self.room_withdrawal.borrow().is_out(self.now());
        is_short || self.has_left_full_link()
    }

    /// Whether the router has left the rotation because its own link was congested.
    fn has_left_full_link(&self) -> bool {
        let policy = self.settings().policy;
        policy.leaves_full_link && self.rotation.borrow().is_out_of_rotation(self.now())
    }

    /// Records a call that has arrived; returns whether the router's own link has room for it.
    pub(super) fn has_room(&self, request: RoomRequest) -> bool {
        if !self.settings().policy.sheds_by_degrees {
            return true;
        }
        let now = self.now();
        let link = self.link.borrow().state(now);
        let is_admitted = self.room.borrow_mut().admits(now, link, request);
        if !is_admitted {
            // The body comes in all the same.
            let mut link = self.link.borrow_mut();
            link.record_message(now, LinkDirection::In, request.body_bytes);
        }
        self.record_room();
        is_admitted
    }

    /// Leaves the rotation or returns to it, by whether calls are shed.
    fn record_room(&self) {
        let settings = self.settings();
        if !settings.policy.sheds_by_degrees {
            return;
        }
        let now = self.now();
        let link = self.link.borrow().state(now);
        let room = self.room.borrow();
        let is_shedding = room.is_shedding(now, link);
        let mut withdrawal = self.room_withdrawal.borrow_mut();
        if withdrawal.record(now, &settings.host, is_shedding) {
            let fields = [
                ("link_load", format!("{:.2}", link.load)),
                ("offered", format!("{:.2}", room.offered_part(now, link))),
            ];
            self.report.log(LogLevel::Warning, "link_short", fields);
        }
    }

    /// Whether a target that was chosen earlier may still get a new request: it has not restarted or
    /// been replaced since, its failure domain is not evacuated, and neither its entry nor one of its
    /// responses announces that it leaves.
    pub(super) fn accepts_requests(&self, target: &TargetRecord) -> bool {
        let roster = self.roster.borrow();
        let accepts = roster.get(&target.name).is_some_and(|entry| {
            entry.record.started == target.started && entry.accepts_requests()
        });
        accepts && self.evacuations.borrow().allows(&target.domain)
    }

    /// Whether a target has asked this router for rest.
    pub(super) fn is_resting(&self, target: &TargetRecord) -> bool {
        let roster = self.roster.borrow();
        roster.rests.left_ms(self.now(), target) > 0
    }

    /// Records that all changes of targets up to a time are known.
    pub(super) fn record_targets_known(&self, at: ClockTime) {
        self.update_age.borrow_mut().record_known(at);
    }

    /// Records that all versions of the configuration up to a time are known.
    pub(super) fn record_config_known(&self, at: ClockTime) {
        self.update_age.borrow_mut().record_config_known(at);
    }

    /// Whether the router knows all versions of the configuration that have to be in force.
    pub(super) fn knows_config(&self) -> bool {
        let in_force_ms = self.settings().change_bounds.in_force_ms;
        let update_age = self.update_age.borrow();
        update_age.knows_config(self.now(), in_force_ms)
    }

    /// Whether to refuse calls because the router's own link is or was congested, and changes of targets or of
    /// the configuration arrive late. A draining target would otherwise get new calls from this router for
    /// seconds, and calls would run under an old configuration. The link load alone is no criterion, since it
    /// excludes messages queued in the link.
    pub(super) fn is_behind_full_link(&self) -> bool {
        let settings = self.settings();
        // On a link that is not congested, the router receives an answer or update of the store within this
        // time.
        let update_interval = settings.probe_interval + settings.max_relay_age;
        let update_age = self.update_age.borrow();
        let interval_ms = update_interval.as_millis() as u64;
        let is_late = update_age.is_late_by_own_link(self.now(), interval_ms);
        is_late && (self.has_left_full_link() || self.follows_over_busy_link())
    }

    /// Whether the router gets changes from other routers over a link that calls take much of. Such a
    /// router hears promptly from the others if the store alone is lost.
    fn follows_over_busy_link(&self) -> bool {
        let now = self.now();
        let ring = self.lending.ring.borrow();
        let is_follower = self.relay.choice.borrow().is_follower(now, &ring);
        !is_follower && self.link.borrow().is_busy(now)
    }

    /// Updates the metrics of blocked requests and prompt parts.
    pub(super) fn update_blocked_count(&self) {
        let requests = self.crashes.blocked_count(SuspectKind::Request);
        self.metrics.requests_blocked.set(requests as i64);
        let parts = self.crashes.blocked_count(SuspectKind::Part);
        self.metrics.parts_blocked.set(parts as i64);
    }

    /// Creates the backoff of a periodic task, which `duty` names.
    pub(super) fn backoff(&self, duty: &str) -> RetryBackoff {
        RetryBackoff::new(&self.me, duty)
    }

    /// Counts and logs a store call, and records whether the store was unreachable.
    pub(super) fn record_store_call<T>(
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
        self.store_tally.record(call, what);
        let took_ms = now.since(started);
        self.metrics.store_s.observe(took_ms as f64 / 1_000.0);
        let fields = [
            ("call", label.call.to_owned()),
            ("outcome", what.to_owned()),
            ("took_ms", took_ms.to_string()),
        ];
        self.report.log(LogLevel::Debug, "store_call", fields);
        let is_answered = !outcome.as_ref().is_err_and(StoreFailure::is_unavailable);
        if is_answered {
            self.record_store_answer();
        } else if call.shows_outage() {
            self.record_store_outage();
        }
    }

    /// Records that the store is unreachable from this router. Meanwhile entries of live targets may
    /// expire. Reports of other routers do not count: a removed entry would stay in use here for seconds
    /// although the store had reported the removal in time.
    fn record_store_outage(&self) {
        let now = self.now();
        self.roster.borrow_mut().record_outage(now);
        self.store_health.record_outage(now);
    }

    /// Records that the store answered.
    pub(super) fn record_store_answer(&self) {
        let now = self.now();
        self.store_answered_at.set(now);
        self.record_known_versions(now);
        if self.store_health.record(true) {
            // Allocators can get tokens again, so calls need not be refused until the pause ends.
            self.lending.pauses.borrow_mut().clear();
        }
        self.lending.refusals.borrow_mut().forget_before(now);
    }

    /// Records that the store answered the router that this one follows, `age_ms` milliseconds ago.
    pub(super) fn record_relayed_answer(&self, age_ms: u64) {
        let now_ms = self.now().as_millis();
        let at = ClockTime::from_millis(now_ms.saturating_sub(age_ms));
        self.store_answered_at
            .set(self.store_answered_at.get().max(at));
        self.lending.refusals.borrow_mut().forget_before(at);
        self.record_known_versions(at);
    }

    /// Records that the store has told of the versions of the configuration up to a time.
    fn record_known_versions(&self, at: ClockTime) {
        let bounds = self.settings().change_bounds;
        self.limit_history.borrow_mut().record_answer(at, bounds);
    }

    /// Returns the time since the store last answered, in milliseconds: the age of the known configuration
    /// and targets.
    pub(super) fn store_age_ms(&self) -> u64 {
        self.now().since(self.store_answered_at.get())
    }

    /// Logs changes of targets, and closes connections to incarnations that are gone.
    pub(super) fn log_roster_changes(&self, changes: impl IntoIterator<Item = RosterChange>) {
        for change in changes {
            if let RosterChange::Gone(_, address)
            | RosterChange::Restarted(_, address)
            | RosterChange::Contested { address, .. } = change
            {
                self.pool.forget(address);
            }
            let (event, target) = match change {
                RosterChange::Joined(target) => ("target_joined", target),
                RosterChange::Restarted(target, _) => ("target_restarted", target),
                RosterChange::Draining(target) => ("target_draining", target),
                RosterChange::Contested { target, newer, .. } => {
                    self.log_contested(&target, &newer);
                    continue;
                }
                RosterChange::Gone(target, _) => ("target_gone", target),
                RosterChange::Unconfirmed(target) => ("target_unconfirmed", target),
            };
            let fields = [("target", target.to_string())];
            self.report.log(LogLevel::Info, event, fields);
        }
    }

    fn log_contested(&self, target: &TargetName, newer: &TargetName) {
        self.metrics.address_conflicts.inc();
        let fields = [("target", target.to_string()), ("newer", newer.to_string())];
        self.report
            .log(LogLevel::Warning, "target_contested", fields);
    }
}
