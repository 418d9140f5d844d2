//! The `target_picker` module provides the choice among targets that may all serve a call.

use super::home_target::home_of;
use super::{ChoicePolicy, ChoiceRequest, ForkTable, TargetEntry, TargetOptions};
use crate::catalogue::ServiceKind;
use crate::clock::ClockTime;
use crate::random::SeededRandom;

/// Chooses among targets.
#[derive(Debug)]
pub struct TargetPicker {
    random: SeededRandom,
    forks: ForkTable,
}

impl TargetPicker {
    /// A picker; equal seeds give equal choices.
    pub fn new(seed: u64, options: &TargetOptions) -> Self {
        TargetPicker {
            random: SeededRandom::new(seed),
            forks: ForkTable::new(options.fork_limit),
        }
    }

    /// Learns from a call that was sent.
    pub fn learn(&mut self, prefix: &[u64]) {
        self.forks.learn(prefix);
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
        let homes = usual_candidates(candidates, options);
        let home = home_of(&homes, request.prefix, &self.forks, options);
        let uncached: Vec<u64> = candidates
            .iter()
            .map(|entry| entry.uncached_tokens(request.prefix, request.work, options))
            .collect();
        let least = uncached.iter().copied().min()?;
        let start = self.random.below(candidates.len() as u64) as usize;
        let mut best: Option<(f64, &TargetEntry)> = None;
        for step in 0..candidates.len() {
            let place = (start + step) % candidates.len();
            let entry = candidates[place];
            let mut unread = uncached[place] as f64;
            if home == Some(&entry.target) {
                // Other routers send the same conversation there. What this one has not seen of it
                // is taken to be a part of what even the best known target would have to read.
                // A target that is known to hold all but a block comes before that assumption.
                let assumed = least as f64 * options.home_unread;
                unread = unread.min(assumed.max(options.block_tokens as f64));
            }
            let cost = entry.expected_ms(unread as u64, options) * entry.load.slowness();
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, entry));
            }
        }
        best.map(|(_, entry)| entry)
    }
}

/// The candidates without those that are clearly slower than the others.
///
/// A slow target is no home: the first token may still come soonest from there while it has little
/// to read, but every further turn of the conversation would be slow with it.
fn usual_candidates<'a>(
    candidates: &[&'a TargetEntry],
    options: &TargetOptions,
) -> Vec<&'a TargetEntry> {
    let mut speeds: Vec<f64> = candidates
        .iter()
        .map(|entry| entry.load.slowness())
        .collect();
    speeds.sort_by(f64::total_cmp);
    let Some(median) = speeds.get(speeds.len() / 2) else {
        return Vec::new();
    };
    candidates
        .iter()
        .copied()
        .filter(|entry| entry.load.slowness() <= median * options.home_slowness)
        .collect()
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
