//! The `table_probes` module provides the assignment of probes to routers and the handling of their
//! results.

use super::target_table::state_line;
use super::{TargetEntry, TargetTable};
use crate::clock::ClockTime;
use crate::hash::stable_hash;
use crate::members::{HostState, MemberTable};
use crate::outbox::CoreOutbox;
use crate::target::{
    CacheUpdate, EngineState, LoadReport, ProbeOutcome, TargetAction, TargetEvent,
};

impl TargetTable {
    /// Sends due probes and applies time-based changes.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        self.plan_probes(now, members);
        self.send_probes(now, outbox);
        self.refresh_entries(now);
        self.remove_expired(now);
        self.report_counts(outbox);
    }

    /// Handles the outcome of a probe.
    pub fn on_target(&mut self, now: ClockTime, event: &TargetEvent, outbox: &mut CoreOutbox) {
        let TargetEvent::Probed {
            target,
            outcome,
            cache,
        } = event
        else {
            return;
        };
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        match outcome {
            ProbeOutcome::Healthy { load, engine } => {
                entry.probe.answered(now, HostState::Live);
                entry.record_load(now, *load, engine.as_ref());
                entry.apply_cache_update(now, cache.as_ref());
                if entry.agreed.observe(HostState::Live) {
                    entry.slow_start_since = Some(now);
                    entry.announce_urgently();
                    outbox.act(state_line("target_up", entry));
                }
            }
            ProbeOutcome::Leaving => {
                entry.probe.answered(now, HostState::Leaving);
                if entry.agreed.observe(HostState::Leaving) {
                    entry.announce_urgently();
                    outbox.act(state_line("target_leaving", entry));
                }
            }
            ProbeOutcome::Failed => self.probe_failed(now, target.as_str(), outbox),
        }
    }

    fn probe_failed(&mut self, now: ClockTime, target: &str, outbox: &mut CoreOutbox) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        let is_down = entry.probe.failed(now, &self.options);
        if is_down && entry.agreed.observe(HostState::Down) {
            entry.announce_urgently();
            outbox.act(state_line("target_down", entry));
        }
    }

    /// Assigns the targets of the own domain to its live routers by rendezvous hashing. A few
    /// routers probe each target and report to the others, so that the work per router does not
    /// grow with the number of routers.
    fn plan_probes(&mut self, now: ClockTime, members: &MemberTable) {
        let fingerprint = members_fingerprint(members);
        if self.planned_fingerprint == Some(fingerprint) {
            return;
        }
        self.planned_fingerprint = Some(fingerprint);
        let period = self.options.probe_period_ms.max(1);
        let probers = self.options.probers.max(1);
        for entry in self.entries.values_mut() {
            let is_local = entry.domain == self.domain && entry.listed.is_some();
            let rank = members
                .ranked(entry.target.as_str())
                .iter()
                .take(probers)
                .position(|router| *router == self.me)
                .filter(|_| is_local);
            if rank == entry.probe.rank {
                continue;
            }
            entry.probe.rank = rank;
            if let Some(rank) = rank {
                let offset = period * rank as u64 / probers as u64;
                let phase = (stable_hash(entry.target.as_str()) % period + offset) % period;
                entry.probe.set_phase(now.plus_ms(phase));
            }
        }
    }

    fn send_probes(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let mut timed_out = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.listed.is_none() {
                continue;
            }
            if entry.probe.take_timed_out(now, &self.options) {
                timed_out.push(entry.target.clone());
            }
            if entry.probe.take_due(now, &self.options) {
                outbox.act(TargetAction::Probe {
                    target: entry.target.clone(),
                    address: entry.address.clone(),
                    cache_after: entry.cache_after(),
                });
            }
        }
        for target in timed_out {
            self.probe_failed(now, target.as_str(), outbox);
        }
    }
}

impl TargetEntry {
    /// Records the target's report of itself, from an own probe or through a peer.
    pub fn record_load(&mut self, now: ClockTime, load: LoadReport, engine: Option<&EngineState>) {
        self.load.on_report(now, load);
        if engine.is_some() && self.engine.as_ref() != engine {
            self.engine = engine.cloned();
            self.announce_in_next();
        }
    }

    fn apply_cache_update(&mut self, now: ClockTime, cache: Option<&CacheUpdate>) {
        if let Some(update) = cache {
            self.prefixes.apply(now, update);
        }
    }

    /// The cache event after which to request events, once the target is known to be an engine.
    ///
    /// A plain service would run the request as a call.
    fn cache_after(&self) -> Option<u64> {
        self.engine.as_ref().map(|_| self.prefixes.next_event())
    }
}

/// Identifies the set of live routers.
fn members_fingerprint(members: &MemberTable) -> u64 {
    let live = members.ranked("");
    let names: Vec<String> = live.iter().map(|router| router.to_string()).collect();
    stable_hash(names.join(" "))
}
