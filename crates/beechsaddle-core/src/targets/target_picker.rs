//! The `target_picker` module provides the choice among candidates that can all serve a call.

use super::affinity_target::affinity_target_of;
use super::{ChoicePolicy, ChoiceRequest, PrefixTree, TargetEntry, TargetOptions};
use crate::catalogue::ServiceKind;
use crate::clock::ClockTime;
use crate::random::SeededRandom;

/// Picks one of several candidates.
#[derive(Debug)]
pub struct TargetPicker {
    random: SeededRandom,
    prefix_tree: PrefixTree,
}

impl TargetPicker {
    /// Creates a picker; equal seeds give equal choices.
    pub fn new(seed: u64, options: &TargetOptions) -> Self {
        TargetPicker {
            random: SeededRandom::new(seed),
            prefix_tree: PrefixTree::new(options.prefix_tree_limit),
        }
    }

    /// Records the prefix of a call that was sent.
    pub fn learn(&mut self, prefix: &[u64]) {
        self.prefix_tree.learn(prefix);
    }

    /// Picks one of the candidates; `None` when there are none.
    pub fn pick<'a>(
        &mut self,
        now: ClockTime,
        candidates: &[&'a TargetEntry],
        request: &ChoiceRequest<'_>,
        options: &TargetOptions,
    ) -> Option<&'a TargetEntry> {
        match (options.policy, request.kind) {
            (ChoicePolicy::Random, _) => self.pick_random(candidates),
            (ChoicePolicy::LeastInFlight, _) => self.pick_least_loaded(candidates),
            (ChoicePolicy::Adaptive, kind) => {
                let ready = ready_candidates(now, candidates, options);
                match kind {
                    ServiceKind::Plain => self.pick_of_two(&ready),
                    ServiceKind::Engine => self.pick_lowest_cost(&ready, request, options),
                }
            }
        }
    }

    fn pick_random<'a>(&mut self, candidates: &[&'a TargetEntry]) -> Option<&'a TargetEntry> {
        let index = self.random.below(candidates.len() as u64) as usize;
        candidates.get(index).copied()
    }

    fn pick_least_loaded<'a>(&mut self, candidates: &[&'a TargetEntry]) -> Option<&'a TargetEntry> {
        let least = candidates
            .iter()
            .map(|entry| entry.load.in_flight())
            .min()?;
        let tied: Vec<&TargetEntry> = candidates
            .iter()
            .copied()
            .filter(|entry| entry.load.in_flight() == least)
            .collect();
        self.pick_random(&tied)
    }

    fn pick_of_two<'a>(&mut self, candidates: &[&'a TargetEntry]) -> Option<&'a TargetEntry> {
        let first = self.pick_random(candidates)?;
        let second = self.pick_random(candidates)?;
        // Calls stay in flight for longer at a slow target, so the count also reflects speed.
        if second.load.in_flight() < first.load.in_flight() {
            Some(second)
        } else {
            Some(first)
        }
    }

    fn pick_lowest_cost<'a>(
        &mut self,
        candidates: &[&'a TargetEntry],
        request: &ChoiceRequest<'_>,
        options: &TargetOptions,
    ) -> Option<&'a TargetEntry> {
        let eligible = affinity_candidates(candidates, options);
        let affinity_target =
            affinity_target_of(&eligible, request.prefix, &self.prefix_tree, options);
        let uncached: Vec<u64> = candidates
            .iter()
            .map(|entry| entry.uncached_tokens(request.prefix, request.work, options))
            .collect();
        let least = uncached.iter().copied().min()?;
        let start = self.random.below(candidates.len() as u64) as usize;
        let mut best: Option<(f64, &TargetEntry)> = None;
        for step in 0..candidates.len() {
            let index = (start + step) % candidates.len();
            let entry = candidates[index];
            let mut unread = uncached[index] as f64;
            if affinity_target == Some(&entry.target) {
                // Other routers send the same conversation to this target. The part that this
                // router has not seen cached there is assumed to be a fraction of what the
                // candidate with the most cached tokens would read. The bound of one block prefers
                // a target that is known to have all but a block cached.
                let assumed = least as f64 * options.affinity_unread_ratio;
                unread = unread.min(assumed.max(options.block_tokens as f64));
            }
            let cost = entry.expected_ms(unread as u64, options) * entry.load.slowdown();
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, entry));
            }
        }
        best.map(|(_, entry)| entry)
    }
}

/// Returns the candidates that are not clearly slower than the others.
///
/// A slow target is not used as affinity target: its first token may still be the earliest while it
/// has little to read, but every further turn of the conversation would be slow.
fn affinity_candidates<'a>(
    candidates: &[&'a TargetEntry],
    options: &TargetOptions,
) -> Vec<&'a TargetEntry> {
    let mut slowdowns: Vec<f64> = candidates
        .iter()
        .map(|entry| entry.load.slowdown())
        .collect();
    slowdowns.sort_by(f64::total_cmp);
    let Some(median) = slowdowns.get(slowdowns.len() / 2) else {
        return Vec::new();
    };
    candidates
        .iter()
        .copied()
        .filter(|entry| entry.load.slowdown() <= median * options.affinity_max_slowdown)
        .collect()
}

/// Returns the candidates that are not busy and have not used up their share in slow start, or all
/// of them if none remains.
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
            let slow_start_share = entry.slow_start_share(now, options);
            slow_start_share >= 1.0
                || f64::from(entry.load.in_flight()) < (slow_start_share * mean).max(1.0)
        })
        .collect();
    if ready.is_empty() {
        return candidates.to_vec();
    }
    ready
}
