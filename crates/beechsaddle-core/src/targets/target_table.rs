//! The `target_table` module provides the view that one router has of all targets.

use std::collections::{BTreeMap, BTreeSet};

use super::{CallWork, TargetEntry, TargetOptions, TargetPicker};
use crate::call::AttemptFailure;
use crate::clock::ClockTime;
use crate::members::{HostRecord, HostRole, HostState};
use crate::names::{DomainName, RouterIncarnation, ServiceName, TargetName};
use crate::outbox::CoreOutbox;
use crate::peer::TargetNews;
use crate::report::{CounterName, LogLevel, LogLine, ReportAction};
use crate::status::TargetStatus;

/// All targets that a router knows.
#[derive(Debug)]
pub struct TargetTable {
    pub(super) options: TargetOptions,
    pub(super) me: RouterIncarnation,
    pub(super) domain: DomainName,
    pub(super) entries: BTreeMap<TargetName, TargetEntry>,
    /// Words of peers about targets or epochs that the host list does not show here yet.
    pub(super) early: BTreeMap<TargetName, TargetNews>,
    pub(super) picker: TargetPicker,
    /// The live routers that the probers were shared out over.
    pub(super) planned_for: Option<u64>,
    /// Where the repeated telling of bad targets goes on.
    pub(super) news_cursor: Option<TargetName>,
    has_list: bool,
    cross_domain_calls: u64,
    ejections: u64,
}

impl TargetTable {
    /// A table without targets.
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
            early: BTreeMap::new(),
            planned_for: None,
            news_cursor: None,
            has_list: false,
            cross_domain_calls: 0,
            ejections: 0,
        }
    }

    /// Takes the hosts of one or more domains, each domain's list whole. A domain that is not among
    /// the records keeps what is known: an empty list is a fault of the platform more likely than
    /// the end of every host.
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
        self.planned_for = None;
        self.mark_replaced();
    }

    /// A call was sent to `target`.
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

    /// The first byte of an answer came `latency_ms` after the call was sent.
    pub fn first_byte(&mut self, now: ClockTime, target: &TargetName, latency_ms: u64) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        entry.load.first_byte(now, latency_ms);
        entry.outlier.succeeded();
        self.eject_slow(now, target);
    }

    /// An answer ended, whole or not, or its caller hung up.
    pub fn ended(&mut self, now: ClockTime, target: &TargetName) {
        if let Some(entry) = self.entries.get_mut(target) {
            entry.load.ended(now);
        }
    }

    /// An attempt failed before its first byte was relayed.
    pub fn failed(&mut self, now: ClockTime, target: &TargetName, failure: AttemptFailure) {
        let Some(entry) = self.entries.get_mut(target) else {
            return;
        };
        entry.load.ended(now);
        entry.probe.hurry(now, &self.options);
        if entry.outlier.failed(now, failure, &self.options) {
            self.try_eject(now, target);
        }
    }

    /// What is known of each listed target.
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

    /// Ejects a target unless too many of its service are ejected already. Tells whether it did.
    fn try_eject(&mut self, now: ClockTime, target: &TargetName) -> bool {
        let Some(entry) = self.entries.get(target) else {
            return false;
        };
        let peers: Vec<&TargetEntry> = self.siblings_of(now, entry).collect();
        let ejected = peers
            .iter()
            .filter(|peer| peer.outlier.is_ejected(now))
            .count() as u64;
        // When targets fail because of something that they share, ejecting one after the other
        // would leave a few with all the load, and those would fail for that reason alone.
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
            .map(|peer| peer.load.slowness())
            .collect();
        others.sort_by(f64::total_cmp);
        let Some(median) = others.get(others.len() / 2) else {
            return;
        };
        if entry.load.slowness() > median * self.options.slow_ratio {
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
            // All targets are new to a router that just started; none of them is cold for that.
            entry.fresh_since = (!is_first).then_some(now);
            entry
        });
        if record.epoch < entry.epoch {
            // The list is older than one seen before: it tells of a host that was replaced since.
            return;
        }
        if record.epoch > entry.epoch {
            entry.replace(now, record, service);
            outbox.act(state_line("target_replaced", entry));
        }
        entry.listed = Some(record.state);
        entry.address = record.address.clone();
        entry.service = service.clone();
        if let Some(news) = self.early.remove(target) {
            if news.epoch == entry.epoch {
                entry.merge_news(now, &news, options);
            } else if news.epoch > entry.epoch {
                self.early.insert(target.clone(), news);
            }
        }
        if record.state == HostState::Leaving && entry.word.observe(HostState::Leaving) {
            entry.tell_urgently();
            outbox.act(state_line("target_leaving", entry));
        }
    }

    /// Finds targets whose place was taken by another host.
    pub(super) fn mark_replaced(&mut self) {
        let mut latest: BTreeMap<String, u64> = BTreeMap::new();
        for entry in self.entries.values().filter(|entry| entry.listed.is_some()) {
            let epoch = latest.entry(entry.address.clone()).or_default();
            *epoch = entry.epoch.max(*epoch);
        }
        for entry in self.entries.values_mut() {
            // Two names at one address: the lagging list still shows the host that was there
            // before. Its calls would reach the new host, which may serve something else.
            let is_address_taken = latest
                .get(&entry.address)
                .is_some_and(|epoch| *epoch > entry.epoch);
            let is_known_later = self
                .early
                .get(&entry.target)
                .is_some_and(|news| news.epoch > entry.epoch);
            entry.replaced = is_address_taken || is_known_later;
        }
    }

    /// Forgets targets that were not listed for long and have no calls.
    pub(super) fn forget_old(&mut self, now: ClockTime) {
        let forget_ms = self.options.forget_ms;
        self.entries.retain(|_, entry| {
            entry.listed.is_some()
                || entry.load.in_flight() > 0
                || now.since(entry.unlisted_since) < forget_ms
        });
    }

    /// Ends ejections and slow starts whose time is over.
    pub(super) fn refresh_entries(&mut self, now: ClockTime) {
        for entry in self.entries.values_mut() {
            if entry.outlier.take_returned(now) {
                entry.load.forget_speed();
                entry.fresh_since = Some(now);
            }
            if entry.warmth(now, &self.options) >= 1.0 {
                entry.fresh_since = None;
            }
        }
    }

    /// Reports what was counted since the last time.
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

/// A log line about a target.
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
