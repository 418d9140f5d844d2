//! The `target_board` module provides the sums of what the routers of the fleet have measured of each
//! target.

use std::collections::BTreeMap;

use super::speed_average::SPEED_LIFE_MS;
use super::{NoteScope, TargetIncarnation, TargetNote, TargetReport};
use crate::clock::ClockTime;
use crate::names::{DomainName, HostName};

/// How long load and failures count after their source was last heard, in milliseconds: two
/// exchanges between domains may fail.
const LOAD_LIFE_MS: u64 = 5_000;

/// How long load and failures count after their note was told, in milliseconds. They are told again
/// every 12 s, so that the end of what is not told any more was lost.
const NOTE_LIFE_MS: u64 = 26_000;

/// Maximum number of incarnations: several times the targets of a large fleet.
const TARGETS_MAX: usize = 2_048;

/// Maximum number of sources: more than the routers of a large fleet.
const SOURCES_MAX: usize = 1_024;

/// The least weight of a source's share of failures: a target that always fails has no samples of
/// its speed.
const FAILURE_WEIGHT: f64 = 0.25;

/// Who has told a part of what is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BoardSource {
    /// A router of the own domain, with what was told to it by routers below it.
    Router(HostName),
    /// The relay of the own domain, which tells of the rest of the fleet.
    Relay,
    /// Another domain.
    Domain(DomainName),
}

/// What a source has told of a target.
#[derive(Clone, Copy, Debug)]
struct BoardPart {
    report: TargetReport,
    told_at: ClockTime,
}

/// Which parts a sum includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoardView<'a> {
    /// The parts of the own domain's routers, but for one.
    Routers { except: Option<&'a HostName> },
    /// All parts but that of one router.
    AllBut(&'a HostName),
}

impl BoardView<'_> {
    fn includes(self, source: &BoardSource) -> bool {
        match (self, source) {
            (BoardView::Routers { except }, BoardSource::Router(host)) => except != Some(host),
            (BoardView::Routers { .. }, BoardSource::Relay | BoardSource::Domain(_)) => false,
            (BoardView::AllBut(except), BoardSource::Router(host)) => except != host,
            (BoardView::AllBut(_), BoardSource::Relay | BoardSource::Domain(_)) => true,
        }
    }
}

/// A sum of reports of one target. The order of its parts does not matter, but for rounding.
#[derive(Clone, Copy, Debug, Default)]
struct ReportSum {
    event_sum: f64,
    event_weight: f64,
    /// Milliseconds to process a token, whose mean is that of the time that callers wait.
    read_sum: f64,
    read_weight: f64,
    failure_sum: f64,
    failure_weight: f64,
    weight: f64,
    active: u64,
    pending_tokens: u64,
    measured_at: ClockTime,
}

impl ReportSum {
    fn add_speeds(&mut self, now: ClockTime, report: &TargetReport) {
        let weight = report.samples * report.fade(now);
        if weight <= 0.0 {
            return;
        }
        self.weight += weight;
        self.measured_at = self.measured_at.max(report.measured_at);
        if let Some(event_ms) = report.event_ms {
            self.event_sum += event_ms * weight;
            self.event_weight += weight;
        }
        if let Some(read_per_ms) = report.read_per_ms {
            self.read_sum += weight / read_per_ms;
            self.read_weight += weight;
        }
    }

    fn add_load(&mut self, now: ClockTime, report: &TargetReport) {
        self.active = self.active.saturating_add(report.active);
        let pending_tokens = self.pending_tokens.saturating_add(report.pending_tokens);
        self.pending_tokens = pending_tokens;
        if report.is_empty() {
            return;
        }
        let weight = (report.samples * report.fade(now)).max(FAILURE_WEIGHT);
        self.failure_sum += report.failure_share * weight;
        self.failure_weight += weight;
    }

    fn report(&self, now: ClockTime) -> TargetReport {
        let mean = |sum: f64, weight: f64| (weight > 0.0).then(|| sum / weight);
        let mut report = TargetReport {
            event_ms: mean(self.event_sum, self.event_weight),
            read_per_ms: mean(self.read_sum, self.read_weight).map(f64::recip),
            failure_share: mean(self.failure_sum, self.failure_weight).unwrap_or(0.0),
            samples: 0.0,
            active: self.active,
            pending_tokens: self.pending_tokens,
            measured_at: self.measured_at,
        };
        // Whoever reads the report lets its samples fade by the age of the newest one.
        let fade = report.fade(now);
        if fade > 0.0 {
            report.samples = self.weight / fade;
        }
        report
    }
}

/// What all sources have told of the targets.
///
/// The newest note of a source replaces its former one, so that repeated and late sums never add up.
/// A restarted target is another incarnation, whose sums begin anew.
#[derive(Clone, Debug, Default)]
pub struct TargetBoard {
    targets: BTreeMap<TargetIncarnation, BTreeMap<BoardSource, BoardPart>>,
    /// When each source was last heard.
    heard: BTreeMap<BoardSource, ClockTime>,
}

impl TargetBoard {
    /// Records notes of a source, which may be none; returns how many were ignored.
    pub fn record(
        &mut self,
        now: ClockTime,
        source: &BoardSource,
        scope: NoteScope,
        notes: impl IntoIterator<Item = TargetNote>,
    ) -> u64 {
        let mut ignored = 0;
        let is_known = self.heard.contains_key(source) || self.heard.len() < SOURCES_MAX;
        if is_known {
            self.heard.insert(source.clone(), now);
        }
        let notes = notes.into_iter().filter(|note| !note.requests_all());
        for note in notes {
            let limited = note.try_limit(now, scope).filter(|_| is_known);
            let is_taken = limited.is_some_and(|note| self.put(now, source, note));
            ignored += u64::from(!is_taken);
        }
        ignored
    }

    /// Replaces a source's former note of a target.
    fn put(&mut self, now: ClockTime, source: &BoardSource, note: TargetNote) -> bool {
        let is_known = self.targets.contains_key(&note.target);
        if !is_known && (self.targets.len() >= TARGETS_MAX || note.report.is_empty()) {
            return note.report.is_empty();
        }
        let parts = self.targets.entry(note.target).or_default();
        let part = BoardPart {
            report: note.report,
            told_at: now,
        };
        match note.report.is_empty() {
            true => parts.remove(source),
            false => parts.insert(source.clone(), part),
        };
        true
    }

    /// Removes everything that a source has told.
    pub fn forget_source(&mut self, source: &BoardSource) {
        self.heard.remove(source);
        for parts in self.targets.values_mut() {
            parts.remove(source);
        }
    }

    /// Removes what is too old to count.
    pub fn expire(&mut self, now: ClockTime) {
        let heard = &mut self.heard;
        heard.retain(|_, heard_at| now.since(*heard_at) < SPEED_LIFE_MS);
        for parts in self.targets.values_mut() {
            parts.retain(|source, part| {
                let is_fresh = now.since(part.report.measured_at) < SPEED_LIFE_MS;
                heard.contains_key(source) && (is_fresh || is_load_known(now, heard, source, part))
            });
        }
        self.targets.retain(|_, parts| !parts.is_empty());
    }

    /// Returns what the sources of a view have told of a target; `None` if nothing counts any more.
    pub fn sum(
        &self,
        now: ClockTime,
        target: &TargetIncarnation,
        view: BoardView<'_>,
    ) -> Option<TargetReport> {
        let parts = self.targets.get(target)?;
        self.sum_parts(now, parts, view)
    }

    /// Returns the sums of all targets.
    pub fn notes<'a>(
        &'a self,
        now: ClockTime,
        view: BoardView<'a>,
    ) -> impl Iterator<Item = TargetNote> + 'a {
        self.targets.iter().filter_map(move |(target, parts)| {
            let report = self.sum_parts(now, parts, view)?;
            Some(TargetNote {
                target: target.clone(),
                report,
            })
        })
    }

    fn sum_parts(
        &self,
        now: ClockTime,
        parts: &BTreeMap<BoardSource, BoardPart>,
        view: BoardView<'_>,
    ) -> Option<TargetReport> {
        let mut sum = ReportSum::default();
        for (source, part) in parts {
            if !view.includes(source) {
                continue;
            }
            sum.add_speeds(now, &part.report);
            if is_load_known(now, &self.heard, source, part) {
                sum.add_load(now, &part.report);
            }
        }
        let report = sum.report(now);
        (!report.is_empty()).then_some(report)
    }
}

fn is_load_known(
    now: ClockTime,
    heard: &BTreeMap<BoardSource, ClockTime>,
    source: &BoardSource,
    part: &BoardPart,
) -> bool {
    let heard_at = heard.get(source);
    let is_heard = heard_at.is_some_and(|heard_at| now.since(*heard_at) < LOAD_LIFE_MS);
    is_heard && now.since(part.told_at) < NOTE_LIFE_MS
}
