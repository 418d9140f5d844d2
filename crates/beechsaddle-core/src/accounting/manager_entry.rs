//! The `manager_entry` module provides the accounting of calls at their entry router.

use super::accounting_manager::AccountingManager;
use super::entry_call::{EntryCall, EntryStage};
use super::event_context::EventContext;
use crate::peer::{AdmitRequest, PeerMessage};
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

/// Period of the usage reports to holders and backups, in milliseconds.
const PROGRESS_PERIOD_MS: u64 = 1_000;

impl AccountingManager {
    pub(super) fn start_call(&mut self, context: &mut EventContext<'_>, request: AdmitRequest) {
        let holder = context.members.picked_for(request.budget.as_str());
        let entry = EntryCall::new(request.clone(), holder.clone(), context.now);
        self.entries.insert(request.call.clone(), entry);
        if holder == self.me {
            self.admit_as_holder(context, request);
        } else {
            context.send(&holder, PeerMessage::AdmitRequest(request));
        }
    }

    pub(super) fn on_admit_reply(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        call: &CallId,
        outcome: Result<KeyText, CallRefusal>,
    ) {
        let Some(entry) = self.entries.get_mut(call) else {
            return self.decline_reservation(context, from, call, outcome);
        };
        let is_expected = entry.stage == EntryStage::Admitting && entry.holder == *from;
        match outcome {
            Ok(journal) if is_expected => {
                entry.journal = Some(journal);
                entry.set_stage(EntryStage::Running, context.now);
                context.outbox.signal(CoreSignal::AdmitDone {
                    call: call.clone(),
                    outcome: Ok(()),
                });
                if *from == self.me {
                    self.send_copy(context, call);
                }
            }
            Err(refusal) if is_expected => self.on_refusal(context, from, call, refusal),
            Ok(journal) if entry.journal.as_ref() == Some(&journal) => {
                // The holder queries the state of the call, or is back after another holder took
                // over.
                entry.holder = from.clone();
                self.send_state(context, call);
            }
            outcome => self.decline_reservation(context, from, call, outcome),
        }
    }

    pub(super) fn end_call(
        &mut self,
        context: &mut EventContext<'_>,
        call: &CallId,
        tokens: u64,
        ran: bool,
        complete: bool,
    ) {
        let Some(entry) = self.entries.get_mut(call) else {
            context
                .outbox
                .signal(CoreSignal::SettleDone { call: call.clone() });
            return;
        };
        if entry.stage == EntryStage::Admitting {
            // The reservation may still be made. Its holder then receives no progress, queries the
            // call, and gets the reply that it is unknown.
            let is_own = entry.holder == self.me;
            self.entries.remove(call);
            if is_own {
                self.cancel_waiting(context.now, call);
            }
            context
                .outbox
                .signal(CoreSignal::SettleDone { call: call.clone() });
            return;
        }
        if entry.stage != EntryStage::Running {
            return;
        }
        entry.set_stage(EntryStage::Ended, context.now);
        entry.tokens = tokens;
        entry.ran = ran;
        entry.complete = complete;
        if !ran {
            self.release_call(context, call);
        }
        self.send_settle(context, call);
    }

    /// Releases the last part of a response: a second router has the usage.
    pub(super) fn release_call(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let is_ended = matches!(entry.stage, EntryStage::Ended | EntryStage::Durable);
        if is_ended && !entry.is_released {
            entry.is_released = true;
            context
                .outbox
                .signal(CoreSignal::SettleDone { call: call.clone() });
        }
    }

    /// Handles a report from `holder` that the bill of a call entered here is durable.
    pub(super) fn entry_durable(
        &mut self,
        context: &mut EventContext<'_>,
        holder: &RouterIncarnation,
        call: &CallId,
    ) {
        self.release_call(context, call);
        let Some(entry) = self.entries.get_mut(call) else {
            return self.confirm_bill(context, holder, call);
        };
        if matches!(entry.stage, EntryStage::Admitting | EntryStage::Running) {
            // A backup that took this router for gone billed the call while it was running.
            return;
        }
        entry.durable_holder = Some(holder.clone());
        entry.backups.remove(holder);
        if entry.stage != EntryStage::Durable {
            entry.set_stage(EntryStage::Durable, context.now);
            entry.sent_at = context.now;
            for backup in &entry.backups {
                let calls = vec![call.clone()];
                context.send(backup, PeerMessage::BillsDurable { calls });
            }
        }
        self.finish_entry(context, call);
    }

    /// Drops a call once no other router has a copy that it could bill again.
    pub(super) fn finish_entry(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let is_over = self
            .entries
            .get(call)
            .is_some_and(|entry| entry.stage == EntryStage::Durable && entry.backups.is_empty());
        if !is_over {
            return;
        }
        let holder = self
            .entries
            .remove(call)
            .and_then(|entry| entry.durable_holder);
        if let Some(holder) = holder {
            self.confirm_bill(context, &holder, call);
        }
    }

    fn confirm_bill(
        &mut self,
        context: &mut EventContext<'_>,
        holder: &RouterIncarnation,
        call: &CallId,
    ) {
        if *holder == self.me {
            self.unconfirmed.remove(call);
            self.billed.remove(call);
            return;
        }
        let calls = vec![call.clone()];
        context.send(holder, PeerMessage::BillsDurable { calls });
    }

    pub(super) fn tick_entries(&mut self, context: &mut EventContext<'_>) {
        let calls: Vec<CallId> = self.entries.keys().cloned().collect();
        for call in &calls {
            self.tick_entry(context, call);
        }
        if context.now.since(self.progress_at) >= PROGRESS_PERIOD_MS {
            self.progress_at = context.now;
            self.report_progress(context);
        }
    }

    fn tick_entry(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let waited = context.now.since(entry.stage_since);
        let is_resend_due = context.now.since(entry.sent_at) >= self.options.resend_ms;
        match entry.stage {
            EntryStage::Admitting => {
                if entry.holder != self.me && waited >= self.options.holder_timeout_ms {
                    self.become_holder(context, call);
                }
            }
            EntryStage::Running => {}
            EntryStage::Ended => {
                let is_late = waited >= self.options.settle_timeout_ms;
                let is_released = entry.is_released;
                if is_resend_due {
                    entry.sent_at = context.now;
                    self.send_settle(context, call);
                }
                if !is_released && waited >= self.options.settle_timeout_ms / 2 {
                    self.send_copy(context, call);
                }
                if !is_released && is_late {
                    let fields = vec![("call", call.to_string())];
                    context.log(LogLevel::Warning, "settle_unwitnessed", fields);
                    self.release_call(context, call);
                }
            }
            EntryStage::Durable => {
                if is_resend_due {
                    entry.sent_at = context.now;
                    for backup in &entry.backups {
                        let calls = vec![call.clone()];
                        context.send(backup, PeerMessage::BillsDurable { calls });
                    }
                }
            }
        }
    }

    /// Makes this router the holder of the call, with a grant of its own, since the holder is
    /// unreachable. This bounds the caller's wait; safety does not depend on a single holder.
    pub(super) fn become_holder(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        entry.holder = self.me.clone();
        entry.is_contested = true;
        entry.stage_since = context.now;
        let request = entry.request.clone();
        self.admit_as_holder(context, request);
    }

    fn on_refusal(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        call: &CallId,
        refusal: CallRefusal,
    ) {
        let is_elsewhere = matches!(
            refusal.reason,
            RefusalReason::HolderUnreachable | RefusalReason::Draining
        );
        if is_elsewhere && *from != self.me && !self.is_draining() {
            return self.become_holder(context, call);
        }
        self.entries.remove(call);
        context.outbox.signal(CoreSignal::AdmitDone {
            call: call.clone(),
            outcome: Err(refusal),
        });
    }

    /// Declines a reservation that this router does not use because its admit reply was lost or
    /// late. Without this the reservation would stay for ever.
    fn decline_reservation(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        call: &CallId,
        outcome: Result<KeyText, CallRefusal>,
    ) {
        let Ok(journal) = outcome else {
            return;
        };
        if *from == self.me {
            return self.drop_reservation(context, call, &journal);
        }
        let call = call.clone();
        context.send(from, PeerMessage::CallUnknown { call, journal });
    }

    /// Whether a call entered here has run and its bill is not known to be durable.
    pub(super) fn has_unbilled_calls(&self) -> bool {
        self.entries.values().any(|entry| {
            matches!(entry.stage, EntryStage::Running | EntryStage::Ended) && entry.ran
        })
    }

    pub(super) fn count_over_bound(&self, context: &mut EventContext<'_>) {
        context.count(CounterName::UsageOverBound);
    }
}
