//! The `table_updates` module provides the target updates that routers of a domain exchange.

use super::{ReportMerge, StateReport, TargetEntry, TargetOptions, TargetTable};
use crate::clock::ClockTime;
use crate::members::HostState;
use crate::names::{RouterIncarnation, TargetName};
use crate::peer::TargetUpdate;

/// The number of targets not in service that each heartbeat repeats in rotation, for routers that
/// missed the first update.
const REPEATED_UPDATES: usize = 2;

/// The maximum number of stored updates about targets that are not listed here yet.
const EARLY_UPDATE_LIMIT: usize = 1_024;

impl TargetTable {
    /// Merges a peer's updates from its heartbeat.
    pub fn on_updates(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        updates: &[TargetUpdate],
    ) {
        if *from == self.me {
            return;
        }
        let mut is_early = false;
        for update in updates {
            match self.entries.get_mut(&update.target) {
                Some(entry) if update.epoch == entry.epoch => {
                    entry.merge_update(now, update, &self.options);
                }
                // An update about a replaced host does not apply to its successor.
                Some(entry) if update.epoch < entry.epoch => {}
                Some(_) | None => {
                    self.store_early_update(update);
                    is_early = true;
                }
            }
        }
        if is_early {
            self.mark_replaced();
        }
    }

    /// Whether a heartbeat should be sent at once because a target left, failed or returned.
    pub fn has_urgent_update(&self) -> bool {
        self.entries.values().any(|entry| entry.urgent)
    }

    /// Returns the updates for the next heartbeat, the urgent ones first.
    pub fn take_updates(&mut self, now: ClockTime) -> Vec<TargetUpdate> {
        let mut names = self.names_by(|entry, _| entry.urgent);
        names.extend(self.names_by(|entry, _| entry.announce && !entry.urgent));
        names.extend(self.take_repeated(now));
        names.extend(self.names_by(|entry, options| entry.has_load_change(options)));
        let mut updates: Vec<TargetUpdate> = Vec::new();
        for target in names {
            if updates.len() >= self.options.update_limit {
                break;
            }
            if updates.iter().any(|update| update.target == target) {
                continue;
            }
            if let Some(entry) = self.entries.get_mut(&target) {
                let mut update = entry.to_update();
                if !entry.urgent && !entry.announce && !entry.take_engine_resend() {
                    update.engine = None;
                }
                entry.urgent = false;
                entry.announce = false;
                entry.sent_load = entry.load.report();
                updates.push(update);
            }
        }
        updates
    }

    fn names_by(
        &self,
        is_selected: impl Fn(&TargetEntry, &TargetOptions) -> bool,
    ) -> Vec<TargetName> {
        self.entries
            .values()
            .filter(|entry| entry.domain == self.domain && entry.listed.is_some())
            .filter(|entry| is_selected(entry, &self.options))
            .map(|entry| entry.target.clone())
            .collect()
    }

    /// Returns, in turn, the next targets that are not in service.
    fn take_repeated(&mut self, now: ClockTime) -> Vec<TargetName> {
        let options = &self.options;
        let mut not_serving = self.names_by(|entry, _| {
            entry.agreed.state() != HostState::Live && entry.state(now, options) != HostState::Live
        });
        if let Some(last) = &self.repeat_cursor {
            let index = not_serving.partition_point(|target| target <= last);
            not_serving.rotate_left(index);
        }
        not_serving.truncate(REPEATED_UPDATES);
        self.repeat_cursor = not_serving.last().cloned();
        not_serving
    }

    fn store_early_update(&mut self, update: &TargetUpdate) {
        if let Some(stored) = self.early_updates.get_mut(&update.target) {
            let is_final = stored.epoch == update.epoch && stored.state == HostState::Leaving;
            let is_newer = (update.epoch, update.sequence) > (stored.epoch, stored.sequence);
            if update.epoch == stored.epoch && update.state == HostState::Leaving
                || is_newer && !is_final
            {
                *stored = update.clone();
            }
            return;
        }
        if self.early_updates.len() < EARLY_UPDATE_LIMIT {
            self.early_updates
                .insert(update.target.clone(), update.clone());
        }
    }
}

impl TargetEntry {
    /// Merges a peer's update about this epoch.
    pub fn merge_update(&mut self, now: ClockTime, update: &TargetUpdate, options: &TargetOptions) {
        let received = StateReport::new(update.state, update.sequence);
        let is_probed_live = self.probe.observed_state(now, options) == Some(HostState::Live);
        match self.agreed.merge(received) {
            ReportMerge::Adopted if update.state == HostState::Down && is_probed_live => {
                // The peer cannot reach a target that this router reaches. Each of the two acts on
                // its own probes; the other routers receive the state seen by the router that got
                // an answer.
                self.agreed.observe(HostState::Live);
                self.announce_urgently();
            }
            ReportMerge::Adopted if update.state == HostState::Live => {
                self.slow_start_since = Some(now);
                self.announce_in_next();
            }
            ReportMerge::Adopted | ReportMerge::Outdated => self.announce_in_next(),
            ReportMerge::Known => {}
        }
        if self.probe.observed_state(now, options).is_some() {
            return;
        }
        if let Some(load) = update.load {
            self.record_load(now, load, None);
        }
        if update.engine.is_some() {
            self.engine = update.engine.clone();
        }
    }
}
