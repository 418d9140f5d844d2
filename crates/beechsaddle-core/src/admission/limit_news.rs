//! The `limit_news` module provides what routers of a domain tell each other of limits in use.

use super::{AdmissionGate, AdmissionOptions, LimitMeter};
use crate::catalogue::{EntryId, EntryLimits};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::peer::LimitUse;

impl AdmissionGate {
    /// Takes a peer's use from its heartbeat. Entries that it does not name keep what it told last.
    pub fn on_limits(&mut self, now: ClockTime, from: &RouterIncarnation, uses: &[LimitUse]) {
        for told in uses {
            if !self.meters.contains_key(&told.entry) {
                if self.meters.len() >= self.options.meter_limit {
                    continue;
                }
                let meter = LimitMeter::new(EntryLimits::default());
                self.meters.insert(told.entry.clone(), meter);
            }
            let Some(meter) = self.meters.get_mut(&told.entry) else {
                continue;
            };
            if is_nothing(told) {
                meter.peers.remove(from);
            } else {
                meter.peers.insert(from.clone(), (told.clone(), now));
            }
        }
    }

    /// What to tell in the next heartbeat. A router that uses less than its floor of a limit says
    /// nothing of it, since its peers leave it the floor anyway; so the bytes follow the number of
    /// entries that are near a limit, not the number of workspaces.
    pub fn take_limits(&mut self, now: ClockTime) -> Vec<LimitUse> {
        let names: Vec<EntryId> = self.names_in_turn();
        let mut told = Vec::new();
        for entry in names {
            if told.len() >= self.options.news_limit {
                self.next_told = Some(entry);
                return told;
            }
            let Some(meter) = self.meters.get_mut(&entry) else {
                continue;
            };
            if let Some(news) = meter.take_news(now, &entry, self.routers, &self.options) {
                told.push(news);
            }
        }
        self.next_told = None;
        told
    }

    /// The entries from the one at which the last heartbeat was full.
    fn names_in_turn(&self) -> Vec<EntryId> {
        let Some(start) = &self.next_told else {
            return self.meters.keys().cloned().collect();
        };
        let after = self.meters.range(start.clone()..);
        let before = self.meters.range(..start.clone());
        after
            .chain(before)
            .map(|(entry, _)| entry.clone())
            .collect()
    }
}

impl LimitMeter {
    fn take_news(
        &mut self,
        now: ClockTime,
        entry: &EntryId,
        routers: usize,
        options: &AdmissionOptions,
    ) -> Option<LimitUse> {
        let mut own = self.own_use(now, entry);
        if !self.is_above_floor(&own, routers, options) {
            own = LimitUse {
                entry: entry.clone(),
                running: 0,
                held_back: 0,
                requests: 0,
                tokens: 0,
            };
        }
        let is_due = match &self.told {
            None => !is_nothing(&own),
            Some((told, _)) if is_nothing(told) && is_nothing(&own) => false,
            Some((told, when)) => now.since(*when) >= options.refresh_ms || is_changed(told, &own),
        };
        if !is_due {
            return None;
        }
        self.told = Some((own.clone(), now));
        Some(own)
    }

    /// Whether this router uses more of any limit than its peers leave it unasked.
    fn is_above_floor(&self, own: &LimitUse, routers: usize, options: &AdmissionOptions) -> bool {
        let floor = options.floor_permille as f64 / 1_000.0 / routers.max(1) as f64;
        let is_above = |used: u64, limit: Option<u64>| {
            limit.is_some_and(|limit| used as f64 > floor * limit as f64)
        };
        is_above(
            u64::from(own.running) + u64::from(own.held_back),
            self.limits.concurrency.map(u64::from),
        ) || is_above(
            u64::from(own.requests),
            self.limits.requests_per_second.map(u64::from),
        ) || is_above(own.tokens, self.limits.tokens_per_minute)
    }
}

fn is_nothing(told: &LimitUse) -> bool {
    told.running == 0 && told.held_back == 0 && told.requests == 0 && told.tokens == 0
}

/// Whether a use changed by more than an eighth: less moves no share by a call worth telling.
fn is_changed(told: &LimitUse, own: &LimitUse) -> bool {
    let differs = |before: u64, after: u64| before.abs_diff(after) * 8 > before.max(after);
    differs(u64::from(told.running), u64::from(own.running))
        || differs(u64::from(told.held_back), u64::from(own.held_back))
        || differs(u64::from(told.requests), u64::from(own.requests))
        || differs(told.tokens, own.tokens)
}
