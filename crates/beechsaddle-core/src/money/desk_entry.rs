//! The `desk_entry` module provides what a router does for the calls that it took itself.

use super::desk_turn::DeskTurn;
use super::entry_call::{EntryCall, EntryStage};
use super::money_desk::MoneyDesk;
use crate::peer::{AdmitRequest, PeerMessage};
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

/// How often the usage of running calls is told to holders and witnesses, in milliseconds.
const PROGRESS_PERIOD_MS: u64 = 1_000;

impl MoneyDesk {
    pub(super) fn enter_call(&mut self, turn: &mut DeskTurn<'_>, request: AdmitRequest) {
        let holder = turn.members.picked_for(request.budget.as_str());
        let entry = EntryCall::new(request.clone(), holder.clone(), turn.now);
        self.entries.insert(request.call.clone(), entry);
        if holder == self.me {
            self.hold_call(turn, request);
        } else {
            turn.send(&holder, PeerMessage::AdmitRequest(request));
        }
    }

    pub(super) fn on_admit_reply(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        call: &CallId,
        outcome: Result<KeyText, CallRefusal>,
    ) {
        let Some(entry) = self.entries.get_mut(call) else {
            return self.disown_call(turn, from, call, outcome);
        };
        let is_asked = entry.stage == EntryStage::Asking && entry.holder == *from;
        match outcome {
            Ok(journal) if is_asked => {
                entry.journal = Some(journal);
                entry.enter(EntryStage::Running, turn.now);
                turn.outbox.signal(CoreSignal::AdmitDone {
                    call: call.clone(),
                    outcome: Ok(()),
                });
                if *from == self.me {
                    self.place_note(turn, call);
                }
            }
            Err(refusal) if is_asked => self.on_refusal(turn, from, call, refusal),
            Ok(journal) if entry.journal.as_ref() == Some(&journal) => {
                // The holder asks what became of the call, or is back after it was given up.
                entry.holder = from.clone();
                self.tell_state(turn, call);
            }
            outcome => self.disown_call(turn, from, call, outcome),
        }
    }

    pub(super) fn end_call(
        &mut self,
        turn: &mut DeskTurn<'_>,
        call: &CallId,
        tokens: u64,
        ran: bool,
        complete: bool,
    ) {
        let Some(entry) = self.entries.get_mut(call) else {
            turn.outbox
                .signal(CoreSignal::SettleDone { call: call.clone() });
            return;
        };
        if entry.stage == EntryStage::Asking {
            // The reservation may still be made. The holder then gets no progress, asks, and is
            // told that the call is unknown.
            let is_own = entry.holder == self.me;
            self.entries.remove(call);
            if is_own {
                self.cancel_waiting(turn.now, call);
            }
            turn.outbox
                .signal(CoreSignal::SettleDone { call: call.clone() });
            return;
        }
        if entry.stage != EntryStage::Running {
            return;
        }
        entry.enter(EntryStage::Ended, turn.now);
        entry.tokens = tokens;
        entry.ran = ran;
        entry.complete = complete;
        if !ran {
            self.release_call(turn, call);
        }
        self.send_settle(turn, call);
    }

    /// Lets the last part of an answer go: a second router knows its usage.
    pub(super) fn release_call(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let is_ended = matches!(entry.stage, EntryStage::Ended | EntryStage::Durable);
        if is_ended && !entry.is_released {
            entry.is_released = true;
            turn.outbox
                .signal(CoreSignal::SettleDone { call: call.clone() });
        }
    }

    /// Notes that the bill of a call that this router took is durable at `holder`.
    pub(super) fn entry_durable(
        &mut self,
        turn: &mut DeskTurn<'_>,
        holder: &RouterIncarnation,
        call: &CallId,
    ) {
        self.release_call(turn, call);
        let Some(entry) = self.entries.get_mut(call) else {
            return self.confirm_bill(turn, holder, call);
        };
        if matches!(entry.stage, EntryStage::Asking | EntryStage::Running) {
            // A witness that took this router for gone billed the call while it runs.
            return;
        }
        entry.durable_at = Some(holder.clone());
        entry.witnesses.remove(holder);
        if entry.stage != EntryStage::Durable {
            entry.enter(EntryStage::Durable, turn.now);
            entry.sent_at = turn.now;
            for witness in &entry.witnesses {
                let calls = vec![call.clone()];
                turn.send(witness, PeerMessage::BillsDurable { calls });
            }
        }
        self.finish_entry(turn, call);
    }

    /// Forgets a call once no other router keeps a copy that it could bill again.
    pub(super) fn finish_entry(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let is_over = self
            .entries
            .get(call)
            .is_some_and(|entry| entry.stage == EntryStage::Durable && entry.witnesses.is_empty());
        if !is_over {
            return;
        }
        let holder = self.entries.remove(call).and_then(|entry| entry.durable_at);
        if let Some(holder) = holder {
            self.confirm_bill(turn, &holder, call);
        }
    }

    fn confirm_bill(&mut self, turn: &mut DeskTurn<'_>, holder: &RouterIncarnation, call: &CallId) {
        if *holder == self.me {
            self.unconfirmed.remove(call);
            self.billed.remove(call);
            return;
        }
        let calls = vec![call.clone()];
        turn.send(holder, PeerMessage::BillsDurable { calls });
    }

    pub(super) fn tick_entries(&mut self, turn: &mut DeskTurn<'_>) {
        let calls: Vec<CallId> = self.entries.keys().cloned().collect();
        for call in &calls {
            self.tick_entry(turn, call);
        }
        if turn.now.since(self.progress_at) >= PROGRESS_PERIOD_MS {
            self.progress_at = turn.now;
            self.report_progress(turn);
        }
    }

    fn tick_entry(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let waited = turn.now.since(entry.stage_since);
        let is_resend = turn.now.since(entry.sent_at) >= self.options.resend_ms;
        match entry.stage {
            EntryStage::Asking => {
                if entry.holder != self.me && waited >= self.options.holder_timeout_ms {
                    self.hold_for_self(turn, call);
                }
            }
            EntryStage::Running => {}
            EntryStage::Ended => {
                let is_late = waited >= self.options.settle_timeout_ms;
                let is_released = entry.is_released;
                if is_resend {
                    entry.sent_at = turn.now;
                    self.send_settle(turn, call);
                }
                if !is_released && waited >= self.options.settle_timeout_ms / 2 {
                    self.place_note(turn, call);
                }
                if !is_released && is_late {
                    let fields = vec![("call", call.to_string())];
                    turn.log(LogLevel::Warning, "settle_unwitnessed", fields);
                    self.release_call(turn, call);
                }
            }
            EntryStage::Durable => {
                if is_resend {
                    entry.sent_at = turn.now;
                    for witness in &entry.witnesses {
                        let calls = vec![call.clone()];
                        turn.send(witness, PeerMessage::BillsDurable { calls });
                    }
                }
            }
        }
    }

    /// A router that cannot reach the holder holds the budget itself, with a grant of its own: the
    /// caller's wait is bounded, and safety does not rest on there being one holder.
    pub(super) fn hold_for_self(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        entry.holder = self.me.clone();
        entry.is_contested = true;
        entry.stage_since = turn.now;
        let request = entry.request.clone();
        self.hold_call(turn, request);
    }

    fn on_refusal(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        call: &CallId,
        refusal: CallRefusal,
    ) {
        let is_elsewhere = matches!(
            refusal.reason,
            RefusalReason::HolderUnreachable | RefusalReason::Draining
        );
        if is_elsewhere && *from != self.me && !self.is_draining() {
            return self.hold_for_self(turn, call);
        }
        self.entries.remove(call);
        turn.outbox.signal(CoreSignal::AdmitDone {
            call: call.clone(),
            outcome: Err(refusal),
        });
    }

    /// Answers a reservation that this router does not use, so that it does not stay for ever when
    /// an admit reply was lost or late.
    fn disown_call(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        call: &CallId,
        outcome: Result<KeyText, CallRefusal>,
    ) {
        let Ok(journal) = outcome else {
            return;
        };
        if *from == self.me {
            return self.drop_reservation(turn, call, &journal);
        }
        let call = call.clone();
        turn.send(from, PeerMessage::CallUnknown { call, journal });
    }

    /// Whether a call that this router took has run and its bill is not known to be durable.
    pub(super) fn has_unbilled_calls(&self) -> bool {
        self.entries.values().any(|entry| {
            matches!(entry.stage, EntryStage::Running | EntryStage::Ended) && entry.ran
        })
    }

    pub(super) fn count_over_bound(&self, turn: &mut DeskTurn<'_>) {
        turn.count(CounterName::UsageOverBound);
    }
}
