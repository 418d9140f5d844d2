//! The `target_picker` module provides the choice among targets that may all serve a call.

use super::{ChoicePolicy, ChoiceRequest, TargetEntry, TargetOptions};
use crate::catalogue::ServiceKind;
use crate::clock::ClockTime;
use crate::hash::rendezvous_weight;
use crate::random::SeededRandom;

/// Chooses among targets.
#[derive(Debug)]
pub struct TargetPicker {
    random: SeededRandom,
}

impl TargetPicker {
    /// A picker; equal seeds give equal choices.
    pub fn new(seed: u64) -> Self {
        TargetPicker {
            random: SeededRandom::new(seed),
        }
    }

    /// One of the candidates; `None` when there are none.
    pub fn pick<'a>(
        &mut self,
        now: ClockTime,
        candidates: &[&'a TargetEntry],
        request: &ChoiceRequest<'_>,
        options: &TargetOptions,
    ) -> Option<&'a TargetEntry> {
        match (options.policy, request.kind) {
            (ChoicePolicy::Random, _) => self.pick_random(candidates),
            (ChoicePolicy::LeastInFlight, _) => self.pick_least(candidates),
            (ChoicePolicy::Adaptive, kind) => {
                let ready = ready_candidates(now, candidates, options);
                match kind {
                    ServiceKind::Plain => self.pick_of_two(&ready),
                    ServiceKind::Engine => self.pick_soonest(&ready, request, options),
                }
            }
        }
    }

    fn pick_random<'a>(&mut self, candidates: &[&'a TargetEntry]) -> Option<&'a TargetEntry> {
        let place = self.random.below(candidates.len() as u64) as usize;
        candidates.get(place).copied()
    }

    fn pick_least<'a>(&mut self, candidates: &[&'a TargetEntry]) -> Option<&'a TargetEntry> {
        let least = candidates
            .iter()
            .map(|entry| entry.load.in_flight())
            .min()?;
        let level: Vec<&TargetEntry> = candidates
            .iter()
            .copied()
            .filter(|entry| entry.load.in_flight() == least)
            .collect();
        self.pick_random(&level)
    }

    fn pick_of_two<'a>(&mut self, candidates: &[&'a TargetEntry]) -> Option<&'a TargetEntry> {
        let first = self.pick_random(candidates)?;
        let second = self.pick_random(candidates)?;
        // A call that is in flight at a slow target stays for longer, so the count tells speed too.
        if second.load.in_flight() < first.load.in_flight() {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn pick_soonest<'a>(
        &mut self,
        candidates: &[&'a TargetEntry],
        request: &ChoiceRequest<'_>,
        options: &TargetOptions,
    ) -> Option<&'a TargetEntry> {
        let home = home_of(candidates, request, options);
        let start = self.random.below(candidates.len() as u64) as usize;
        let rotated = candidates.iter().cycle().skip(start).take(candidates.len());
        let mut best: Option<(f64, &TargetEntry)> = None;
        for entry in rotated.copied() {
            let is_home = home.is_some_and(|home| home.target == entry.target);
            let cost = cost_of(entry, is_home, request, options);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, entry));
            }
        }
        best.map(|(_, entry)| entry)
    }
}

/// The candidates without those that are busy or have had their share in slow start, unless that
/// leaves none.
fn ready_candidates<'a>(
    now: ClockTime,
    candidates: &[&'a TargetEntry],
    options: &TargetOptions,
) -> Vec<&'a TargetEntry> {
    let total: f64 = candidates.iter().map(|entry| entry.load.calls()).sum();
    let mean = total / candidates.len().max(1) as f64;
    let ready: Vec<&TargetEntry> = candidates
        .iter()
        .copied()
        .filter(|entry| !entry.outlier.is_busy(now))
        .filter(|entry| {
            let warmth = entry.warmth(now, options);
            warmth >= 1.0 || f64::from(entry.load.in_flight()) < (warmth * mean).max(1.0)
        })
        .collect();
    if ready.is_empty() {
        return candidates.to_vec();
    }
    ready
}

/// The candidate that all routers agree on for a prompt that none is known to hold.
fn home_of<'a>(
    candidates: &[&'a TargetEntry],
    request: &ChoiceRequest<'_>,
    options: &TargetOptions,
) -> Option<&'a TargetEntry> {
    let depth = request.prefix.len().min(options.anchor_blocks);
    let anchor = request.prefix.get(depth.checked_sub(1)?)?;
    let text = format!("{anchor:016x}");
    candidates
        .iter()
        .copied()
        .max_by_key(|entry| rendezvous_weight(&text, entry.target.as_str()))
}

/// The expected time to the first token, in milliseconds.
fn cost_of(
    entry: &TargetEntry,
    is_home: bool,
    request: &ChoiceRequest<'_>,
    options: &TargetOptions,
) -> f64 {
    let mut uncached = entry.uncached_tokens(request.prefix, request.work, options);
    if is_home {
        // Other routers send the same prompts there, whose prefixes this one has not seen.
        uncached /= 2;
    }
    entry.expected_ms(uncached, options) * entry.load.slowness()
}
