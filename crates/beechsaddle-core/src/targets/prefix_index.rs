//! The `prefix_index` module provides which prompt prefixes a target is believed to hold.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::ClockTime;
use crate::target::CacheNews;

/// How recently a prefix must have been sent or announced to survive a gap in the cache events, in
/// milliseconds: an engine evicts the least recently used, so what is younger is likely still there.
const GAP_TRUST_MS: u64 = 10_000;

/// Prefix hashes that one target is believed to hold, the least recently used dropped first.
#[derive(Debug)]
pub struct PrefixIndex {
    limit: usize,
    used: BTreeMap<u64, ClockTime>,
    oldest: BTreeSet<(ClockTime, u64)>,
    next_event: u64,
}

impl PrefixIndex {
    /// An empty index of at most `limit` hashes.
    pub fn new(limit: usize) -> Self {
        PrefixIndex {
            limit,
            used: BTreeMap::new(),
            oldest: BTreeSet::new(),
            next_event: 0,
        }
    }

    /// The number of the next cache event that is not known yet.
    pub fn next_event(&self) -> u64 {
        self.next_event
    }

    /// How many hashes are known.
    pub fn len(&self) -> usize {
        self.used.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// How many leading blocks of `prefix` are believed to be held.
    pub fn depth(&self, prefix: &[u64]) -> usize {
        // Each hash covers all blocks before it, so the deepest known one tells the whole depth.
        prefix
            .iter()
            .rposition(|hash| self.used.contains_key(hash))
            .map_or(0, |place| place + 1)
    }

    /// Notes that the target holds `prefix` now, because a call with it was sent there.
    pub fn touch(&mut self, now: ClockTime, prefix: &[u64]) {
        for hash in prefix {
            self.insert(now, *hash);
        }
    }

    /// Takes the engine's word for what came and went.
    pub fn on_news(&mut self, now: ClockTime, news: &CacheNews) {
        if news.next < self.next_event {
            // Event numbers that go back come from an engine that restarted with an empty cache.
            // Keeping the old hashes would send it prompts that it has to read in full.
            self.clear();
        } else if news.first > self.next_event && self.next_event > 0 {
            // The gap may hide removals. What was used lately is likely still cached; the rest is
            // dropped, since a wrong belief costs a whole prompt and a lost one the same at most.
            self.drop_before(ClockTime::from_millis(
                now.as_millis().saturating_sub(GAP_TRUST_MS),
            ));
        }
        for hash in &news.removed {
            self.remove(*hash);
        }
        for hash in &news.added {
            self.insert(now, *hash);
        }
        self.next_event = news.next;
    }

    /// Forgets everything, because the target lost its cache.
    pub fn clear(&mut self) {
        self.used.clear();
        self.oldest.clear();
        self.next_event = 0;
    }

    fn insert(&mut self, now: ClockTime, hash: u64) {
        if let Some(before) = self.used.insert(hash, now) {
            self.oldest.remove(&(before, hash));
        }
        self.oldest.insert((now, hash));
        while self.used.len() > self.limit {
            let Some((_, oldest)) = self.oldest.pop_first() else {
                break;
            };
            self.used.remove(&oldest);
        }
    }

    fn remove(&mut self, hash: u64) {
        if let Some(before) = self.used.remove(&hash) {
            self.oldest.remove(&(before, hash));
        }
    }

    fn drop_before(&mut self, limit: ClockTime) {
        let kept = self.oldest.split_off(&(limit, 0));
        for (_, hash) in std::mem::replace(&mut self.oldest, kept) {
            self.used.remove(&hash);
        }
    }
}
