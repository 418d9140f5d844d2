//! The `choice_input` module provides the inputs of the choice of a target, and what they say about
//! cold targets.

use super::target_roster::RosterEntry;
use super::{EvacuationRegistry, PolicyOptions, PromptShape, TargetRoster, WarmUpPlan};
use crate::clock::ClockTime;
use crate::names::{DomainName, ServiceName, SoftwareVersion, TargetName};

/// The inputs of a choice.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceInput<'a> {
    pub service: &'a ServiceName,
    /// The software version of a stream that has begun; `None` if any may serve the request.
    pub version: Option<&'a SoftwareVersion>,
    /// Whether the targets of the service are engines.
    pub is_engine: bool,
    /// The router's own domain.
    pub domain: &'a DomainName,
    /// The prompt; empty for plain requests.
    pub prompt: &'a PromptShape,
    /// Distributes plain requests over targets of equal cost.
    pub request_id: &'a str,
    /// Targets that have been tried already.
    pub tried: &'a [TargetName],
    /// Whether the request may run only once.
    pub runs_once: bool,
    /// The name of a request that may crash its target, for distributing such requests over
    /// targets.
    pub suspect: Option<&'a str>,
    /// The failure domains whose targets get no new requests.
    pub evacuations: &'a EvacuationRegistry,
    /// The slow start of the service's targets.
    pub warm_up: Option<WarmUpPlan<'a>>,
    /// The number of routers that send requests to the targets.
    pub routers: u64,
    pub policy: PolicyOptions,
}

impl<'a> ChoiceInput<'a> {
    /// Returns the targets that accept new requests and may serve this one.
    pub fn eligible(&self, roster: &'a TargetRoster) -> impl Iterator<Item = &'a RosterEntry> {
        let version = self.version;
        let ready = roster.ready(self.service);
        ready.filter(move |entry| version.is_none_or(|version| entry.record.version == *version))
    }

    /// Returns how long this router sends a target nothing as it rests or has just rested, in
    /// milliseconds.
    pub fn rest_wait_ms(&self, roster: &TargetRoster, entry: &RosterEntry, now: ClockTime) -> u64 {
        let active = entry.stats.active;
        roster
            .rests
            .wait_ms(now, &entry.record, active, self.routers)
    }

    /// Returns for how long a target counts as cold, in milliseconds. The targets of a domain that
    /// was taken back may have become cold, although their entries do not say so yet.
    pub(super) fn cold_for_ms(&self, entry: &RosterEntry, now: ClockTime) -> u64 {
        let announced_ms = entry.cold_for_ms(now);
        let returned_ms = self.warm_up.and_then(|plan| {
            let returned_ms = self
                .evacuations
                .returned_for_ms(now, &entry.record.domain)?;
            Some(plan.rule.span_ms.saturating_sub(returned_ms))
        });
        announced_ms.max(returned_ms.unwrap_or(0))
    }

    /// Returns how long this router has to wait before it may send a target a request, in
    /// milliseconds; 0 if it may now.
    ///
    /// A cold target crashes under more requests than it announces, so this holds even if all
    /// targets are cold.
    pub fn warm_up_wait_ms(&self, entry: &RosterEntry, now: ClockTime) -> u64 {
        let Some(plan) = self.warm_up else {
            return 0;
        };
        let cold_ms = self.cold_for_ms(entry, now);
        if cold_ms == 0 {
            return 0;
        }
        let wait_ms = match plan.is_sharer(&entry.record.name) {
            true => entry.stats.warm_up.wait_ms(now, plan.rule.share()),
            false => cold_ms,
        };
        wait_ms.min(cold_ms)
    }
}
