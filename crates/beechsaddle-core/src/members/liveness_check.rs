//! The `liveness_check` module provides how silent routers come to be down and gone.

use super::host_view::HostView;
use super::{MemberEntry, MemberLiveness, MemberOptions, MemberTable};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::outbox::CoreOutbox;
use crate::signal::CoreSignal;

/// Looks for routers that fell silent or have ended.
#[derive(Debug)]
pub(super) struct LivenessCheck<'a> {
    pub options: &'a MemberOptions,
    pub hosts: &'a HostView,
    pub now: ClockTime,
}

impl LivenessCheck<'_> {
    /// A router that was paused has heard nobody meanwhile and would call the whole domain down.
    /// The pause is taken off the silence of the others: they get a full waiting time to be heard.
    pub fn excuse_own_pause(&self, table: &mut MemberTable, last_tick: Option<ClockTime>) {
        let pause_ms = last_tick.map_or(0, |last| self.now.since(last));
        if pause_ms < self.options.heartbeat_ms {
            return;
        }
        for (_, entry) in table.iter_mut() {
            entry.heard = entry.heard.plus_ms(pause_ms).min(self.now);
        }
    }

    /// Marks and reports what changed.
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
                let periods = self.options.slow_beats.max(1);
                self.options.down_after_ms.saturating_mul(periods)
            }
        };
        self.now.since(entry.heard) >= limit_ms
    }

    /// A silent router has ended when the platform took its host off the list, or lists a
    /// replacement, after the router was last heard.
    fn has_ended(&self, router: &RouterIncarnation, entry: &MemberEntry) -> bool {
        let replaced = self
            .hosts
            .replaced_at(&router.host)
            .is_some_and(|time| entry.heard <= time);
        // A host that is in no list may be so new that the list lags behind it.
        let unlisted = self.hosts.knows(&entry.domain)
            && self.hosts.get(&entry.domain, &router.host).is_none()
            && self.now.since(entry.heard) >= self.options.list_lag_ms;
        replaced || unlisted
    }
}
