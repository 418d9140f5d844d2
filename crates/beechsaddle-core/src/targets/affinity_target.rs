//! The `affinity_target` module provides the target that every router computes for a prompt.

use super::{PrefixTree, TargetEntry, TargetOptions};
use crate::hash::rendezvous_weight;
use crate::names::TargetName;

/// Returns the affinity target of a prompt: the target that serves its conversation while load
/// allows.
///
/// The turns of a conversation arrive at different routers, and only the routers that probe a
/// target see its cache contents. Rendezvous hashing gives every router the same result without
/// communication: it first selects a group of targets for the shared prefix, sized by its share of
/// calls, then one target of that group for the conversation.
pub fn affinity_target_of<'a>(
    candidates: &[&'a TargetEntry],
    prefix: &[u64],
    prefix_tree: &PrefixTree,
    options: &TargetOptions,
) -> Option<&'a TargetName> {
    let branch = prefix_tree.find(prefix)?;
    let mut group: Vec<&TargetEntry> = candidates.to_vec();
    if let Some(shared) = branch.shared {
        let group_size =
            branch.call_share * candidates.len() as f64 * options.affinity_spread_factor;
        rank_by(shared, &mut group);
        group.truncate((group_size.ceil() as usize).max(1));
    }
    rank_by(branch.own, &mut group);
    group.first().map(|entry| &entry.target)
}

fn rank_by(hash: u64, targets: &mut [&TargetEntry]) {
    let text = format!("{hash:016x}");
    targets.sort_by_cached_key(|entry| {
        std::cmp::Reverse(rendezvous_weight(&text, entry.target.as_str()))
    });
}
