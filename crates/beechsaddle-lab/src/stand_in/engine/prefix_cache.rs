//! The `prefix_cache` module provides a cache of prompt prefixes and its delayed events.

use std::collections::{BTreeMap, VecDeque};

use tokio::time::{Duration, Instant};

use beechsaddle_core::target::CacheUpdate;

/// How many events are retained for routers that lag behind.
const EVENTS_RETAINED: usize = 4096;

/// An LRU cache of prefix blocks.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks_max: usize,
    lag: Duration,
    clock: u64,
    last_use: BTreeMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_event: u64,
    events: VecDeque<CacheEvent>,
}

#[derive(Clone, Copy, Debug)]
struct CacheEvent {
    number: u64,
    at: Instant,
    hash: u64,
    added: bool,
}

impl PrefixCache {
    pub(super) fn new(blocks_max: usize, lag_ms: u64) -> Self {
        PrefixCache {
            blocks_max,
            lag: Duration::from_millis(lag_ms),
            clock: 0,
            last_use: BTreeMap::new(),
            by_use: BTreeMap::new(),
            next_event: 0,
            events: VecDeque::new(),
        }
    }

    /// Looks up and inserts the blocks of a prompt, and returns how many leading blocks were
    /// cached.
    pub(super) fn use_blocks(&mut self, chain: &[u64]) -> usize {
        let cached = chain
            .iter()
            .take_while(|hash| self.last_use.contains_key(hash))
            .count();
        for hash in chain {
            self.touch(*hash);
        }
        cached
    }

    /// Returns the occupied share of the cache, in thousandths.
    pub(super) fn permille(&self) -> u32 {
        let used = self.last_use.len() * 1000;
        (used / self.blocks_max.max(1)) as u32
    }

    /// Returns the published events from a number on; with `gap` the older half is lost.
    pub(super) fn update_after(&self, after: u64, gap: bool) -> CacheUpdate {
        let now = Instant::now();
        let mut published: Vec<&CacheEvent> = self
            .events
            .iter()
            .filter(|event| event.number >= after && event.at + self.lag <= now)
            .collect();
        if gap {
            published.drain(..published.len().div_ceil(2));
        }
        let first = published.first().map_or(after, |event| event.number);
        let next = published.last().map_or(after, |event| event.number + 1);
        let hashes = |added: bool| {
            let matching = published.iter().filter(move |event| event.added == added);
            matching.map(|event| event.hash).collect()
        };
        CacheUpdate {
            first,
            next,
            added: hashes(true),
            removed: hashes(false),
        }
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        match self.last_use.insert(hash, self.clock) {
            Some(before) => {
                self.by_use.remove(&before);
            }
            None => self.publish(hash, true),
        }
        self.by_use.insert(self.clock, hash);
        if self.last_use.len() > self.blocks_max
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
            self.publish(oldest, false);
        }
    }

    fn publish(&mut self, hash: u64, added: bool) {
        self.events.push_back(CacheEvent {
            number: self.next_event,
            at: Instant::now(),
            hash,
            added,
        });
        self.next_event += 1;
        if self.events.len() > EVENTS_RETAINED {
            self.events.pop_front();
        }
    }
}
