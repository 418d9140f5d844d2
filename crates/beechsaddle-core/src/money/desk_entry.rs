//! The `desk_entry` module provides what a router does for the calls that it took itself.

use std::collections::BTreeMap;

use super::desk_turn::DeskTurn;
use super::entry_call::{EntryCall, EntryStage};
use super::money_desk::MoneyDesk;
use crate::peer::{AdmitRequest, CallProgress, PeerMessage};
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

    pub(super) fn on_witness_reply(
        &mut self,
        turn: &mut DeskTurn<'_>,
        from: &RouterIncarnation,
        call: &CallId,
    ) {
        self.release_call(turn, call);
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        if entry.stage == EntryStage::Durable {
            entry.witnesses.remove(from);
            self.finish_entry(turn, call);
        }
    }

    /// Forgets a call once no other router keeps a copy that it could bill again.
    fn finish_entry(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
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

    /// Tells a holder that asks how a call of this router stands.
    fn tell_state(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get(call) else {
            return;
        };
        if entry.stage != EntryStage::Running {
            return self.send_settle(turn, call);
        }
        let calls = vec![CallProgress {
            call: call.clone(),
            tokens: entry.tokens,
        }];
        let holder = entry.holder.clone();
        if holder != self.me {
            turn.send(&holder, PeerMessage::ProgressReport { calls });
        }
    }

    fn send_settle(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get(call) else {
            return;
        };
        let holder = entry.holder.clone();
        if holder == self.me {
            let request = entry.settle_request(None);
            let is_noted = !entry.ran || entry.is_released;
            self.hold_settle(turn, &holder, request);
            if !is_noted {
                self.place_note(turn, call);
            }
        } else if !turn.is_gone(&holder) {
            let request = entry.settle_request(None);
            turn.send(&holder, PeerMessage::SettleRequest(request));
        } else {
            self.hand_over(turn, call);
        }
    }

    /// Gives a call whose holder is gone to the router that is picked now. Its bill is taken
    /// against what was written off of the holder's journal.
    fn hand_over(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let request = entry.settle_request(entry.journal.clone());
        let successor = turn.members.picked_for(entry.request.budget.as_str());
        if successor == self.me {
            self.hold_settle(turn, &successor, request);
            return self.place_note(turn, call);
        }
        entry.witnesses.insert(successor.clone());
        turn.send(&successor, PeerMessage::SettleRequest(request));
    }

    /// Places a copy of a call with another router than its holder, so that the usage survives the
    /// death of this one. Without another router the call goes on alone.
    pub(super) fn place_note(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let Some(note) = entry.note() else {
            return;
        };
        let ranked = turn.members.ranked(entry.request.budget.as_str());
        let witness = ranked
            .into_iter()
            .find(|router| *router != self.me && *router != entry.holder);
        let is_ended = note.ended;
        let Some(witness) = witness else {
            if is_ended && entry.holder == self.me {
                self.release_call(turn, call);
            }
            return;
        };
        entry.witnesses.insert(witness.clone());
        turn.send(&witness, PeerMessage::WitnessNote(note));
    }

    fn report_progress(&mut self, turn: &mut DeskTurn<'_>) {
        let mut reports: BTreeMap<RouterIncarnation, Vec<CallProgress>> = BTreeMap::new();
        for (call, entry) in &mut self.entries {
            if entry.stage != EntryStage::Running || entry.tokens == entry.reported {
                continue;
            }
            entry.reported = entry.tokens;
            let receivers = entry.witnesses.iter().chain([&entry.holder]);
            for receiver in receivers.filter(|receiver| **receiver != self.me) {
                let progress = CallProgress {
                    call: call.clone(),
                    tokens: entry.tokens,
                };
                reports.entry(receiver.clone()).or_default().push(progress);
            }
        }
        for (receiver, calls) in reports {
            turn.send(&receiver, PeerMessage::ProgressReport { calls });
        }
    }

    /// What the death of another router means for the calls that this one took.
    pub(super) fn entries_on_gone(&mut self, turn: &mut DeskTurn<'_>, gone: &RouterIncarnation) {
        let calls: Vec<CallId> = self.entries.keys().cloned().collect();
        for call in &calls {
            let Some(entry) = self.entries.get_mut(call) else {
                continue;
            };
            entry.witnesses.remove(gone);
            let is_holder = entry.holder == *gone;
            match entry.stage {
                EntryStage::Asking if is_holder => self.hold_for_self(turn, call),
                EntryStage::Running if is_holder => self.place_note(turn, call),
                EntryStage::Ended if is_holder => self.send_settle(turn, call),
                EntryStage::Durable => self.finish_entry(turn, call),
                EntryStage::Asking | EntryStage::Running | EntryStage::Ended => {}
            }
        }
    }

    /// Whether every call that this router took is over.
    pub(super) fn has_entries(&self) -> bool {
        self.entries.values().any(|entry| {
            matches!(entry.stage, EntryStage::Running | EntryStage::Ended) && entry.ran
        })
    }

    pub(super) fn count_over_bound(&self, turn: &mut DeskTurn<'_>) {
        turn.count(CounterName::UsageOverBound);
    }
}
