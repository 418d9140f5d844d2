//! The `note_outbox` module provides the choice of the notes that are worth telling a peer.

use std::collections::BTreeMap;

use super::{TargetIncarnation, TargetNote, TargetReport};
use crate::clock::ClockTime;

/// After how long a note is told once more, in milliseconds: a lost one is made up for, and samples
/// that confirm a speed renew it, while they still have most of their weight.
const REFRESH_MS: u64 = 12_000;

/// The relative difference from which a speed is told again, below what changes a choice.
const SPEED_STEP: f64 = 0.1;

/// The difference from which a share of failures is told again.
const FAILURE_STEP: f64 = 0.1;

/// The relative difference from which a load is told again.
const LOAD_STEP: f64 = 0.25;

/// The least difference from which tokens in flight are told again: a short prompt.
const PENDING_STEP: u64 = 2_000;

/// The relative difference from which the weight of samples is told again.
const SAMPLES_STEP: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct ToldNote {
    report: TargetReport,
    at: ClockTime,
}

/// What one peer was told.
#[derive(Clone, Debug, Default)]
pub struct NoteOutbox {
    told: BTreeMap<TargetIncarnation, ToldNote>,
}

impl NoteOutbox {
    /// Takes the notes to tell the peer now, `max` at most: those that differ by a step from what it
    /// was told, and those that it was told long ago. Those that it never heard come first, then the
    /// oldest.
    pub fn take(
        &mut self,
        now: ClockTime,
        current: impl IntoIterator<Item = TargetNote>,
        max: usize,
    ) -> Vec<TargetNote> {
        let mut ended = self.told.clone();
        let mut due = Vec::new();
        for note in current {
            let told = ended.remove(&note.target);
            if is_due(now, told, &note.report) {
                due.push((told.map(|told| told.at), note));
            }
        }
        for (target, told) in ended {
            due.push((Some(told.at), TargetNote::empty(now, target)));
        }
        due.sort_by_key(|(told_at, _)| *told_at);
        due.truncate(max);
        let notes: Vec<_> = due.into_iter().map(|(_, note)| note).collect();
        for note in &notes {
            self.record(now, note);
        }
        notes
    }

    /// Forgets what the peer was told, as it may not have received it.
    pub fn reset(&mut self) {
        self.told.clear();
    }

    fn record(&mut self, now: ClockTime, note: &TargetNote) {
        if note.report.is_empty() {
            self.told.remove(&note.target);
            return;
        }
        let told = ToldNote {
            report: note.report,
            at: now,
        };
        self.told.insert(note.target.clone(), told);
    }
}

fn is_due(now: ClockTime, told: Option<ToldNote>, report: &TargetReport) -> bool {
    let Some(told) = told else {
        return !report.is_empty();
    };
    now.since(told.at) >= REFRESH_MS || differs(&told.report, report)
}

fn differs(told: &TargetReport, report: &TargetReport) -> bool {
    let failures = (told.failure_share - report.failure_share).abs();
    let pending = told.pending_tokens.abs_diff(report.pending_tokens);
    has_speed_moved(told.event_ms, report.event_ms)
        || has_speed_moved(told.read_per_ms, report.read_per_ms)
        || failures >= FAILURE_STEP
        || has_moved(told.samples, report.samples, SAMPLES_STEP)
        || has_moved(told.active as f64, report.active as f64, LOAD_STEP)
        || (pending >= PENDING_STEP
            && has_moved(
                told.pending_tokens as f64,
                report.pending_tokens as f64,
                LOAD_STEP,
            ))
}

fn has_speed_moved(told: Option<f64>, speed: Option<f64>) -> bool {
    match (told, speed) {
        (Some(told), Some(speed)) => has_moved(told, speed, SPEED_STEP),
        (told, speed) => told.is_some() != speed.is_some(),
    }
}

/// Whether two numbers differ by more than a part of the larger one.
fn has_moved(told: f64, number: f64, step: f64) -> bool {
    (told - number).abs() > told.max(number) * step
}
