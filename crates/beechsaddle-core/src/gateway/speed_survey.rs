//! The `speed_survey` module provides the steps of speed of all listed targets.

use std::collections::BTreeMap;

use super::target_roster::RosterEntry;
use super::{SpeedKind, SpeedStep, StepTracker};
use crate::clock::ClockTime;
use crate::names::{ServiceName, TargetName};

/// The time between two looks at all targets, in milliseconds. Reports arrive about as often.
const LOOK_INTERVAL_MS: u64 = 1_000;

/// The age up to which a report's speeds are used, in milliseconds. A target's speed depends on its
/// machine and seldom changes.
const REPORT_SPEED_LIFE_MS: u64 = 60_000;

/// The age up to which a report's load is used, in milliseconds: about as long as a stream runs.
const REPORT_LOAD_LIFE_MS: u64 = 5_000;

/// The number of targets of a service whose speed has to be known before there is a usual one. With
/// two, one of them would always be the slow one.
const KNOWN_TARGETS_MIN: usize = 3;

/// The weight of the samples from which a speed counts. A few samples tell more about the moment's load
/// than about the target.
const SAMPLES_MIN: f64 = 8.0;

/// The steps of speed of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetSteps {
    events: StepTracker,
    reading: StepTracker,
}

/// A change of a target's step, for logs.
#[derive(Clone, Debug, PartialEq)]
pub struct StepChange {
    pub target: TargetName,
    pub kind: SpeedKind,
    pub step: SpeedStep,
    /// The target's time as a multiple of the usual one; `None` if it is no longer known.
    pub ratio: Option<f64>,
}

/// When the targets were last looked at.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedSurvey {
    next_at: ClockTime,
}

/// The times of one target: milliseconds between events, and for one token read.
#[derive(Clone, Copy, Debug, Default)]
struct TargetTimes {
    event_ms: Option<f64>,
    token_ms: Option<f64>,
}

impl TargetSteps {
    /// Returns the step for requests that wait most for what is given.
    pub fn step(&self, kind: SpeedKind) -> SpeedStep {
        match kind {
            SpeedKind::Events => self.events.step(),
            SpeedKind::Reading => self.reading.step(),
        }
    }
}

impl TargetTimes {
    fn of(entry: &RosterEntry, now: ClockTime) -> Self {
        let report = entry.report.as_ref();
        let report = report.filter(|report| {
            let is_fresh = now.since(report.measured_at) < REPORT_SPEED_LIFE_MS;
            is_fresh && report.samples >= SAMPLES_MIN
        });
        let own = Some(&entry.stats).filter(|stats| stats.speed_samples(now) >= SAMPLES_MIN);
        let event_ms = report.and_then(|report| report.event_ms);
        let read_per_ms = report.and_then(|report| report.read_per_ms);
        let event_ms = event_ms.or_else(|| own?.event_ms(now));
        let read_per_ms = read_per_ms.or_else(|| own?.read_per_ms(now));
        TargetTimes {
            event_ms: event_ms.filter(|time| is_time(*time)),
            token_ms: read_per_ms
                .map(|rate| 1.0 / rate)
                .filter(|time| is_time(*time)),
        }
    }
}

/// Whether a value can be a time; reports may hold anything.
fn is_time(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

impl SpeedSurvey {
    /// Looks at all targets once a second; returns the changes of steps.
    pub fn look<'a>(
        &mut self,
        now: ClockTime,
        entries: impl Iterator<Item = &'a mut RosterEntry>,
    ) -> Vec<StepChange> {
        if now < self.next_at {
            return Vec::new();
        }
        self.next_at = now.plus_ms(LOOK_INTERVAL_MS);
        let mut services = BTreeMap::<ServiceName, Vec<&mut RosterEntry>>::new();
        for entry in entries {
            let service = entry.record.service.clone();
            services.entry(service).or_default().push(entry);
        }
        let changes = services.into_values().map(|entries| look_at(now, entries));
        changes.flatten().collect()
    }
}

/// Looks at the targets of one service.
fn look_at(now: ClockTime, entries: Vec<&mut RosterEntry>) -> Vec<StepChange> {
    let times: Vec<_> = entries
        .iter()
        .map(|entry| TargetTimes::of(entry, now))
        .collect();
    let usual_event_ms = median(times.iter().filter_map(|times| times.event_ms));
    let usual_token_ms = median(times.iter().filter_map(|times| times.token_ms));
    let mut changes = Vec::new();
    for (entry, times) in entries.into_iter().zip(times) {
        let events = ratio(times.event_ms, usual_event_ms);
        let reading = ratio(times.token_ms, usual_token_ms);
        let looks = [
            (SpeedKind::Events, events.or(reading)),
            (SpeedKind::Reading, reading.or(events)),
        ];
        for (kind, ratio) in looks {
            let tracker = match kind {
                SpeedKind::Events => &mut entry.steps.events,
                SpeedKind::Reading => &mut entry.steps.reading,
            };
            if tracker.look(ratio) {
                changes.push(StepChange {
                    target: entry.record.name.clone(),
                    kind,
                    step: tracker.step(),
                    ratio,
                });
            }
        }
    }
    changes
}

fn ratio(time: Option<f64>, usual: Option<f64>) -> Option<f64> {
    Some(time? / usual?)
}

/// Returns the median; of an even number the larger one of the two in the middle, so that no more than
/// half of the targets are slower. `None` for too few values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<_> = values.collect();
    if values.len() < KNOWN_TARGETS_MIN {
        return None;
    }
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl RosterEntry {
    /// Returns the attempts in flight from all routers, as far as they are known.
    pub fn fleet_active(&self, now: ClockTime) -> u64 {
        let report = self.report.as_ref();
        let report = report.filter(|report| now.since(report.measured_at) < REPORT_LOAD_LIFE_MS);
        self.stats.active + report.map_or(0, |report| report.active)
    }
}
