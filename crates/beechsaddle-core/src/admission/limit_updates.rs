//! The `limit_updates` module provides the exchange of limit use between the routers of a domain.

use super::{AdmissionGate, AdmissionOptions, LimitMeter};
use crate::catalogue::{EntryId, EntryLimits};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::peer::LimitUse;

impl AdmissionGate {
    /// Applies a peer's use from its heartbeat. Entries that are missing from it keep their last
    /// values.
    pub fn on_limits(&mut self, now: ClockTime, from: &RouterIncarnation, uses: &[LimitUse]) {
        for received in uses {
            if !self.meters.contains_key(&received.entry) {
                if self.meters.len() >= self.options.meter_limit {
                    continue;
                }
                let meter = LimitMeter::new(EntryLimits::default());
                self.meters.insert(received.entry.clone(), meter);
            }
            let Some(meter) = self.meters.get_mut(&received.entry) else {
                continue;
            };
            if is_zero(received) {
                meter.peers.remove(from);
            } else {
                meter.peers.insert(from.clone(), (received.clone(), now));
            }
        }
    }

    /// Returns the use to send in the next heartbeat. A router below its floor of a limit sends
    /// nothing, since its peers leave it the floor anyway; the bytes grow with the number of
    /// entries near a limit rather than with the number of workspaces.
    pub fn take_limits(&mut self, now: ClockTime) -> Vec<LimitUse> {
        let names: Vec<EntryId> = self.entries_from_cursor();
        let mut updates = Vec::new();
        for entry in names {
            if updates.len() >= self.options.update_limit {
                self.next_update = Some(entry);
                return updates;
            }
            let Some(meter) = self.meters.get_mut(&entry) else {
                continue;
            };
            if let Some(update) = meter.take_update(now, &entry, self.routers, &self.options) {
                updates.push(update);
            }
        }
        self.next_update = None;
        updates
    }

    /// The entries in rotation, from the first that did not fit into the last heartbeat.
    fn entries_from_cursor(&self) -> Vec<EntryId> {
        let Some(start) = &self.next_update else {
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
    fn take_update(
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
        let is_due = match &self.sent {
            None => !is_zero(&own),
            Some((sent, _)) if is_zero(sent) && is_zero(&own) => false,
            Some((sent, when)) => now.since(*when) >= options.refresh_ms || is_changed(sent, &own),
        };
        if !is_due {
            return None;
        }
        self.sent = Some((own.clone(), now));
        Some(own)
    }

    /// Whether this router uses more of any limit than its floor, which peers always leave to it.
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

fn is_zero(sent: &LimitUse) -> bool {
    sent.running == 0 && sent.held_back == 0 && sent.requests == 0 && sent.tokens == 0
}

/// Whether a use changed by more than an eighth; smaller changes do not move a share by a whole
/// call.
fn is_changed(sent: &LimitUse, own: &LimitUse) -> bool {
    let differs = |before: u64, after: u64| before.abs_diff(after) * 8 > before.max(after);
    differs(u64::from(sent.running), u64::from(own.running))
        || differs(u64::from(sent.held_back), u64::from(own.held_back))
        || differs(u64::from(sent.requests), u64::from(own.requests))
        || differs(sent.tokens, own.tokens)
}
