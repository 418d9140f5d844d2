//! The `desk_hand_over` module provides how an entry router tells others of its calls' usage.

use std::collections::BTreeMap;

use super::desk_turn::DeskTurn;
use super::entry_call::EntryStage;
use super::money_desk::MoneyDesk;
use crate::peer::{CallProgress, PeerMessage};
use crate::prelude::*;

impl MoneyDesk {
    pub(super) fn send_settle(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
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

    pub(super) fn report_progress(&mut self, turn: &mut DeskTurn<'_>) {
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

    /// Tells a holder that asks how a call of this router stands.
    pub(super) fn tell_state(&mut self, turn: &mut DeskTurn<'_>, call: &CallId) {
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
}
