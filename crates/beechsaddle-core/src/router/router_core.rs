//! The `router_core` module provides the function from events to actions.

use super::RouterOptions;
use super::layout_desk::LayoutDesk;
use crate::admission::{AdmissionGate, RetryPolicy};
use crate::call::{CallAction, CallEvent};
use crate::calls::{CallContext, CallDesk};
use crate::catalogue::CatalogueDesk;
use crate::members::{HeartbeatNews, MemberDesk, MemberLiveness};
use crate::money::MoneyDesk;
use crate::once::OnceDesk;
use crate::orders::OrderDesk;
use crate::peer::{PeerHeartbeat, PeerMessage, RouterState};
use crate::platform::{PlatformDuty, PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::report::{CounterName, GaugeName, ReportAction};
use crate::status::{GrantStatus, RouterStatus};
use crate::target::TargetEvent;
use crate::targets::TargetTable;

/// When a caller that found the router starting should come back, in milliseconds.
const UNREADY_RETRY_MS: u64 = 1_000;

/// How often orders hear of the engines' states, in milliseconds; a load takes far longer.
const ORDERS_FEED_MS: u64 = 500;

/// How often gauges are told, in milliseconds.
const GAUGES_MS: u64 = 1_000;

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainPhase {
    /// The router takes calls.
    Serving,
    /// Open calls go on to their end; new ones are refused.
    EndingCalls,
    /// Bills are journalled and grants returned.
    HandingOver,
    /// All is handed over.
    Left,
}

/// All decisions of one router.
#[derive(Debug)]
pub struct RouterCore {
    me: RouterIncarnation,
    phase: DrainPhase,
    layout: LayoutDesk,
    calls: CallDesk,
    money: MoneyDesk,
    once: OnceDesk,
    members: MemberDesk,
    catalogue: CatalogueDesk,
    targets: TargetTable,
    gate: AdmissionGate,
    retries: RetryPolicy,
    orders: OrderDesk,
    orders_fed: ClockTime,
    gauges_told: ClockTime,
}

impl RouterCore {
    /// A router that has not started.
    pub fn new(options: RouterOptions) -> Self {
        let me = options.me;
        let domain = options.domain;
        RouterCore {
            phase: DrainPhase::Serving,
            layout: LayoutDesk::new(options.layout),
            calls: CallDesk::new(options.calls),
            money: MoneyDesk::new(options.money, me.clone()),
            once: OnceDesk::new(options.once, me.clone()),
            members: MemberDesk::new(
                options.members,
                me.clone(),
                domain.clone(),
                options.peer_address,
            ),
            catalogue: CatalogueDesk::new(options.catalogue, me.clone()),
            targets: TargetTable::new(options.targets, me.clone(), domain, options.seed),
            gate: AdmissionGate::new(options.admission, options.seed),
            retries: RetryPolicy::new(options.retries, options.seed),
            orders: OrderDesk::new(options.orders, me.clone()),
            orders_fed: ClockTime::ZERO,
            gauges_told: ClockTime::ZERO,
            me,
        }
    }

    /// Takes one event and says what has to happen next. The same events always give the same
    /// actions; `now` must not go backwards.
    pub fn handle(&mut self, now: ClockTime, event: CoreEvent, outbox: &mut CoreOutbox) {
        match event {
            CoreEvent::Started => self.start(now, outbox),
            CoreEvent::Tick => self.tick(now, outbox),
            CoreEvent::Call(CallEvent::Arrived(arrival)) if self.layout.known().is_none() => {
                refuse_unready(&arrival.call, outbox);
            }
            CoreEvent::Call(event) => {
                let (calls, mut context) = self.split(outbox);
                calls.on_event(now, event, &mut context);
            }
            CoreEvent::Platform { ticket, reply } => self.on_platform(now, ticket, reply, outbox),
            CoreEvent::Peer { from, message } => self.on_peer(now, from, message, outbox),
            CoreEvent::Target(event) => self.on_target(now, event, outbox),
            CoreEvent::StatusQuery { query } => {
                let status = Box::new(self.status(now));
                outbox.act(CoreAction::Status { query, status });
            }
            CoreEvent::Drain => self.drain(now, outbox),
        }
        self.settle_signals(now, outbox);
        self.advance_drain(now, outbox);
        self.settle_signals(now, outbox);
    }

    /// How many calls are open.
    pub fn open_calls(&self) -> usize {
        self.calls.open_calls()
    }

    /// The grants that it holds.
    pub fn grants(&self) -> Vec<GrantStatus> {
        self.money.grants()
    }

    /// Whether the router can take calls: it has a catalogue and does not drain.
    pub fn is_serving(&self) -> bool {
        let is_ready = self.layout.known().is_some() && self.catalogue.view().revision() > 0;
        is_ready && self.phase == DrainPhase::Serving
    }

    fn split<'a>(&'a mut self, outbox: &'a mut CoreOutbox) -> (&'a mut CallDesk, CallContext<'a>) {
        let context = CallContext {
            view: self.catalogue.view(),
            members: self.members.table(),
            money: &mut self.money,
            once: &mut self.once,
            targets: &mut self.targets,
            gate: &mut self.gate,
            retries: &mut self.retries,
            outbox,
        };
        (&mut self.calls, context)
    }

    fn start(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.members.start(now, outbox);
        self.catalogue.start(now, self.members.table(), outbox);
    }

    fn tick(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        self.layout.tick(now, outbox);
        let members = self.members.table();
        self.catalogue.tick(now, members, outbox);
        self.money.tick(now, members, outbox);
        self.once.tick(now, members, outbox);
        self.targets.tick(now, members, outbox);
        self.gate.tick(now, members);
        self.feed_orders(now);
        let members = self.members.table();
        self.orders
            .tick(now, members, self.catalogue.view(), outbox);
        if self.members.is_heartbeat_due(now) || self.targets.urgent_news() {
            let news = HeartbeatNews {
                catalogue_revision: self.catalogue.view().revision(),
                layout: self.layout.known().copied(),
                targets: self.targets.take_news(now),
                limits: self.gate.take_limits(now),
            };
            self.members.beat(now, news, outbox);
        }
        self.members.tick(now, outbox);
        self.report_gauges(now, outbox);
    }

    fn report_gauges(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if now.since(self.gauges_told) < GAUGES_MS {
            return;
        }
        self.gauges_told = now;
        let members = self.members.table();
        let peers = members.iter().filter(|(_, entry)| {
            entry.domain == *members.domain() && entry.liveness == MemberLiveness::Live
        });
        let peers = peers.count() as u64;
        for gauge in GaugeName::ALL {
            let level = match gauge {
                GaugeName::OpenCalls => self.calls.open_calls() as u64,
                GaugeName::UnjournalledBills => self.money.unjournalled(),
                GaugeName::GrantsHeld => self.money.grants().len() as u64,
                GaugeName::PeersLive => peers,
                GaugeName::TargetsLive => self.targets.live_count(now),
                GaugeName::CatalogueRevision => self.catalogue.view().revision(),
            };
            outbox.act(ReportAction::Gauge { gauge, level });
        }
    }

    /// Tells the orders what is known of engines, by own probes and by those of peers.
    fn feed_orders(&mut self, now: ClockTime) {
        if now.since(self.orders_fed) < ORDERS_FEED_MS {
            return;
        }
        self.orders_fed = now;
        let engines: Vec<_> = self.targets.engines().collect();
        let listed = engines.iter().map(|news| news.target.clone()).collect();
        self.orders.retain_targets(&listed);
        for news in engines {
            let checks_fence = self.members.hosts().checks_fence(&news.target);
            self.orders.on_target_state(
                now,
                news.target,
                news.address,
                news.service,
                checks_fence,
                Some(news.state),
            );
        }
    }

    fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        let members = self.members.table();
        match ticket.duty {
            PlatformDuty::Money => self.money.on_platform(now, ticket, reply, members, outbox),
            PlatformDuty::Once => self.once.on_platform(now, ticket, reply, outbox),
            PlatformDuty::Catalogue => {
                self.catalogue
                    .on_platform(now, ticket, reply, members, outbox);
            }
            PlatformDuty::Members => self.members.on_platform(now, ticket, reply, outbox),
            PlatformDuty::Orders => self.orders.on_platform(now, ticket, reply, outbox),
            PlatformDuty::Layout => self.on_layout(now, &reply),
        }
    }

    fn on_layout(&mut self, now: ClockTime, reply: &PlatformReply) {
        self.layout.on_platform(now, reply);
        self.use_layout();
    }

    fn use_layout(&mut self) {
        if let Some(layout) = self.layout.known() {
            self.money.set_layout(layout);
            self.once.set_layout(layout);
        }
    }

    fn on_peer(
        &mut self,
        now: ClockTime,
        from: RouterIncarnation,
        message: PeerMessage,
        outbox: &mut CoreOutbox,
    ) {
        let is_ready = self.layout.known().is_some();
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, &from, heartbeat, outbox),
            PeerMessage::HostsRequest => self.members.answer_hosts(&from, outbox),
            PeerMessage::HostsUpdate { version, hosts } => {
                self.members.on_peer_hosts(now, version, hosts, outbox);
            }
            PeerMessage::CatalogueRequest { .. } | PeerMessage::CatalogueUpdate { .. } => {
                self.catalogue
                    .on_peer(now, &from, message, self.members.table(), outbox);
            }
            // A request that cannot be placed yet is left unanswered: its sender goes elsewhere.
            PeerMessage::AdmitRequest(_) | PeerMessage::RecordRequest(_) if !is_ready => {}
            PeerMessage::AdmitRequest(_)
            | PeerMessage::AdmitReply { .. }
            | PeerMessage::ProgressReport { .. }
            | PeerMessage::SettleRequest(_)
            | PeerMessage::SettleReply { .. }
            | PeerMessage::BillsDurable { .. }
            | PeerMessage::CallUnknown { .. }
            | PeerMessage::WitnessNote(_)
            | PeerMessage::WitnessReply { .. } => {
                self.money
                    .on_peer(now, &from, message, self.members.table(), outbox);
            }
            PeerMessage::RecordRequest(_) | PeerMessage::RecordReply { .. } => {
                self.once
                    .on_peer(now, from, message, self.members.table(), outbox);
            }
        }
    }

    fn on_heartbeat(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        heartbeat: PeerHeartbeat,
        outbox: &mut CoreOutbox,
    ) {
        if heartbeat.domain == *self.members.table().domain() {
            self.targets.on_news(now, from, &heartbeat.targets);
            self.gate.on_limits(now, from, &heartbeat.limits);
        }
        self.members.on_peer(now, from, &heartbeat, outbox);
        if let Some(layout) = heartbeat.layout.filter(|_| self.layout.known().is_none()) {
            self.layout.learn(layout);
            self.use_layout();
        }
        let revision = heartbeat.catalogue_revision;
        self.catalogue
            .on_heartbeat_revision(now, from, revision, self.members.table(), outbox);
    }

    fn on_target(&mut self, now: ClockTime, event: TargetEvent, outbox: &mut CoreOutbox) {
        self.targets.on_target(now, &event, outbox);
        if let TargetEvent::Ordered {
            target,
            fence,
            outcome,
        } = &event
        {
            self.orders.on_ordered(now, target, *fence, *outcome);
        }
    }

    fn settle_signals(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        while let Some(signal) = outbox.signals.pop_front() {
            self.on_signal(now, &signal, outbox);
        }
    }

    fn on_signal(&mut self, now: ClockTime, signal: &CoreSignal, outbox: &mut CoreOutbox) {
        match signal {
            CoreSignal::AdmitDone { .. }
            | CoreSignal::RecordDone { .. }
            | CoreSignal::SettleDone { .. } => {
                let (calls, mut context) = self.split(outbox);
                calls.on_signal(now, signal, &mut context);
            }
            CoreSignal::MemberUp(_) | CoreSignal::MemberDown(_) | CoreSignal::MemberGone(_) => {
                self.money
                    .on_signal(now, signal, self.members.table(), outbox);
            }
            CoreSignal::HostsChanged => {
                self.targets
                    .on_hosts(now, &self.members.hosts().hosts, outbox);
            }
            CoreSignal::CatalogueChanged { .. } | CoreSignal::HostLeaving(_) => {}
        }
    }

    fn drain(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if self.phase != DrainPhase::Serving {
            return;
        }
        self.phase = DrainPhase::EndingCalls;
        self.calls.drain();
        self.members.drain(now, outbox);
        outbox.act(CallAction::StopAccepting);
    }

    fn advance_drain(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if self.phase == DrainPhase::EndingCalls && self.calls.open_calls() == 0 {
            self.phase = DrainPhase::HandingOver;
            self.money.drain(now, self.members.table(), outbox);
        }
        if self.phase == DrainPhase::HandingOver && self.money.is_drained() && self.once.is_idle() {
            self.phase = DrainPhase::Left;
            self.members.leave(now, outbox);
            outbox.act(CoreAction::Exit);
        }
    }

    fn status(&self, now: ClockTime) -> RouterStatus {
        RouterStatus {
            router: self.me.clone(),
            domain: self.members.table().domain().clone(),
            state: self.state(),
            catalogue_revision: self.catalogue.view().revision(),
            open_calls: self.calls.open_calls() as u64,
            unjournalled_bills: self.money.unjournalled(),
            peers: self.members.status(now),
            grants: self.money.grants(),
            targets: self.targets.status(now),
        }
    }

    fn state(&self) -> RouterState {
        match self.phase {
            DrainPhase::Serving => RouterState::Live,
            DrainPhase::EndingCalls | DrainPhase::HandingOver => RouterState::Draining,
            DrainPhase::Left => RouterState::Left,
        }
    }
}

/// Until the layout is known nothing can be reserved.
fn refuse_unready(call: &CallId, outbox: &mut CoreOutbox) {
    let refusal = CallRefusal::not_run(RefusalReason::NoCatalogue, Some(UNREADY_RETRY_MS));
    let counter = CounterName::Refused(refusal.reason);
    outbox.act(ReportAction::Count(counter));
    outbox.act(CallAction::Refuse {
        call: call.clone(),
        refusal,
    });
}
