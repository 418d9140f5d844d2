//! The `fork_table` module provides where prompts part: what many share and where each goes on
//! alone.

use std::collections::{BTreeMap, BTreeSet};

/// How many different continuations make a block the end of a shared part. A single conversation
/// has one, and two when a turn is asked again.
const FORK_CHILDREN: usize = 3;

/// How many new blocks of one prompt are learned at a time: shared parts are learned over a few
/// calls, and what comes only once does not fill the table.
const LEARNED_BLOCKS: usize = 4;

/// After how many calls all counts are halved, so that shares follow the last few thousand calls.
const HALVING_CALLS: u32 = 2_048;

/// The part that a prompt shares with others, and its own continuation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptFork {
    /// The hash of the last shared block; `None` when nothing is shared.
    pub shared: Option<u64>,
    /// The share of recent calls that have this shared part.
    pub call_share: f64,
    /// The hash of the first block that is the prompt's own, or of its last block.
    pub own: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct ForkBlock {
    children: [u64; FORK_CHILDREN],
    child_count: usize,
    calls: u32,
    used: u64,
}

/// Leading blocks of recent prompts, the least recently used dropped first.
///
/// The turns of one conversation begin with the same blocks, and many conversations begin with the
/// same instructions. Where prompts part tells the two from each other, and every router learns it
/// from its own calls alone.
#[derive(Debug)]
pub struct ForkTable {
    limit: usize,
    blocks: BTreeMap<u64, ForkBlock>,
    oldest: BTreeSet<(u64, u64)>,
    uses: u64,
    calls: u32,
}

impl ForkTable {
    /// An empty table of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        ForkTable {
            limit,
            blocks: BTreeMap::new(),
            oldest: BTreeSet::new(),
            uses: 0,
            calls: 0,
        }
    }

    /// How many blocks are known.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Learns from a call.
    pub fn learn(&mut self, prefix: &[u64]) {
        self.calls += 1;
        if self.calls >= HALVING_CALLS {
            self.halve();
        }
        let mut learned = 0;
        for (place, hash) in prefix.iter().enumerate() {
            if !self.blocks.contains_key(hash) {
                learned += 1;
            }
            if learned > LEARNED_BLOCKS {
                break;
            }
            self.visit(*hash, prefix.get(place + 1).copied());
        }
        while self.blocks.len() > self.limit {
            let Some((_, hash)) = self.oldest.pop_first() else {
                break;
            };
            self.blocks.remove(&hash);
        }
    }

    /// Where a prompt parts from others; `None` for a prompt of less than one block.
    pub fn find(&self, prefix: &[u64]) -> Option<PromptFork> {
        let known = prefix.iter().map_while(|hash| self.blocks.get(hash));
        let last = known
            .enumerate()
            .filter(|(_, block)| block.child_count >= FORK_CHILDREN)
            .last();
        let (shared, call_share, own) = match last {
            Some((place, block)) => {
                let call_share = f64::from(block.calls) / f64::from(self.calls.max(1));
                (prefix.get(place).copied(), call_share, place + 1)
            }
            None => (None, 1.0, 0),
        };
        let own = prefix.get(own).or(prefix.last())?;
        Some(PromptFork {
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

impl ForkBlock {
    fn add_child(&mut self, child: u64) {
        let known = &self.children[..self.child_count];
        if self.child_count < FORK_CHILDREN && !known.contains(&child) {
            self.children[self.child_count] = child;
            self.child_count += 1;
        }
    }
}
