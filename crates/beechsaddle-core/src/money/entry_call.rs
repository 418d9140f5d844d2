//! The `entry_call` module provides what an entry router knows of the money of one of its calls.

use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::names::{KeyText, RouterIncarnation};
use crate::peer::{AdmitRequest, SettleRequest, WitnessNote};

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryStage {
    /// The holder was asked and has not answered.
    Asking,
    /// The holder reserved.
    Running,
    /// The call ended; its bill is not known to be durable.
    Ended,
    /// The bill is durable; witnesses still have to drop their copies.
    Durable,
}

/// One call at its entry router.
#[derive(Debug)]
pub(super) struct EntryCall {
    pub(super) request: AdmitRequest,
    pub(super) holder: RouterIncarnation,
    pub(super) journal: Option<KeyText>,
    pub(super) stage: EntryStage,
    pub(super) stage_since: ClockTime,
    pub(super) sent_at: ClockTime,
    pub(super) tokens: u64,
    pub(super) reported: u64,
    pub(super) ran: bool,
    pub(super) complete: bool,
    /// Whether the call's last part was let go.
    pub(super) is_released: bool,
    /// Whether a router that did not answer was asked before.
    pub(super) is_contested: bool,
    /// Routers that may keep a copy.
    pub(super) witnesses: BTreeSet<RouterIncarnation>,
    /// Who told that the bill is durable, and waits for the confirmation.
    pub(super) durable_at: Option<RouterIncarnation>,
}

impl EntryCall {
    pub(super) fn new(request: AdmitRequest, holder: RouterIncarnation, now: ClockTime) -> Self {
        EntryCall {
            request,
            holder,
            journal: None,
            stage: EntryStage::Asking,
            stage_since: now,
            sent_at: now,
            tokens: 0,
            reported: 0,
            ran: true,
            complete: false,
            is_released: false,
            is_contested: false,
            witnesses: BTreeSet::new(),
            durable_at: None,
        }
    }

    pub(super) fn enter(&mut self, stage: EntryStage, now: ClockTime) {
        self.stage = stage;
        self.stage_since = now;
    }

    pub(super) fn settle_request(&self, against: Option<KeyText>) -> SettleRequest {
        SettleRequest {
            call: self.request.call.clone(),
            key: self.request.key.clone(),
            budget: self.request.budget.clone(),
            bound: self.request.bound,
            tokens: self.tokens,
            ran: self.ran,
            complete: self.complete,
            against,
        }
    }

    pub(super) fn note(&self) -> Option<WitnessNote> {
        let journal = self.journal.clone()?;
        Some(WitnessNote {
            settle: self.settle_request(Some(journal.clone())),
            journal,
            ended: self.stage == EntryStage::Ended,
        })
    }
}
