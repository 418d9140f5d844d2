//! The `table_probes` module provides who probes which target, and what probes tell.

use super::target_table::state_line;
use super::{TargetEntry, TargetTable};
use crate::clock::ClockTime;
use crate::hash::stable_hash;
use crate::members::{HostState, MemberTable};
use crate::outbox::CoreOutbox;
use crate::target::{CacheNews, EngineState, LoadReport, ProbeOutcome, TargetAction, TargetEvent};

impl TargetTable {
    /// Sends the probes that are due and looks after what time changes.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        self.plan_probes(now, members);
        self.send_probes(now, outbox);
        self.refresh_entries(now);
        self.forget_old(now);
        self.report_counts(outbox);
    }

    /// Takes the outcome of a probe.
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
                entry.take_load(now, *load, engine.as_ref());
                entry.take_cache(now, cache.as_ref());
                if entry.word.observe(HostState::Live) {
                    entry.fresh_since = Some(now);
                    entry.tell_urgently();
                    outbox.act(state_line("target_up", entry));
                }
            }
            ProbeOutcome::Leaving => {
                entry.probe.answered(now, HostState::Leaving);
                if entry.word.observe(HostState::Leaving) {
                    entry.tell_urgently();
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
        if is_down && entry.word.observe(HostState::Down) {
            entry.tell_urgently();
            outbox.act(state_line("target_down", entry));
        }
    }

    /// Shares the targets of the own domain out over its live routers by rendezvous hashing. A few
    /// routers probe each target and tell the rest, so that the work of a router stays the same
    /// however many routers there are.
    fn plan_probes(&mut self, now: ClockTime, members: &MemberTable) {
        let fingerprint = members_fingerprint(members);
        if self.planned_for == Some(fingerprint) {
            return;
        }
        self.planned_for = Some(fingerprint);
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
                let turn = period * rank as u64 / probers as u64;
                let phase = (stable_hash(entry.target.as_str()) % period + turn) % period;
                entry.probe.set_phase(now.plus_ms(phase));
            }
        }
    }

    fn send_probes(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let mut lost = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.listed.is_none() {
                continue;
            }
            if entry.probe.take_lost(now, &self.options) {
                lost.push(entry.target.clone());
            }
            if entry.probe.take_due(now, &self.options) {
                outbox.act(TargetAction::Probe {
                    target: entry.target.clone(),
                    address: entry.address.clone(),
                    cache_after: entry.cache_after(),
                });
            }
        }
        for target in lost {
            self.probe_failed(now, target.as_str(), outbox);
        }
    }
}

impl TargetEntry {
    /// Takes what the target says of itself, by an own probe or through a peer.
    pub fn take_load(&mut self, now: ClockTime, load: LoadReport, engine: Option<&EngineState>) {
        self.load.on_report(now, load);
        if engine.is_some() && self.engine.as_ref() != engine {
            self.engine = engine.cloned();
            self.tell_once();
        }
    }

    fn take_cache(&mut self, now: ClockTime, cache: Option<&CacheNews>) {
        if let Some(news) = cache {
            self.prefixes.on_news(now, news);
        }
    }

    /// After which cache event to ask, once the target has shown to be an engine.
    ///
    /// A plain service would take the question for a caller's call and run it.
    fn cache_after(&self) -> Option<u64> {
        self.engine.as_ref().map(|_| self.prefixes.next_event())
    }
}

/// Tells sets of live routers apart.
fn members_fingerprint(members: &MemberTable) -> u64 {
    let live = members.ranked("");
    let names: Vec<String> = live.iter().map(|router| router.to_string()).collect();
    stable_hash(names.join(" "))
}
