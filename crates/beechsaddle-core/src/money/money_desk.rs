//! The `money_desk` module provides the router's decisions on budgets and bills.

use std::collections::BTreeMap;

use super::MoneyOptions;
use crate::members::MemberTable;
use crate::peer::{AdmitRequest, PeerMessage};
use crate::platform::{PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::status::GrantStatus;

/// Decides on budgets, grants, journals and bills.
#[derive(Debug)]
pub struct MoneyDesk {
    #[allow(dead_code)]
    options: MoneyOptions,
    #[allow(dead_code)]
    me: RouterIncarnation,
    open: BTreeMap<CallId, u64>,
}

impl MoneyDesk {
    /// A desk that holds nothing.
    pub fn new(options: MoneyOptions, me: RouterIncarnation) -> Self {
        MoneyDesk {
            options,
            me,
            open: BTreeMap::new(),
        }
    }

    /// Asks for a reservation; called at the call's entry router. Exactly one
    /// [`CoreSignal::AdmitDone`] follows in bounded time.
    pub fn admit(
        &mut self,
        _now: ClockTime,
        request: AdmitRequest,
        _members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let call = request.call.clone();
        self.open.insert(request.call, request.bound);
        outbox.signal(CoreSignal::AdmitDone {
            call,
            outcome: Ok(()),
        });
    }

    /// Notes the usage of a running call; called at its entry router.
    pub fn progress(&mut self, _now: ClockTime, _call: &CallId, _tokens: u64) {}

    /// Ends a call; called at its entry router. One [`CoreSignal::SettleDone`] follows in bounded
    /// time.
    #[allow(clippy::too_many_arguments)]
    pub fn settle(
        &mut self,
        _now: ClockTime,
        call: &CallId,
        _tokens: u64,
        _ran: bool,
        _complete: bool,
        _members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        self.open.remove(call);
        outbox.signal(CoreSignal::SettleDone { call: call.clone() });
    }

    /// Takes a message of another router that concerns money.
    pub fn on_peer(
        &mut self,
        _now: ClockTime,
        _from: &RouterIncarnation,
        _message: PeerMessage,
        _members: &MemberTable,
        _outbox: &mut CoreOutbox,
    ) {
    }

    /// Takes the outcome of one of its platform calls.
    pub fn on_platform(
        &mut self,
        _now: ClockTime,
        _ticket: PlatformTicket,
        _reply: PlatformReply,
        _members: &MemberTable,
        _outbox: &mut CoreOutbox,
    ) {
    }

    /// Takes what other duties learned of routers.
    pub fn on_signal(
        &mut self,
        _now: ClockTime,
        _signal: &CoreSignal,
        _members: &MemberTable,
        _outbox: &mut CoreOutbox,
    ) {
    }

    /// Does what is due by time.
    pub fn tick(&mut self, _now: ClockTime, _members: &MemberTable, _outbox: &mut CoreOutbox) {}

    /// Starts to hand over everything.
    pub fn drain(&mut self, _now: ClockTime, _members: &MemberTable, _outbox: &mut CoreOutbox) {}

    /// Whether everything is handed over.
    pub fn is_drained(&self) -> bool {
        self.open.is_empty()
    }

    /// The grants that are held.
    pub fn grants(&self) -> Vec<GrantStatus> {
        Vec::new()
    }

    /// Bills that are not yet durable.
    pub fn unjournalled(&self) -> u64 {
        0
    }
}
