//! The `router_core` module provides the function from events to actions.

use super::RouterOptions;
use super::layout_manager::LayoutManager;
use crate::accounting::AccountingManager;
use crate::admission::{AdmissionGate, RetryPolicy};
use crate::call::{CallAction, CallEvent};
use crate::calls::{CallContext, CallManager};
use crate::catalogue::CatalogueManager;
use crate::dedup::DedupManager;
use crate::members::{HeartbeatUpdate, MemberManager};
use crate::orders::OrderManager;
use crate::prelude::*;
use crate::report::{CounterName, ReportAction};
use crate::status::GrantStatus;
use crate::targets::TargetTable;

/// The `Retry-After` of calls that arrive before the layout is known, in milliseconds.
const UNREADY_RETRY_MS: u64 = 1_000;

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainPhase {
    /// The router takes calls.
    Serving,
    /// Open calls continue to their end; new ones are refused.
    EndingCalls,
    /// Bills are being journalled and grants returned.
    HandingOver,
    /// Everything is handed over.
    Left,
}

/// All decisions of one router.
#[derive(Debug)]
pub struct RouterCore {
    pub(super) me: RouterIncarnation,
    pub(super) phase: DrainPhase,
    pub(super) layout: LayoutManager,
    pub(super) calls: CallManager,
    pub(super) accounting: AccountingManager,
    pub(super) dedup: DedupManager,
    pub(super) members: MemberManager,
    pub(super) catalogue: CatalogueManager,
    pub(super) targets: TargetTable,
    pub(super) gate: AdmissionGate,
    pub(super) retries: RetryPolicy,
    pub(super) orders: OrderManager,
    pub(super) orders_updated_at: ClockTime,
    pub(super) gauges_reported_at: ClockTime,
}

impl RouterCore {
    /// Creates a router that has not started.
    pub fn new(options: RouterOptions) -> Self {
        let me = options.me;
        let domain = options.domain;
        RouterCore {
            phase: DrainPhase::Serving,
            layout: LayoutManager::new(options.layout),
            calls: CallManager::new(options.calls),
            accounting: AccountingManager::awaiting_layout(options.accounting, me.clone()),
            dedup: DedupManager::new(options.dedup, me.clone()),
            members: MemberManager::new(
                options.members,
                me.clone(),
                domain.clone(),
                options.peer_address,
            ),
            catalogue: CatalogueManager::new(options.catalogue, me.clone()),
            targets: TargetTable::new(options.targets, me.clone(), domain, options.seed),
            gate: AdmissionGate::new(options.admission, options.seed),
            retries: RetryPolicy::new(options.retries, options.seed),
            orders: OrderManager::new(options.orders, me.clone()),
            orders_updated_at: ClockTime::ZERO,
            gauges_reported_at: ClockTime::ZERO,
            me,
        }
    }

    /// Handles one event and adds the resulting actions to `outbox`. The same events always give
    /// the same actions; `now` must not go backwards.
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
        self.dispatch_signals(now, outbox);
        self.advance_drain(now, outbox);
        self.dispatch_signals(now, outbox);
    }

    /// How many calls are open.
    pub fn open_calls(&self) -> usize {
        self.calls.open_calls()
    }

    /// The catalogue revision in effect.
    pub fn catalogue_revision(&self) -> u64 {
        self.catalogue.view().revision()
    }

    /// The grants that the router holds.
    pub fn grants(&self) -> Vec<GrantStatus> {
        self.accounting.grants()
    }

    /// Whether the router can take calls: it has a layout and a catalogue and does not drain.
    pub fn is_serving(&self) -> bool {
        let is_ready = self.layout.known().is_some() && self.catalogue.view().revision() > 0;
        is_ready && self.phase == DrainPhase::Serving
    }

    pub(super) fn split<'a>(
        &'a mut self,
        outbox: &'a mut CoreOutbox,
    ) -> (&'a mut CallManager, CallContext<'a>) {
        let context = CallContext {
            view: self.catalogue.view(),
            members: self.members.table(),
            accounting: &mut self.accounting,
            dedup: &mut self.dedup,
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
        self.accounting.tick(now, members, outbox);
        self.dedup.tick(now, members, outbox);
        self.targets.tick(now, members, outbox);
        self.gate.tick(now, members);
        self.update_orders(now);
        let members = self.members.table();
        self.orders
            .tick(now, members, self.catalogue.view(), outbox);
        if self.members.is_heartbeat_due(now) || self.targets.has_urgent_update() {
            let update = HeartbeatUpdate {
                catalogue_revision: self.catalogue.view().revision(),
                layout: self.layout.known().copied(),
                targets: self.targets.take_updates(now),
                limits: self.gate.take_limits(now),
            };
            self.members.send_heartbeat(now, update, outbox);
        }
        self.members.tick(now, outbox);
        self.report_gauges(now, outbox);
    }

    fn dispatch_signals(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        while let Some(signal) = outbox.signals.pop_front() {
            self.on_signal(now, &signal, outbox);
        }
    }
}

/// Nothing can be reserved until the layout is known.
fn refuse_unready(call: &CallId, outbox: &mut CoreOutbox) {
    let refusal = CallRefusal::not_run(RefusalReason::NoCatalogue, Some(UNREADY_RETRY_MS));
    let counter = CounterName::Refused(refusal.reason);
    outbox.act(ReportAction::Count(counter));
    outbox.act(CallAction::Refuse {
        call: call.clone(),
        refusal,
    });
}
