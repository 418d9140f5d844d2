//! The `liveness_check` module provides the transitions of silent routers to down and gone.

use super::host_view::HostView;
use super::{MemberEntry, MemberLiveness, MemberOptions, MemberTable};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::outbox::CoreOutbox;
use crate::signal::CoreSignal;

/// Finds routers that became silent or have ended.
#[derive(Debug)]
pub(super) struct LivenessCheck<'a> {
    pub options: &'a MemberOptions,
    pub hosts: &'a HostView,
    pub now: ClockTime,
}

impl LivenessCheck<'_> {
    /// Extends the deadlines of other routers by a pause of this process. It received no heartbeats
    /// during the pause and would otherwise mark the whole domain as down.
    pub fn discount_own_pause(&self, table: &mut MemberTable, last_tick: Option<ClockTime>) {
        let pause_ms = last_tick.map_or(0, |last| self.now.since(last));
        if pause_ms < self.options.heartbeat_ms {
            return;
        }
        for (_, entry) in table.iter_mut() {
            entry.last_seen_at = entry.last_seen_at.plus_ms(pause_ms).min(self.now);
        }
    }

    /// Applies and reports the changes.
    pub fn run(&self, table: &mut MemberTable, outbox: &mut CoreOutbox) {
        let own = table.domain().clone();
        for (router, entry) in table.iter_mut() {
            let in_domain = entry.domain == own;
            if entry.liveness == MemberLiveness::Live && self.is_silent(entry, in_domain) {
                entry.liveness = MemberLiveness::Down;
                if in_domain {
                    outbox.signal(CoreSignal::MemberDown(router.clone()));
                }
            }
            if entry.liveness == MemberLiveness::Down && self.has_ended(router, entry) {
                entry.liveness = MemberLiveness::Gone;
                outbox.signal(CoreSignal::MemberGone(router.clone()));
            }
        }
    }

    fn is_silent(&self, entry: &MemberEntry, in_domain: bool) -> bool {
        let limit_ms = match in_domain {
            true => self.options.down_after_ms,
            // Routers of other domains send fewer heartbeats.
            false => {
                let periods = self.options.slow_heartbeat_periods.max(1);
                self.options.down_after_ms.saturating_mul(periods)
            }
        };
        self.now.since(entry.last_seen_at) >= limit_ms
    }

    /// A silent router has ended if the platform unlisted its host or lists a replacement after the
    /// router was last seen.
    fn has_ended(&self, router: &RouterIncarnation, entry: &MemberEntry) -> bool {
        let replaced = self
            .hosts
            .replaced_at(&router.host)
            .is_some_and(|time| entry.last_seen_at <= time);
        // An unlisted host may be too new for the delayed list.
        let unlisted = self.hosts.knows(&entry.domain)
            && self.hosts.get(&entry.domain, &router.host).is_none()
            && self.now.since(entry.last_seen_at) >= self.options.list_lag_ms;
        replaced || unlisted
    }
}
