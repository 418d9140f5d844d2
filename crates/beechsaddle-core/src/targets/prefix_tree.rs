//! The `prefix_tree` module provides the prefixes that recent prompts share and where they diverge.

use std::collections::{BTreeMap, BTreeSet};

/// The number of different continuations that mark a block as the end of a shared prefix. A single
/// conversation has one, or two when a turn is repeated.
const BRANCH_CHILDREN: usize = 3;

/// The maximum number of new blocks added per prompt: shared prefixes are added over several calls,
/// and prompts that occur once do not fill the tree.
const NEW_BLOCKS_PER_CALL: usize = 4;

/// The number of calls after which all counts are halved, so that shares follow the last few
/// thousand calls.
const HALVING_CALLS: u32 = 2_048;

/// The prefix that a prompt shares with others and where it diverges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixBranch {
    /// The hash of the last shared block; `None` when nothing is shared.
    pub shared: Option<u64>,
    /// The share of recent calls with this shared prefix, from 0 to 1.
    pub call_share: f64,
    /// The hash of the first block after the shared prefix, or else of the prompt's last block.
    pub own: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PrefixBlock {
    children: [u64; BRANCH_CHILDREN],
    child_count: usize,
    calls: u32,
    used: u64,
}

/// Leading blocks of recent prompts; the least recently used are dropped first.
///
/// The turns of one conversation start with the same blocks, and many conversations start with the
/// same instructions. The number of continuations tells the two cases apart, and each router
/// derives it from its own calls alone.
#[derive(Debug)]
pub struct PrefixTree {
    limit: usize,
    blocks: BTreeMap<u64, PrefixBlock>,
    oldest: BTreeSet<(u64, u64)>,
    uses: u64,
    calls: u32,
}

impl PrefixTree {
    /// Creates an empty tree of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        PrefixTree {
            limit,
            blocks: BTreeMap::new(),
            oldest: BTreeSet::new(),
            uses: 0,
            calls: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Records the prefix of a call.
    pub fn learn(&mut self, prefix: &[u64]) {
        self.calls += 1;
        if self.calls >= HALVING_CALLS {
            self.halve();
        }
        let mut learned = 0;
        for (index, hash) in prefix.iter().enumerate() {
            if !self.blocks.contains_key(hash) {
                learned += 1;
            }
            if learned > NEW_BLOCKS_PER_CALL {
                break;
            }
            self.visit(*hash, prefix.get(index + 1).copied());
        }
        while self.blocks.len() > self.limit {
            let Some((_, hash)) = self.oldest.pop_first() else {
                break;
            };
            self.blocks.remove(&hash);
        }
    }

    /// Finds where a prompt diverges from others; `None` for a prompt of less than one block.
    pub fn find(&self, prefix: &[u64]) -> Option<PrefixBranch> {
        let known = prefix.iter().map_while(|hash| self.blocks.get(hash));
        let last = known
            .enumerate()
            .filter(|(_, block)| block.child_count >= BRANCH_CHILDREN)
            .last();
        let (shared, call_share, own) = match last {
            Some((index, block)) => {
                let call_share = f64::from(block.calls) / f64::from(self.calls.max(1));
                (prefix.get(index).copied(), call_share, index + 1)
            }
            None => (None, 1.0, 0),
        };
        let own = prefix.get(own).or(prefix.last())?;
        Some(PrefixBranch {
            shared,
            call_share: call_share.min(1.0),
            own: *own,
        })
    }

    fn visit(&mut self, hash: u64, child: Option<u64>) {
        self.uses += 1;
        let uses = self.uses;
        let block = self.blocks.entry(hash).or_default();
        self.oldest.remove(&(block.used, hash));
        block.used = uses;
        block.calls += 1;
        if let Some(child) = child {
            block.add_child(child);
        }
        self.oldest.insert((uses, hash));
    }

    fn halve(&mut self) {
        self.calls /= 2;
        for block in self.blocks.values_mut() {
            block.calls /= 2;
        }
    }
}

impl PrefixBlock {
    fn add_child(&mut self, child: u64) {
        let known = &self.children[..self.child_count];
        if self.child_count < BRANCH_CHILDREN && !known.contains(&child) {
            self.children[self.child_count] = child;
            self.child_count += 1;
        }
    }
}
