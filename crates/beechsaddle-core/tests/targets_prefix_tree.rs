//! Shared prefixes of prompts and the affinity targets derived from them.

mod routing_support;

use std::collections::BTreeSet;

use beechsaddle_core::prelude::*;
use beechsaddle_core::targets::{PrefixTree, TargetOptions, TargetTable};
use quickcheck::{QuickCheck, TestResult};
use routing_support::*;

/// The instructions shared by all conversations.
const SHARED: [u64; 3] = [1, 2, 3];

fn turn_prefix(conversation: u64, blocks: u64) -> Vec<u64> {
    let own = (0..blocks).map(|block| conversation * 1_000 + block);
    SHARED.into_iter().chain(own).collect()
}

#[test]
fn find_shared_prefix() {
    let mut tree = PrefixTree::new(1_000);
    for conversation in 1..=6 {
        tree.learn(&turn_prefix(conversation, 4));
    }
    let branch = tree
        .find(&turn_prefix(9, 2))
        .expect("the prompt has blocks");
    assert_eq!(branch.shared, Some(3));
    assert_eq!(branch.own, 9_000);
    assert!(branch.call_share > 0.9, "{branch:?}");
}

#[test]
fn find_single_conversation() {
    // A single conversation grows turn by turn. Its own blocks must not count as a shared prefix,
    // or its affinity target would change.
    let mut tree = PrefixTree::new(1_000);
    for blocks in 1..20 {
        tree.learn(&turn_prefix(7, blocks));
    }
    let branch = tree
        .find(&turn_prefix(7, 20))
        .expect("the prompt has blocks");
    assert_eq!((branch.shared, branch.own), (None, 1));
}

#[test]
fn choose_same_affinity_target_for_later_turns() {
    // The turns of a conversation arrive at different routers, and no cache event informs the
    // second router of the first turn. With random choices every turn would read the whole prompt
    // again.
    let mut routers: Vec<TargetTable> = (0..4)
        .map(|number| {
            let mut table = TargetTable::new(
                TargetOptions::default(),
                router(number),
                DomainName::new(DOMAIN),
                number as u64,
            );
            table.on_hosts(at(0), &hosts(8), &mut CoreOutbox::new());
            for conversation in 1..=20 {
                let prefix = turn_prefix(conversation + 100 * number as u64, 2);
                let name = chosen(table.choose(at(1), &engine_call(&prefix, &[])));
                table.started(at(1), &name, &prefix, WORK);
                table.first_byte(at(1), &name, 128);
                table.ended(at(1), &name);
            }
            table
        })
        .collect();
    let mut stayed = 0;
    for conversation in 500..540 {
        let targets: BTreeSet<TargetName> = routers
            .iter_mut()
            .zip([2, 5, 9, 14])
            .map(|(table, blocks)| {
                chosen(table.choose(
                    at(60_000),
                    &engine_call(&turn_prefix(conversation, blocks), &[]),
                ))
            })
            .collect();
        stayed += usize::from(targets.len() == 1);
    }
    assert!(
        stayed >= 36,
        "{stayed} of 40 conversations stayed at one target"
    );
}

#[test]
fn learn_bounded() {
    // For any prompts, memory stays within the limit and every prompt has an affinity target.
    fn holds(prompts: Vec<Vec<u8>>) -> TestResult {
        let mut tree = PrefixTree::new(20);
        for prompt in prompts {
            let prefix: Vec<u64> = prompt.iter().map(|block| u64::from(*block)).collect();
            tree.learn(&prefix);
            if tree.len() > 20 || tree.find(&prefix).is_none() != prefix.is_empty() {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<Vec<u8>>) -> TestResult);
}
