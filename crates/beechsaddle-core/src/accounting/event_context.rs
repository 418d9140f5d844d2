//! The `event_context` module provides the inputs and outputs of handling one event.

use crate::members::{MemberLiveness, MemberTable};
use crate::peer::PeerMessage;
use crate::prelude::*;
use crate::report::{CounterName, LogLevel, LogLine, ReportAction};

/// The time, the known routers and the queued actions while one event is handled.
#[derive(Debug)]
pub(super) struct EventContext<'a> {
    pub(super) now: ClockTime,
    pub(super) members: &'a MemberTable,
    pub(super) outbox: &'a mut CoreOutbox,
}

impl EventContext<'_> {
    pub(super) fn send(&mut self, to: &RouterIncarnation, message: PeerMessage) {
        let Some(address) = self.members.address_of(to) else {
            self.count(CounterName::PeerSendFailed);
            return;
        };
        let address = address.to_owned();
        self.outbox.act(CoreAction::Peer {
            to: to.clone(),
            address,
            message,
        });
    }

    pub(super) fn count(&mut self, counter: CounterName) {
        self.outbox.act(ReportAction::Count(counter));
    }

    pub(super) fn add(&mut self, counter: CounterName, amount: u64) {
        if amount > 0 {
            self.outbox.act(ReportAction::Add { counter, amount });
        }
    }

    pub(super) fn log(
        &mut self,
        level: LogLevel,
        event: &'static str,
        fields: Vec<(&'static str, String)>,
    ) {
        let line = LogLine {
            level,
            event,
            fields,
        };
        self.outbox.act(ReportAction::Log(line));
    }

    /// Whether another router is known but not live: it is dead, suspended or partitioned.
    pub(super) fn is_silent(&self, router: &RouterIncarnation) -> bool {
        let entry = self.members.get(router);
        *router != *self.members.me()
            && entry.is_some_and(|entry| entry.liveness != MemberLiveness::Live)
    }

    /// Whether another router is gone: its process ended, or it is no longer a known member.
    pub(super) fn is_gone(&self, router: &RouterIncarnation) -> bool {
        let entry = self.members.get(router);
        entry.is_none_or(|entry| entry.liveness == MemberLiveness::Gone)
    }

    /// Whether a later process runs on a router's host.
    pub(super) fn is_replaced(&self, router: &RouterIncarnation) -> bool {
        let known = self.members.iter().map(|(other, _)| other);
        known
            .chain([self.members.me()])
            .any(|other| other.host == router.host && other.epoch > router.epoch)
    }
}
