//! Where prompts part, and the home that follows from it.

mod routing_support;

use std::collections::BTreeSet;

use beechsaddle_core::prelude::*;
use beechsaddle_core::targets::{ForkTable, TargetOptions, TargetTable};
use quickcheck::{QuickCheck, TestResult};
use routing_support::*;

/// The instructions that all conversations share.
const SHARED: [u64; 3] = [1, 2, 3];

fn turn(conversation: u64, blocks: u64) -> Vec<u64> {
    let own = (0..blocks).map(|block| conversation * 1_000 + block);
    SHARED.into_iter().chain(own).collect()
}

#[test]
fn find_shared_part() {
    let mut forks = ForkTable::new(1_000);
    for conversation in 1..=6 {
        forks.learn(&turn(conversation, 4));
    }
    let fork = forks.find(&turn(9, 2)).expect("the prompt has blocks");
    assert_eq!(fork.shared, Some(3));
    assert_eq!(fork.own, 9_000);
    assert!(fork.call_share > 0.9, "{fork:?}");
}

#[test]
fn find_single_conversation() {
    // One conversation grows by a turn at a time. Its parts are not taken for shared ones, so that
    // its home stays where it is.
    let mut forks = ForkTable::new(1_000);
    for blocks in 1..20 {
        forks.learn(&turn(7, blocks));
    }
    let fork = forks.find(&turn(7, 20)).expect("the prompt has blocks");
    assert_eq!((fork.shared, fork.own), (None, 1));
}

#[test]
fn choose_same_home_for_later_turns() {
    // Turns of a conversation come in by different routers, and no cache event tells the second
    // router of the first turn. Chosen at random, every turn would read the whole prompt again.
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
                let prefix = turn(conversation + 100 * number as u64, 2);
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
        let homes: BTreeSet<TargetName> = routers
            .iter_mut()
            .zip([2, 5, 9, 14])
            .map(|(table, blocks)| {
                chosen(table.choose(at(60_000), &engine_call(&turn(conversation, blocks), &[])))
            })
            .collect();
        stayed += usize::from(homes.len() == 1);
    }
    assert!(
        stayed >= 36,
        "{stayed} of 40 conversations stayed at one target"
    );
}

#[test]
fn learn_bounded() {
    // Whatever prompts come, memory stays within the limit and every prompt has a home.
    fn holds(prompts: Vec<Vec<u8>>) -> TestResult {
        let mut forks = ForkTable::new(20);
        for prompt in prompts {
            let prefix: Vec<u64> = prompt.iter().map(|block| u64::from(*block)).collect();
            forks.learn(&prefix);
            if forks.len() > 20 || forks.find(&prefix).is_none() != prefix.is_empty() {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<Vec<u8>>) -> TestResult);
}
