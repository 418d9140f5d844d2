//! The `table_choice` module provides the candidates for a call.

use super::{
    CallWork, ChoiceRequest, ChosenTarget, ServiceLoad, TargetChoice, TargetEntry, TargetTable,
};
use crate::clock::ClockTime;
use crate::members::HostState;
use crate::names::{ModelName, ServiceName};

/// Candidate groups, the best first. A call goes to the first group that is not empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CandidateTier {
    /// In the own domain and serving the model.
    Serving,
    /// In the own domain; the served model is not known yet.
    Unknown,
    /// In the own domain but ejected: used when all remaining targets are ejected.
    Ejected,
    /// In another domain.
    Remote,
    /// In the own domain and listed as live, but probes fail. When the probes of all targets fail,
    /// the probes themselves may be broken; a failed connection costs the caller little.
    ProbesFailing,
}

impl TargetTable {
    /// Chooses the target for a call.
    pub fn choose(&mut self, now: ClockTime, request: &ChoiceRequest<'_>) -> TargetChoice {
        let mut tiers: Vec<(CandidateTier, &TargetEntry)> = Vec::new();
        let mut is_any_alive = false;
        let mut is_any_tried = false;
        for entry in self.entries.values() {
            if entry.service != request.service {
                continue;
            }
            let Some(tier) = self.tier_of(now, entry, request.model.as_ref()) else {
                continue;
            };
            is_any_alive = true;
            if !entry.may_serve(request.model.as_ref()) {
                continue;
            }
            if request.tried.contains(&entry.target) {
                is_any_tried = true;
                continue;
            }
            tiers.push((tier, entry));
        }
        let Some(best) = tiers.iter().map(|(tier, _)| *tier).min() else {
            return match (is_any_tried, is_any_alive) {
                (true, _) => TargetChoice::AllTried,
                (false, true) => TargetChoice::NoModel,
                (false, false) => TargetChoice::NoneAlive,
            };
        };
        let candidates: Vec<&TargetEntry> = tiers
            .into_iter()
            .filter(|(tier, _)| *tier == best)
            .map(|(_, entry)| entry)
            .collect();
        match self.picker.pick(now, &candidates, request, &self.options) {
            Some(entry) => TargetChoice::Chosen(ChosenTarget {
                target: entry.target.clone(),
                address: entry.address.clone(),
                domain_local: entry.domain == self.domain,
                first_token_ms: self.first_token_ms(entry, request.prefix, request.work) as u64,
            }),
            None => TargetChoice::NoneAlive,
        }
    }

    /// The combined load of the targets of the own domain that can serve the call.
    pub fn service_load(
        &self,
        now: ClockTime,
        service: &ServiceName,
        model: Option<&ModelName>,
        work: CallWork,
    ) -> ServiceLoad {
        let mut load = ServiceLoad::default();
        for entry in self.entries.values() {
            let is_serving = entry.service == *service
                && entry.domain == self.domain
                && entry.may_serve(model)
                && entry.state(now, &self.options) == HostState::Live;
            if !is_serving {
                continue;
            }
            load.targets += 1;
            load.calls += entry.load.calls() as u32;
            load.waiting += entry.load.report().waiting;
            if entry.load.samples() > 0 {
                let first_token_ms = self.first_token_ms(entry, &[], work) as u64;
                let least_ms = load.first_token_ms.unwrap_or(first_token_ms);
                load.first_token_ms = Some(first_token_ms.min(least_ms));
            }
        }
        load
    }

    fn first_token_ms(&self, entry: &TargetEntry, prefix: &[u64], work: CallWork) -> f64 {
        if work.prompt_tokens == 0 {
            return 0.0;
        }
        let uncached = entry.uncached_tokens(prefix, work, &self.options);
        entry.expected_ms(uncached, &self.options) * entry.load.slowdown()
    }

    /// The candidate group of a target; `None` when it must not get new calls.
    fn tier_of(
        &self,
        now: ClockTime,
        entry: &TargetEntry,
        model: Option<&ModelName>,
    ) -> Option<CandidateTier> {
        entry.listed?;
        let is_local = entry.domain == self.domain;
        match entry.state(now, &self.options) {
            HostState::Leaving => None,
            HostState::Down if is_local && entry.listed == Some(HostState::Live) => {
                Some(CandidateTier::ProbesFailing)
            }
            HostState::Down => None,
            HostState::Live if !is_local => {
                self.options.cross_domain.then_some(CandidateTier::Remote)
            }
            HostState::Live if entry.outlier.is_ejected(now) => Some(CandidateTier::Ejected),
            HostState::Live if model.is_some() && entry.engine.is_none() => {
                Some(CandidateTier::Unknown)
            }
            HostState::Live => Some(CandidateTier::Serving),
        }
    }
}
