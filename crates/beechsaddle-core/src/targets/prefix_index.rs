//! The `prefix_index` module provides the prompt prefixes that a target is estimated to have
//! cached.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::ClockTime;
use crate::target::CacheUpdate;

/// How recently a prefix must have been sent or reported to survive a gap in the cache events, in
/// milliseconds: engines evict the least recently used block, so recent ones are probably still
/// cached.
const GAP_RETENTION_MS: u64 = 10_000;

/// Hashes of prefixes that one target is estimated to have cached; the least recently used are
/// dropped first.
#[derive(Debug)]
pub struct PrefixIndex {
    limit: usize,
    last_used: BTreeMap<u64, ClockTime>,
    oldest: BTreeSet<(ClockTime, u64)>,
    next_event: u64,
}

impl PrefixIndex {
    /// Creates an empty index of at most `limit` hashes.
    pub fn new(limit: usize) -> Self {
        PrefixIndex {
            limit,
            last_used: BTreeMap::new(),
            oldest: BTreeSet::new(),
            next_event: 0,
        }
    }

    /// The number of the next expected cache event.
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// The number of leading blocks of `prefix` that are estimated to be cached.
    pub fn depth(&self, prefix: &[u64]) -> usize {
        // Each hash covers all blocks before it, so the deepest known hash gives the depth.
        prefix
            .iter()
            .rposition(|hash| self.last_used.contains_key(hash))
            .map_or(0, |index| index + 1)
    }

    /// Marks `prefix` as cached because a call with it was sent to the target.
    pub fn touch(&mut self, now: ClockTime, prefix: &[u64]) {
        for hash in prefix {
            self.insert(now, *hash);
        }
    }

    /// Applies cache events of the engine.
    pub fn apply(&mut self, now: ClockTime, update: &CacheUpdate) {
        if update.next < self.next_event {
            // Event numbers that decrease mean that the engine restarted with an empty cache. With
            // the old hashes it would be sent prompts that it has to read in full.
            self.clear();
        } else if update.first > self.next_event && self.next_event > 0 {
            // The gap may hide evictions. Recently used hashes are probably still cached; the
            // others are dropped, since a false hit costs a whole prefill and a false miss costs at
            // most the same.
            self.drop_before(ClockTime::from_millis(
                now.as_millis().saturating_sub(GAP_RETENTION_MS),
            ));
        }
        for hash in &update.removed {
            self.remove(*hash);
        }
        for hash in &update.added {
            self.insert(now, *hash);
        }
        self.next_event = update.next;
    }

    /// Drops all hashes because the target lost its cache.
    pub fn clear(&mut self) {
        self.last_used.clear();
        self.oldest.clear();
        self.next_event = 0;
    }

    fn insert(&mut self, now: ClockTime, hash: u64) {
        if let Some(last_use) = self.last_used.insert(hash, now) {
            self.oldest.remove(&(last_use, hash));
        }
        self.oldest.insert((now, hash));
        while self.last_used.len() > self.limit {
            let Some((_, oldest)) = self.oldest.pop_first() else {
                break;
            };
            self.last_used.remove(&oldest);
        }
    }

    fn remove(&mut self, hash: u64) {
        if let Some(last_use) = self.last_used.remove(&hash) {
            self.oldest.remove(&(last_use, hash));
        }
    }

    fn drop_before(&mut self, limit: ClockTime) {
        let retained = self.oldest.split_off(&(limit, 0));
        for (_, hash) in std::mem::replace(&mut self.oldest, retained) {
            self.last_used.remove(&hash);
        }
    }
}
