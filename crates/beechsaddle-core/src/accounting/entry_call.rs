//! The `entry_call` module provides the accounting state of a call at its entry router.

use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::names::{KeyText, RouterIncarnation};
use crate::peer::{AdmitRequest, SettleRequest, UsageCopy};

/// The stage of a call at its entry router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryStage {
    /// An admit request was sent and not answered.
    Admitting,
    /// The holder has reserved for the call.
    Running,
    /// The call has ended; its bill is not known to be durable.
    Ended,
    /// The bill is durable; backups still have to drop their copies.
    Durable,
}

/// A call at its entry router.
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
    /// Whether the last part of the response was released.
    pub(super) is_released: bool,
    /// Whether an earlier holder was asked and did not answer.
    pub(super) is_contested: bool,
    /// Routers that may have a copy of the usage.
    pub(super) backups: BTreeSet<RouterIncarnation>,
    /// The router that reported the bill as durable and waits for the confirmation.
    pub(super) durable_holder: Option<RouterIncarnation>,
}

impl EntryCall {
    pub(super) fn new(request: AdmitRequest, holder: RouterIncarnation, now: ClockTime) -> Self {
        EntryCall {
            request,
            holder,
            journal: None,
            stage: EntryStage::Admitting,
            stage_since: now,
            sent_at: now,
            tokens: 0,
            reported: 0,
            ran: true,
            complete: false,
            is_released: false,
            is_contested: false,
            backups: BTreeSet::new(),
            durable_holder: None,
        }
    }

    pub(super) fn set_stage(&mut self, stage: EntryStage, now: ClockTime) {
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

    pub(super) fn usage_copy(&self) -> Option<UsageCopy> {
        let journal = self.journal.clone()?;
        Some(UsageCopy {
            settle: self.settle_request(Some(journal.clone())),
            journal,
            ended: self.stage == EntryStage::Ended,
        })
    }
}
