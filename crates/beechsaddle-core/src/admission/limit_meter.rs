//! The `limit_meter` module provides the use of one entry's limits at one router.

use std::collections::BTreeMap;

use super::{AdmissionOptions, PromiseLine, RateBucket, ShareWindow, WindowSum};
use crate::catalogue::{EntryId, EntryLimits};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::peer::LimitUse;
use crate::random::SeededRandom;
use crate::refusal::RefusalReason;

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60_000;

/// For how long a rate may be saved up, in milliseconds.
const REQUEST_BURST_MS: f64 = 1_000.0;
const TOKEN_BURST_MS: f64 = 15_000.0;

/// The weight of the newest call in the average of how much of its bound a call uses.
const RATIO_WEIGHT: f64 = 0.05;

/// The least part of its bound that a call is taken to use.
const RATIO_MIN: f64 = 0.02;

/// A limit that has nothing left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitShort {
    /// Which limit.
    pub reason: RefusalReason,
    /// After how many milliseconds coming back helps; `None` when it never does.
    pub retry_after_ms: Option<u64>,
}

/// One entry's limits at one router.
#[derive(Debug)]
pub struct LimitMeter {
    pub(super) limits: EntryLimits,
    pub(super) running: u32,
    pub(super) touched: ClockTime,
    pub(super) peers: BTreeMap<RouterIncarnation, (LimitUse, ClockTime)>,
    pub(super) told: Option<(LimitUse, ClockTime)>,
    held_back: WindowSum,
    requests_asked: WindowSum,
    tokens_asked: WindowSum,
    running_share: ShareWindow,
    request_share: ShareWindow,
    token_share: ShareWindow,
    request_bucket: RateBucket,
    token_bucket: RateBucket,
    promises: PromiseLine,
    used_ratio: f64,
    mean_call_ms: f64,
}

impl LimitMeter {
    /// A meter without use.
    pub fn new(limits: EntryLimits) -> Self {
        LimitMeter {
            limits,
            running: 0,
            touched: ClockTime::ZERO,
            peers: BTreeMap::new(),
            told: None,
            held_back: WindowSum::new(SECOND_MS),
            requests_asked: WindowSum::new(SECOND_MS),
            tokens_asked: WindowSum::new(MINUTE_MS),
            running_share: ShareWindow::default(),
            request_share: ShareWindow::default(),
            token_share: ShareWindow::default(),
            request_bucket: RateBucket::default(),
            token_bucket: RateBucket::default(),
            promises: PromiseLine::default(),
            used_ratio: 1.0,
            mean_call_ms: 1_000.0,
        }
    }

    /// Notes that a call asks, and tells which limit has nothing left for it, if any.
    pub fn ask(
        &mut self,
        now: ClockTime,
        tokens: u64,
        routers: usize,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Result<(), LimitShort> {
        self.touched = now;
        let cost = self.cost_of(tokens);
        self.requests_asked.add(now, 1);
        self.tokens_asked.add(now, cost as u64);
        self.update_shares(now, routers, options);
        self.check_running(now, routers, options, random)?;
        self.check_requests(now, options, random)?;
        self.check_tokens(now, cost, options, random)
    }

    /// Takes what an admitted call needs.
    pub fn take(&mut self, now: ClockTime, tokens: u64) {
        self.running += 1;
        self.request_bucket.take(now, 1.0);
        let cost = self.cost_of(tokens);
        self.token_bucket.take(now, cost);
    }

    /// Gives back what a call held that ended with `used` of its `tokens`.
    pub fn give_back(&mut self, now: ClockTime, tokens: u64, used: u64, call_ms: u64) {
        self.running = self.running.saturating_sub(1);
        // The cost was guessed when the call began; the bucket pays or gets the difference now.
        let cost = self.cost_of(tokens);
        self.token_bucket.take(now, used as f64 - cost);
        if tokens > 0 {
            let ratio = used as f64 / tokens as f64;
            self.used_ratio += RATIO_WEIGHT * (ratio.min(1.0) - self.used_ratio);
        }
        self.mean_call_ms += RATIO_WEIGHT * (call_ms as f64 - self.mean_call_ms);
    }

    /// What this router's callers ask of the limits.
    pub fn own_use(&mut self, now: ClockTime, entry: &EntryId) -> LimitUse {
        let held_back = u32::try_from(self.held_back.sum(now)).unwrap_or(u32::MAX);
        LimitUse {
            entry: entry.clone(),
            running: self.running,
            held_back,
            requests: u32::try_from(self.requests_asked.sum(now)).unwrap_or(u32::MAX),
            tokens: self.tokens_asked.sum(now),
        }
    }

    /// Whether nothing is held and nothing was asked for long.
    pub fn is_idle(&self, now: ClockTime, options: &AdmissionOptions) -> bool {
        self.running == 0 && self.peers.is_empty() && now.since(self.touched) > options.idle_ms
    }

    /// Works out this router's shares from its own demand and that of its peers.
    pub fn update_shares(&mut self, now: ClockTime, routers: usize, options: &AdmissionOptions) {
        self.peers
            .retain(|_, (_, heard)| now.since(*heard) <= options.expire_ms);
        let held_back = self.held_back.sum(now);
        let running = u64::from(self.running) + held_back;
        let requests = self.requests_asked.sum(now);
        let tokens = self.tokens_asked.sum(now);
        let peer_running: u64 = self
            .peers
            .values()
            .map(|(peer, _)| u64::from(peer.running) + u64::from(peer.held_back))
            .sum();
        let peer_requests: u64 = self
            .peers
            .values()
            .map(|(peer, _)| u64::from(peer.requests))
            .sum();
        let peer_tokens: u64 = self.peers.values().map(|(peer, _)| peer.tokens).sum();
        let settle_ms = options.settle_ms;
        let share = share_of(running, peer_running, routers, options);
        self.running_share.settle(now, share, settle_ms);
        let share = share_of(requests, peer_requests, routers, options);
        let share = self.request_share.settle(now, share, settle_ms);
        if let Some(limit) = self.limits.requests_per_second {
            let rate = share * f64::from(limit) / SECOND_MS as f64;
            let burst = (rate * REQUEST_BURST_MS).max(1.0);
            self.request_bucket.set_rate(now, rate, burst);
        }
        let share = share_of(tokens, peer_tokens, routers, options);
        let share = self.token_share.settle(now, share, settle_ms);
        if let Some(limit) = self.limits.tokens_per_minute {
            let rate = share * limit as f64 / MINUTE_MS as f64;
            self.token_bucket.set_rate(now, rate, rate * TOKEN_BURST_MS);
        }
    }

    fn check_running(
        &mut self,
        now: ClockTime,
        routers: usize,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Result<(), LimitShort> {
        let Some(limit) = self.limits.concurrency else {
            return Ok(());
        };
        let share = self.running_share.current();
        // Rounding up lets each router run at least one call of an entry whose limit is smaller
        // than the number of routers; together they may exceed it by one call a router.
        let shared = (share * f64::from(limit)).ceil() as u32;
        // Calls that run are not cut when a share falls. Until the losing router's calls have ended,
        // the gaining one gets only what they leave, and its floor.
        let even = options.floor_permille as f64 / 1_000.0 / routers.max(1) as f64;
        let floor = (even * f64::from(limit)).ceil() as u32;
        let allowed = shared.min(limit.saturating_sub(self.peer_running()).max(floor));
        if self.running < allowed {
            return Ok(());
        }
        self.held_back.add(now, 1);
        if allowed == 0 {
            return Err(short(RefusalReason::ConcurrencyLimit, None));
        }
        let spacing_ms = (self.mean_call_ms / f64::from(allowed)).ceil() as u64;
        let max_ms = options.retry_after_max_ms;
        let promise = self
            .promises
            .promise(now, spacing_ms, spacing_ms, max_ms, random);
        Err(short(RefusalReason::ConcurrencyLimit, Some(promise)))
    }

    /// Calls that peers said are running.
    fn peer_running(&self) -> u32 {
        self.peers
            .values()
            .fold(0, |sum, (peer, _)| sum.saturating_add(peer.running))
    }

    fn check_requests(
        &mut self,
        now: ClockTime,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Result<(), LimitShort> {
        if self.limits.requests_per_second.is_none() {
            return Ok(());
        }
        let wait_ms = self.request_bucket.wait_ms(now, 1.0);
        if wait_ms == 0 {
            return Ok(());
        }
        let spacing_ms = self.request_bucket.span_ms(1.0);
        let max_ms = options.retry_after_max_ms;
        let promise = self
            .promises
            .promise(now, wait_ms, spacing_ms, max_ms, random);
        Err(short(RefusalReason::RequestRateLimit, Some(promise)))
    }

    fn check_tokens(
        &mut self,
        now: ClockTime,
        cost: f64,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Result<(), LimitShort> {
        if self.limits.tokens_per_minute.is_none() {
            return Ok(());
        }
        let wait_ms = self.token_bucket.wait_ms(now, cost);
        if wait_ms == 0 {
            return Ok(());
        }
        let spacing_ms = self.token_bucket.span_ms(cost);
        let max_ms = options.retry_after_max_ms;
        let promise = self
            .promises
            .promise(now, wait_ms, spacing_ms, max_ms, random);
        Err(short(RefusalReason::TokenRateLimit, Some(promise)))
    }

    /// What a call with this bound is taken to use. Bounds are a multiple of what calls use, and
    /// taking them whole would refuse calls that the limit has room for.
    fn cost_of(&self, tokens: u64) -> f64 {
        tokens as f64 * self.used_ratio.max(RATIO_MIN)
    }
}

/// This router's share: an even part of the floor, and of the rest as much as its part of demand.
fn share_of(own: u64, peers: u64, routers: usize, options: &AdmissionOptions) -> f64 {
    let even = 1.0 / routers.max(1) as f64;
    let total = own.saturating_add(peers);
    if total == 0 {
        return even;
    }
    let floor = options.floor_permille as f64 / 1_000.0;
    floor * even + (1.0 - floor) * (own as f64 / total as f64)
}

fn short(reason: RefusalReason, retry_after_ms: Option<u64>) -> LimitShort {
    LimitShort {
        reason,
        retry_after_ms,
    }
}
