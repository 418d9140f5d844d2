//! The `limit_meter` module provides the use of one entry's limits at one router.

use std::collections::BTreeMap;

use super::{AdmissionOptions, RateBucket, RetrySlots, ShareWindow, WindowSum};
use crate::catalogue::{EntryId, EntryLimits};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::peer::LimitUse;
use crate::random::SeededRandom;
use crate::refusal::RefusalReason;

const SECOND_MS: u64 = 1_000;
const MINUTE_MS: u64 = 60_000;

/// The bursts that the token buckets allow, in milliseconds of their rate.
const REQUEST_BURST_MS: f64 = 1_000.0;
const TOKEN_BURST_MS: f64 = 15_000.0;

/// The weight of the newest call in the average of used tokens relative to the call's bound.
const RATIO_WEIGHT: f64 = 0.05;

/// The minimum fraction of its bound that a call is assumed to use.
const RATIO_MIN: f64 = 0.02;

/// An exhausted limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitExceeded {
    pub reason: RefusalReason,
    /// The delay in milliseconds after which a retry can succeed; `None` if it never can.
    pub retry_after_ms: Option<u64>,
}

/// One entry's limits and their use at one router.
#[derive(Debug)]
pub struct LimitMeter {
    pub(super) limits: EntryLimits,
    pub(super) running: u32,
    pub(super) last_used_at: ClockTime,
    pub(super) peers: BTreeMap<RouterIncarnation, (LimitUse, ClockTime)>,
    pub(super) sent: Option<(LimitUse, ClockTime)>,
    held_back: WindowSum,
    request_demand: WindowSum,
    token_demand: WindowSum,
    running_share: ShareWindow,
    request_share: ShareWindow,
    token_share: ShareWindow,
    request_bucket: RateBucket,
    token_bucket: RateBucket,
    retry_slots: RetrySlots,
    used_ratio: f64,
    mean_call_ms: f64,
}

impl LimitMeter {
    /// Creates a meter without use.
    pub fn new(limits: EntryLimits) -> Self {
        LimitMeter {
            limits,
            running: 0,
            last_used_at: ClockTime::ZERO,
            peers: BTreeMap::new(),
            sent: None,
            held_back: WindowSum::new(SECOND_MS),
            request_demand: WindowSum::new(SECOND_MS),
            token_demand: WindowSum::new(MINUTE_MS),
            running_share: ShareWindow::default(),
            request_share: ShareWindow::default(),
            token_share: ShareWindow::default(),
            request_bucket: RateBucket::default(),
            token_bucket: RateBucket::default(),
            retry_slots: RetrySlots::default(),
            used_ratio: 1.0,
            mean_call_ms: 1_000.0,
        }
    }

    /// Records the demand of a call and checks it against all limits.
    pub fn check(
        &mut self,
        now: ClockTime,
        tokens: u64,
        routers: usize,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Result<(), LimitExceeded> {
        self.last_used_at = now;
        let cost = self.cost_of(tokens);
        self.request_demand.add(now, 1);
        self.token_demand.add(now, cost as u64);
        self.update_shares(now, routers, options);
        self.check_running(now, routers, options, random)?;
        self.check_requests(now, options, random)?;
        self.check_tokens(now, cost, options, random)
    }

    /// Charges an admitted call to the limits.
    pub fn take(&mut self, now: ClockTime, tokens: u64) {
        self.running += 1;
        self.request_bucket.take(now, 1.0);
        let cost = self.cost_of(tokens);
        self.token_bucket.take(now, cost);
    }

    /// Releases the concurrency of an ended call and corrects its cost to the `used` of its
    /// `tokens`.
    pub fn release(&mut self, now: ClockTime, tokens: u64, used: u64, call_ms: u64) {
        self.running = self.running.saturating_sub(1);
        // The cost was estimated at admission; the bucket is charged or credited the difference.
        let cost = self.cost_of(tokens);
        self.token_bucket.take(now, used as f64 - cost);
        if tokens > 0 {
            let ratio = used as f64 / tokens as f64;
            self.used_ratio += RATIO_WEIGHT * (ratio.min(1.0) - self.used_ratio);
        }
        self.mean_call_ms += RATIO_WEIGHT * (call_ms as f64 - self.mean_call_ms);
    }

    /// The demand of this router's callers.
    pub fn own_use(&mut self, now: ClockTime, entry: &EntryId) -> LimitUse {
        let held_back = u32::try_from(self.held_back.sum(now)).unwrap_or(u32::MAX);
        LimitUse {
            entry: entry.clone(),
            running: self.running,
            held_back,
            requests: u32::try_from(self.request_demand.sum(now)).unwrap_or(u32::MAX),
            tokens: self.token_demand.sum(now),
        }
    }

    /// Whether no call is running, no peer reports use and the meter has been unused for the idle
    /// time.
    pub fn is_idle(&self, now: ClockTime, options: &AdmissionOptions) -> bool {
        self.running == 0 && self.peers.is_empty() && now.since(self.last_used_at) > options.idle_ms
    }

    /// Computes this router's shares from its own demand and that of its peers.
    pub fn update_shares(&mut self, now: ClockTime, routers: usize, options: &AdmissionOptions) {
        self.peers
            .retain(|_, (_, received_at)| now.since(*received_at) <= options.expire_ms);
        let held_back = self.held_back.sum(now);
        let running = u64::from(self.running) + held_back;
        let requests = self.request_demand.sum(now);
        let tokens = self.token_demand.sum(now);
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
        let share_rise_delay_ms = options.share_rise_delay_ms;
        let share = share_of(running, peer_running, routers, options);
        self.running_share.record(now, share, share_rise_delay_ms);
        let share = share_of(requests, peer_requests, routers, options);
        let share = self.request_share.record(now, share, share_rise_delay_ms);
        if let Some(limit) = self.limits.requests_per_second {
            let rate = share * f64::from(limit) / SECOND_MS as f64;
            let burst = (rate * REQUEST_BURST_MS).max(1.0);
            self.request_bucket.set_rate(now, rate, burst);
        }
        let share = share_of(tokens, peer_tokens, routers, options);
        let share = self.token_share.record(now, share, share_rise_delay_ms);
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
    ) -> Result<(), LimitExceeded> {
        let Some(limit) = self.limits.concurrency else {
            return Ok(());
        };
        let share = self.running_share.current();
        // Rounding up lets each router run at least one call of an entry whose limit is below the
        // number of routers; together they may exceed it by one call per router.
        let shared = (share * f64::from(limit)).ceil() as u32;
        // Running calls are not cancelled when a share shrinks. Until they end, a router whose
        // share grows gets only what they leave free, and its floor.
        let even = options.floor_permille as f64 / 1_000.0 / routers.max(1) as f64;
        let floor = (even * f64::from(limit)).ceil() as u32;
        let allowed = shared.min(limit.saturating_sub(self.peer_running()).max(floor));
        if self.running < allowed {
            return Ok(());
        }
        self.held_back.add(now, 1);
        if allowed == 0 {
            return Err(exceeded(RefusalReason::ConcurrencyLimit, None));
        }
        let spacing_ms = (self.mean_call_ms / f64::from(allowed)).ceil() as u64;
        let max_ms = options.retry_after_max_ms;
        let retry_ms = self
            .retry_slots
            .retry_ms(now, spacing_ms, spacing_ms, max_ms, random);
        Err(exceeded(RefusalReason::ConcurrencyLimit, Some(retry_ms)))
    }

    /// The number of running calls that peers reported.
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
    ) -> Result<(), LimitExceeded> {
        if self.limits.requests_per_second.is_none() {
            return Ok(());
        }
        let wait_ms = self.request_bucket.wait_ms(now, 1.0);
        if wait_ms == 0 {
            return Ok(());
        }
        let spacing_ms = self.request_bucket.refill_ms(1.0);
        let max_ms = options.retry_after_max_ms;
        let retry_ms = self
            .retry_slots
            .retry_ms(now, wait_ms, spacing_ms, max_ms, random);
        Err(exceeded(RefusalReason::RequestRateLimit, Some(retry_ms)))
    }

    fn check_tokens(
        &mut self,
        now: ClockTime,
        cost: f64,
        options: &AdmissionOptions,
        random: &mut SeededRandom,
    ) -> Result<(), LimitExceeded> {
        if self.limits.tokens_per_minute.is_none() {
            return Ok(());
        }
        let wait_ms = self.token_bucket.wait_ms(now, cost);
        if wait_ms == 0 {
            return Ok(());
        }
        let spacing_ms = self.token_bucket.refill_ms(cost);
        let max_ms = options.retry_after_max_ms;
        let retry_ms = self
            .retry_slots
            .retry_ms(now, wait_ms, spacing_ms, max_ms, random);
        Err(exceeded(RefusalReason::TokenRateLimit, Some(retry_ms)))
    }

    /// The estimated cost of a call with this bound. Bounds are a multiple of actual use, so
    /// charging them in full would refuse calls that fit into the limit.
    fn cost_of(&self, tokens: u64) -> f64 {
        tokens as f64 * self.used_ratio.max(RATIO_MIN)
    }
}

/// This router's share: an even part of the floor, and a part of the remainder proportional to its
/// demand.
fn share_of(own: u64, peers: u64, routers: usize, options: &AdmissionOptions) -> f64 {
    let even = 1.0 / routers.max(1) as f64;
    let total = own.saturating_add(peers);
    if total == 0 {
        return even;
    }
    let floor = options.floor_permille as f64 / 1_000.0;
    floor * even + (1.0 - floor) * (own as f64 / total as f64)
}

fn exceeded(reason: RefusalReason, retry_after_ms: Option<u64>) -> LimitExceeded {
    LimitExceeded {
        reason,
        retry_after_ms,
    }
}
