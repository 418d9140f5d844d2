//! The `manager_hand_over` module provides the transfer of an entry router's usage to other
//! routers.

use std::collections::BTreeMap;

use super::accounting_manager::AccountingManager;
use super::entry_call::EntryStage;
use super::event_context::EventContext;
use crate::peer::{CallProgress, PeerMessage};
use crate::prelude::*;

impl AccountingManager {
    pub(super) fn send_settle(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get(call) else {
            return;
        };
        let holder = entry.holder.clone();
        if holder == self.me {
            let request = entry.settle_request(None);
            let has_copy = !entry.ran || entry.is_released;
            self.settle_as_holder(context, &holder, request);
            if !has_copy {
                self.send_copy(context, call);
            }
        } else if !context.is_gone(&holder) {
            let request = entry.settle_request(None);
            context.send(&holder, PeerMessage::SettleRequest(request));
        } else {
            self.hand_over(context, call);
        }
    }

    /// Hands a call whose holder is gone to the router now picked for its budget. The bill is taken
    /// against the write-off of the former holder's journal.
    fn hand_over(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let request = entry.settle_request(entry.journal.clone());
        let successor = context.members.picked_for(entry.request.budget.as_str());
        if successor == self.me {
            self.settle_as_holder(context, &successor, request);
            return self.send_copy(context, call);
        }
        entry.backups.insert(successor.clone());
        context.send(&successor, PeerMessage::SettleRequest(request));
    }

    /// Sends a copy of a call to a router other than its holder, so that the usage survives the
    /// death of this router. While none of its domain is live, the last part waits for the journal
    /// instead; a domain without other routers goes on without a copy.
    pub(super) fn send_copy(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        let Some(copy) = entry.usage_copy() else {
            return;
        };
        let ranked = context.members.ranked(entry.request.budget.as_str());
        let backup = ranked
            .into_iter()
            .find(|router| *router != self.me && *router != entry.holder);
        let is_ended = copy.ended;
        let Some(backup) = backup else {
            if is_ended && entry.holder == self.me {
                self.release_uncopied(context, call);
            }
            return;
        };
        entry.backups.insert(backup.clone());
        context.send(&backup, PeerMessage::WitnessNote(copy));
    }

    /// Releases the last part of a call that no other router can take a copy of, unless its bill can
    /// be written to the journal first.
    fn release_uncopied(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let is_alone = !context.members.expects_others();
        if is_alone || self.is_platform_unreachable(context.now) {
            return self.release_call(context, call);
        }
        self.has_uncopied = true;
    }

    pub(super) fn report_progress(&mut self, context: &mut EventContext<'_>) {
        let mut reports: BTreeMap<RouterIncarnation, Vec<CallProgress>> = BTreeMap::new();
        for (call, entry) in &mut self.entries {
            if entry.stage != EntryStage::Running || entry.tokens == entry.reported {
                continue;
            }
            entry.reported = entry.tokens;
            let receivers = entry.backups.iter().chain([&entry.holder]);
            for receiver in receivers.filter(|receiver| **receiver != self.me) {
                let progress = CallProgress {
                    call: call.clone(),
                    tokens: entry.tokens,
                };
                reports.entry(receiver.clone()).or_default().push(progress);
            }
        }
        for (receiver, calls) in reports {
            context.send(&receiver, PeerMessage::ProgressReport { calls });
        }
    }

    /// Updates the calls entered here when another router is gone.
    pub(super) fn entries_on_gone(
        &mut self,
        context: &mut EventContext<'_>,
        gone: &RouterIncarnation,
    ) {
        let calls: Vec<CallId> = self.entries.keys().cloned().collect();
        for call in &calls {
            let Some(entry) = self.entries.get_mut(call) else {
                continue;
            };
            entry.backups.remove(gone);
            let is_holder = entry.holder == *gone;
            match entry.stage {
                EntryStage::Admitting if is_holder => self.become_holder(context, call),
                EntryStage::Running if is_holder => self.send_copy(context, call),
                EntryStage::Ended if is_holder => self.send_settle(context, call),
                EntryStage::Durable => self.finish_entry(context, call),
                EntryStage::Admitting | EntryStage::Running | EntryStage::Ended => {}
            }
        }
    }

    /// Sends the state of a call entered here to the holder that queried it.
    pub(super) fn send_state(&mut self, context: &mut EventContext<'_>, call: &CallId) {
        let Some(entry) = self.entries.get(call) else {
            return;
        };
        if entry.stage != EntryStage::Running {
            return self.send_settle(context, call);
        }
        let calls = vec![CallProgress {
            call: call.clone(),
            tokens: entry.tokens,
        }];
        let holder = entry.holder.clone();
        if holder != self.me {
            context.send(&holder, PeerMessage::ProgressReport { calls });
        }
    }

    pub(super) fn on_copy_reply(
        &mut self,
        context: &mut EventContext<'_>,
        from: &RouterIncarnation,
        call: &CallId,
    ) {
        self.release_call(context, call);
        let Some(entry) = self.entries.get_mut(call) else {
            return;
        };
        if entry.stage == EntryStage::Durable {
            entry.backups.remove(from);
            self.finish_entry(context, call);
        }
    }
}
