//! The `home_target` module provides the target that all routers agree on for a prompt.

use super::{ForkTable, TargetEntry, TargetOptions};
use crate::hash::rendezvous_weight;
use crate::names::TargetName;

/// The home of a prompt: where its conversation goes while load allows.
///
/// The turns of a conversation reach different routers, and only a target's probers see what its
/// cache holds. Rendezvous hashing gives every router the same home without a word between them:
/// first a group of targets for the shared part, as many as its share of calls needs, then one of
/// the group for the conversation.
pub fn home_of<'a>(
    candidates: &[&'a TargetEntry],
    prefix: &[u64],
    forks: &ForkTable,
    options: &TargetOptions,
) -> Option<&'a TargetName> {
    let fork = forks.find(prefix)?;
    let mut group: Vec<&TargetEntry> = candidates.to_vec();
    if let Some(shared) = fork.shared {
        let wanted = fork.call_share * candidates.len() as f64 * options.home_slack;
        rank_by(shared, &mut group);
        group.truncate((wanted.ceil() as usize).max(1));
    }
    rank_by(fork.own, &mut group);
    group.first().map(|entry| &entry.target)
}

fn rank_by(hash: u64, targets: &mut [&TargetEntry]) {
    let text = format!("{hash:016x}");
    targets.sort_by_cached_key(|entry| {
        std::cmp::Reverse(rendezvous_weight(&text, entry.target.as_str()))
    });
}
