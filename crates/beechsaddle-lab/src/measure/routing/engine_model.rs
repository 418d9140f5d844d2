//! The `engine_model` module provides a simulated inference engine: continuous batching with
//! chunked prefill and a prefix cache of limited size.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use beechsaddle_core::target::{CacheUpdate, LoadReport};

use super::routing_call::RoutingCall;

/// The fixed time of an iteration, in milliseconds.
const ITERATION_MS: f64 = 6.0;

/// The additional time of an iteration per sequence in the batch, in milliseconds.
const SEQUENCE_MS: f64 = 0.3;

/// The additional time of an iteration per prefilled prompt token, in milliseconds.
const PREFILL_TOKEN_MS: f64 = 0.1;

/// The most prompt tokens that one iteration prefills.
const CHUNK_TOKENS: u64 = 512;

/// The largest batch size in sequences.
const BATCH_MAX: usize = 32;

/// The capacity of the prefix cache in blocks.
const CACHE_BLOCKS: usize = 1_200;

/// The number of tokens in a block.
pub const BLOCK_TOKENS: u64 = 64;

/// A call that is queued or running at an engine.
#[derive(Debug)]
struct EngineCall {
    number: usize,
    unread_tokens: u64,
    output_left: u64,
    prefix: Vec<u64>,
}

/// The calls that an iteration advanced to their first or last token.
#[derive(Debug, Default)]
pub struct IterationOutcome {
    /// Calls whose first token was generated.
    pub first_tokens: Vec<usize>,
    /// Calls that ended.
    pub ended: Vec<usize>,
}

/// A simulated engine.
#[derive(Debug)]
pub struct EngineModel {
    slowdown: f64,
    waiting: VecDeque<EngineCall>,
    batch: Vec<EngineCall>,
    cache: BTreeMap<u64, u64>,
    oldest: BTreeSet<(u64, u64)>,
    uses: u64,
    events: Vec<(f64, u64, bool)>,
    reports: VecDeque<(f64, LoadReport)>,
    /// Whether an iteration is running.
    pub busy: bool,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
    /// All prompt tokens.
    pub prompt_tokens: u64,
}

impl EngineModel {
    /// Creates an idle engine whose iterations take `slowdown` times as long.
    pub fn new(slowdown: f64) -> Self {
        EngineModel {
            slowdown,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            cache: BTreeMap::new(),
            oldest: BTreeSet::new(),
            uses: 0,
            events: Vec::new(),
            reports: VecDeque::new(),
            busy: false,
            cached_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Returns the number of running and waiting calls.
    pub fn calls(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Queues a call.
    pub fn arrive(&mut self, number: usize, call: &RoutingCall) {
        self.waiting.push_back(EngineCall {
            number,
            unread_tokens: call.prompt_tokens,
            output_left: call.output_tokens,
            prefix: call.prefix.clone(),
        });
    }

    /// Begins an iteration and returns its duration in milliseconds; `None` if there are no calls.
    pub fn begin(&mut self, now_ms: f64) -> Option<f64> {
        while self.batch.len() < BATCH_MAX {
            let Some(mut call) = self.waiting.pop_front() else {
                break;
            };
            let cached = self.lookup(&call.prefix) * BLOCK_TOKENS;
            let prompt = call.unread_tokens;
            // The last prompt token is always prefilled: its logits give the first output token.
            call.unread_tokens = prompt.saturating_sub(cached).max(1);
            self.cached_tokens += prompt - call.unread_tokens;
            self.prompt_tokens += prompt;
            self.batch.push(call);
        }
        self.busy = !self.batch.is_empty();
        if !self.busy {
            return None;
        }
        let unread: u64 = self.batch.iter().map(|call| call.unread_tokens).sum();
        let read = unread.min(CHUNK_TOKENS) as f64;
        let span_ms =
            ITERATION_MS + SEQUENCE_MS * self.batch.len() as f64 + PREFILL_TOKEN_MS * read;
        self.record_report(now_ms);
        Some(span_ms * self.slowdown)
    }

    /// Ends an iteration and returns what it generated.
    pub fn finish(&mut self, now_ms: f64) -> IterationOutcome {
        let mut outcome = IterationOutcome::default();
        let mut chunk = CHUNK_TOKENS;
        let mut read = Vec::new();
        for call in &mut self.batch {
            if call.unread_tokens == 0 {
                call.output_left = call.output_left.saturating_sub(1);
            } else {
                let part = call.unread_tokens.min(chunk);
                chunk -= part;
                call.unread_tokens -= part;
                if call.unread_tokens == 0 {
                    outcome.first_tokens.push(call.number);
                    read.push(call.prefix.clone());
                    call.output_left = call.output_left.saturating_sub(1);
                }
            }
            if call.unread_tokens == 0 && call.output_left == 0 {
                outcome.ended.push(call.number);
            }
        }
        for prefix in read {
            self.store(now_ms, &prefix);
        }
        self.batch
            .retain(|call| call.unread_tokens > 0 || call.output_left > 0);
        self.record_report(now_ms);
        outcome
    }

    /// Returns the load as it was `lag_ms` ago.
    pub fn report(&mut self, now_ms: f64, lag_ms: f64) -> LoadReport {
        while self
            .reports
            .get(1)
            .is_some_and(|(taken, _)| *taken <= now_ms - lag_ms)
        {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((taken, report)) if *taken <= now_ms - lag_ms => *report,
            Some(_) | None => LoadReport::default(),
        }
    }

    /// Returns the cache events from `after` on that are older than `lag_ms`. With `is_lost` all of
    /// them are missing, so that the router sees a gap.
    pub fn cache_update(&self, now_ms: f64, lag_ms: f64, after: u64, is_lost: bool) -> CacheUpdate {
        let known = self
            .events
            .partition_point(|(happened, _, _)| *happened <= now_ms - lag_ms);
        let next = known as u64;
        let first = if is_lost { next } else { after.min(next) };
        let mut states = BTreeMap::new();
        for (_, hash, is_added) in &self.events[first as usize..known] {
            states.insert(*hash, *is_added);
        }
        let select = |wanted: bool| {
            states
                .iter()
                .filter(|(_, is_added)| **is_added == wanted)
                .map(|(hash, _)| *hash)
                .collect()
        };
        CacheUpdate {
            first,
            next,
            added: select(true),
            removed: select(false),
        }
    }

    fn record_report(&mut self, now_ms: f64) {
        let report = LoadReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            cache_permille: (self.cache.len() * 1_000 / CACHE_BLOCKS) as u32,
        };
        self.reports.push_back((now_ms, report));
    }

    /// Returns the number of leading blocks that are cached, and marks these as used.
    fn lookup(&mut self, prefix: &[u64]) -> u64 {
        let depth = prefix
            .iter()
            .take_while(|hash| self.cache.contains_key(hash))
            .count();
        for hash in &prefix[..depth] {
            self.touch(*hash);
        }
        depth as u64
    }

    fn store(&mut self, now_ms: f64, prefix: &[u64]) {
        // Deepest block first, so that the end of a prompt is evicted before its beginning.
        for hash in prefix.iter().rev() {
            if self.touch(*hash) {
                self.events.push((now_ms, *hash, true));
            }
        }
        while self.cache.len() > CACHE_BLOCKS {
            let Some((_, hash)) = self.oldest.pop_first() else {
                break;
            };
            self.cache.remove(&hash);
            self.events.push((now_ms, hash, false));
        }
    }

    /// Marks a block as used, and returns whether it is new.
    fn touch(&mut self, hash: u64) -> bool {
        self.uses += 1;
        let before = self.cache.insert(hash, self.uses);
        if let Some(before) = before {
            self.oldest.remove(&(before, hash));
        }
        self.oldest.insert((self.uses, hash));
        before.is_none()
    }
}
