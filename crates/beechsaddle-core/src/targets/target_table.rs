//! The `target_table` module provides one router's view of all targets.

use std::collections::{BTreeMap, BTreeSet};

use super::{CallWork, TargetEntry, TargetOptions, TargetPicker};
use crate::call::AttemptFailure;
use crate::clock::ClockTime;
use crate::members::{HostRecord, HostRole, HostState};
use crate::names::{DomainName, RouterIncarnation, ServiceName, TargetName};
use crate::outbox::CoreOutbox;
use crate::peer::TargetUpdate;
use crate::report::{CounterName, LogLevel, LogLine, ReportAction};
use crate::status::TargetStatus;

/// All targets known to a router.
#[derive(Debug)]
pub struct TargetTable {
    pub(super) options: TargetOptions,
    pub(super) me: RouterIncarnation,
    pub(super) domain: DomainName,
    pub(super) entries: BTreeMap<TargetName, TargetEntry>,
    /// Updates of peers about targets or epochs that are not in this router's host list yet.
    pub(super) early_updates: BTreeMap<TargetName, TargetUpdate>,
    pub(super) picker: TargetPicker,
    /// Fingerprint of the live routers that the probes were last assigned to.
    pub(super) planned_fingerprint: Option<u64>,
    /// The last target repeated in a heartbeat, where the rotation continues.
    pub(super) repeat_cursor: Option<TargetName>,
    has_list: bool,
    cross_domain_calls: u64,
    ejections: u64,
}

impl TargetTable {
    /// Creates an empty table.
    pub fn new(
        options: TargetOptions,
        me: RouterIncarnation,
        domain: DomainName,
        seed: u64,
    ) -> Self {
        TargetTable {
            picker: TargetPicker::new(seed, &options),
            options,
            me,
            domain,
            entries: BTreeMap::new(),
            early_updates: BTreeMap::new(),
            planned_fingerprint: None,
            repeat_cursor: None,
            has_list: false,
            cross_domain_calls: 0,
            ejections: 0,
        }
    }

    /// Applies the complete host lists of one or more domains. Domains without records stay
    /// unchanged: an empty list is more likely a platform fault than the loss of all hosts.
    pub fn on_hosts(&mut self, now: ClockTime, hosts: &[HostRecord], outbox: &mut CoreOutbox) {
        let mut listed = BTreeSet::new();
        let domains: BTreeSet<&DomainName> = hosts.iter().map(|record| &record.domain).collect();
        for record in hosts {
            let HostRole::Target { service, .. } = &record.role else {
                continue;
            };
            let target = TargetName::new(record.host.as_str());
            self.take_record(now, &target, record, service, outbox);
            listed.insert(target);
        }
        for entry in self.entries.values_mut() {
            let is_covered = domains.contains(&entry.domain);
            if is_covered && entry.listed.is_some() && !listed.contains(&entry.target) {
                entry.listed = None;
                entry.unlisted_since = now;
            }
        }
        self.has_list |= domains.contains(&self.domain);
        self.planned_fingerprint = None;
        self.mark_replaced();
    }

    /// Records that a call was sent to `target`.
    pub fn started(&mut self, now: ClockTime, target: &TargetName, prefix: &[u64], work: CallWork) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        entry.start(now, prefix, work, &self.options);
        self.picker.learn(prefix);
        if entry.domain != self.domain {
            self.cross_domain_calls += 1;
        }
    }

    /// Records the first byte of an answer, `latency_ms` after the call was sent.
    pub fn first_byte(&mut self, now: ClockTime, target: &TargetName, latency_ms: u64) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        entry.load.first_byte(now, latency_ms);
        entry.outlier.succeeded();
        self.eject_slow(now, target);
    }

    /// Records that an answer ended, was cut off or was cancelled by its caller.
    pub fn ended(&mut self, now: ClockTime, target: &TargetName) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.load.ended(now);
        }
    }

    /// Records an attempt that failed before its first byte was relayed.
    pub fn failed(&mut self, now: ClockTime, target: &TargetName, failure: AttemptFailure) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        entry.load.ended(now);
        entry.probe.request_probe(now, &self.options);
        if entry.outlier.failed(now, failure, &self.options) {
            self.try_eject(now, target);
        }
    }

    /// The status of each listed target.
    pub fn status(&self, now: ClockTime) -> Vec<TargetStatus> {
        self.entries
            .values()
            .filter(|entry| entry.listed.is_some())
            .map(|entry| TargetStatus {
                target: entry.target.clone(),
                service: entry.service.to_string(),
                state: entry.state(now, &self.options),
                ejected: entry.outlier.is_ejected(now),
                in_flight: entry.load.in_flight(),
            })
            .collect()
    }

    /// Ejects a target unless too many of its service are ejected already. Returns whether it was
    /// ejected.
    fn try_eject(&mut self, now: ClockTime, target: &TargetName) -> bool {
        let Some(entry) = self.entries.get(target) else {
            return false;
        };
        let peers: Vec<&TargetEntry> = self.siblings_of(now, entry).collect();
        let ejected = peers
            .iter()
            .filter(|peer| peer.outlier.is_ejected(now))
            .count() as u64;
        // When targets fail for a common reason, ejecting one after the other would leave all load
        // to a few, which would then fail because of that load.
        let allowed = peers.len() as u64 * self.options.eject_share_permille / 1_000;
        if ejected >= allowed {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(target) {
            entry.outlier.eject(now, &self.options);
            self.ejections += 1;
        }
        true
    }

    /// Ejects a target whose first tokens take much longer than those of the others.
    fn eject_slow(&mut self, now: ClockTime, target: &TargetName) {
        let Some(entry) = self.entries.get(target) else {
            return;
        };
        let is_measured = |entry: &TargetEntry| entry.load.samples() >= self.options.slow_samples;
        if !is_measured(entry) || entry.outlier.is_ejected(now) {
            return;
        }
        let mut others: Vec<f64> = self
            .siblings_of(now, entry)
            .filter(|peer| peer.target != entry.target && is_measured(peer))
            .map(|peer| peer.load.slowdown())
            .collect();
        others.sort_by(f64::total_cmp);
        let Some(median) = others.get(others.len() / 2) else {
            return;
        };
        if entry.load.slowdown() > median * self.options.slow_ratio {
            self.try_eject(now, target);
        }
    }

    fn siblings_of<'a>(
        &'a self,
        now: ClockTime,
        entry: &'a TargetEntry,
    ) -> impl Iterator<Item = &'a TargetEntry> {
        self.entries.values().filter(move |peer| {
            peer.service == entry.service
                && peer.domain == entry.domain
                && peer.state(now, &self.options) == HostState::Live
        })
    }

    fn take_record(
        &mut self,
        now: ClockTime,
        target: &TargetName,
        record: &HostRecord,
        service: &ServiceName,
        outbox: &mut CoreOutbox,
    ) {
        let options = &self.options;
        let is_first = !self.has_list;
        let entry = self.entries.entry(target.clone()).or_insert_with(|| {
            let mut entry = TargetEntry::new(record, service, options);
            // All targets are new to a router that just started, but that does not mean their
            // caches are cold.
            entry.slow_start_since = (!is_first).then_some(now);
            entry
        });
        if record.epoch < entry.epoch {
            // The list is older than one already applied and shows a host that has been replaced.
            return;
        }
        if record.epoch > entry.epoch {
            entry.replace(now, record, service);
            outbox.act(state_line("target_replaced", entry));
        }
        entry.listed = Some(record.state);
        entry.address = record.address.clone();
        entry.service = service.clone();
        if let Some(update) = self.early_updates.remove(target) {
            if update.epoch == entry.epoch {
                entry.merge_update(now, &update, options);
            } else if update.epoch > entry.epoch {
                self.early_updates.insert(target.clone(), update);
            }
        }
        if record.state == HostState::Leaving && entry.agreed.observe(HostState::Leaving) {
            entry.announce_urgently();
            outbox.act(state_line("target_leaving", entry));
        }
    }

    /// Marks targets whose name or address was taken over by another host.
    pub(super) fn mark_replaced(&mut self) {
        let mut latest: BTreeMap<String, u64> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.listed.is_some()) {
            let epoch = latest.entry(entry.address.clone()).or_default();
            *epoch = entry.epoch.max(*epoch);
        }
        for entry in self.entries.values_mut() {
            // Two names share an address: the delayed list still shows the previous host. Calls to
            // it would reach the new host, which may serve something else.
            let is_address_taken = latest
                .get(&entry.address)
                .is_some_and(|epoch| *epoch > entry.epoch);
            let is_known_later = self
                .early_updates
                .get(&entry.target)
                .is_some_and(|update| update.epoch > entry.epoch);
            entry.replaced = is_address_taken || is_known_later;
        }
    }

    /// Removes targets that have been unlisted for the retention time and have no calls.
    pub(super) fn remove_expired(&mut self, now: ClockTime) {
        let unlisted_retention_ms = self.options.unlisted_retention_ms;
        self.entries.retain(|_, entry| {
            entry.listed.is_some()
                || entry.load.in_flight() > 0
                || now.since(entry.unlisted_since) < unlisted_retention_ms
        });
    }

    /// Ends ejections and slow starts whose time has passed.
    pub(super) fn refresh_entries(&mut self, now: ClockTime) {
        for entry in self.entries.values_mut() {
            if entry.outlier.take_expired_ejection(now) {
                entry.load.reset_speed();
                entry.slow_start_since = Some(now);
            }
            if entry.slow_start_share(now, &self.options) >= 1.0 {
                entry.slow_start_since = None;
            }
        }
    }

    /// Reports the counts since the last report.
    pub(super) fn report_counts(&mut self, outbox: &mut CoreOutbox) {
        let counts = [
            (CounterName::CrossDomain, &mut self.cross_domain_calls),
            (CounterName::TargetsEjected, &mut self.ejections),
        ];
        for (counter, amount) in counts {
            if *amount == 0 {
                continue;
            }
            outbox.act(ReportAction::Add {
                counter,
                amount: std::mem::take(amount),
            });
        }
    }
}

/// Creates a log line about a target.
pub(super) fn state_line(event: &'static str, entry: &TargetEntry) -> ReportAction {
    ReportAction::Log(LogLine {
        level: LogLevel::Info,
        event,
        fields: vec![
            ("target", entry.target.to_string()),
            ("epoch", entry.epoch.to_string()),
            ("service", entry.service.to_string()),
        ],
    })
}
