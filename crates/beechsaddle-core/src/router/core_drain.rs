//! The `core_drain` module provides the steps of a graceful shutdown.

use super::RouterCore;
use super::router_core::DrainPhase;
use crate::call::CallAction;
use crate::prelude::*;

impl RouterCore {
    pub(super) fn drain(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if self.phase != DrainPhase::Serving {
            return;
        }
        self.phase = DrainPhase::EndingCalls;
        self.calls.drain();
        self.members.drain(now, outbox);
        outbox.act(CallAction::StopAccepting);
    }

    pub(super) fn advance_drain(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        if self.phase == DrainPhase::EndingCalls && self.calls.open_calls() == 0 {
            self.phase = DrainPhase::HandingOver;
            self.accounting.drain(now, self.members.table(), outbox);
        }
        if self.phase == DrainPhase::HandingOver
            && self.accounting.is_drained()
            && self.dedup.is_idle()
        {
            self.phase = DrainPhase::Left;
            self.members.leave(now, outbox);
            outbox.act(CoreAction::Exit);
        }
    }
}
