//! The `heartbeat_writer` module provides what a heartbeat says to one receiver.

use std::collections::BTreeMap;

use super::heartbeat_plan::HeartbeatReceiver;
use super::{HeartbeatNews, MemberLiveness, MemberTable};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::peer::{LimitUse, PeerHeartbeat, RouterNews, RouterState, TargetNews};

/// Writes the heartbeats of one period.
#[derive(Debug)]
pub(super) struct HeartbeatWriter<'a> {
    pub table: &'a MemberTable,
    /// Routers that were first heard a short while ago.
    pub fresh: &'a BTreeMap<RouterIncarnation, ClockTime>,
    pub bridges: Vec<RouterIncarnation>,
    pub address: &'a str,
    pub state: RouterState,
    pub sequence: u64,
    pub news: &'a HeartbeatNews,
}

impl HeartbeatWriter<'_> {
    /// The heartbeat for one receiver.
    pub fn write(&self, now: ClockTime, receiver: &HeartbeatReceiver) -> PeerHeartbeat {
        let (targets, limits) = self.shared_news(receiver);
        PeerHeartbeat {
            domain: self.table.domain().clone(),
            address: self.address.to_string(),
            sequence: self.sequence,
            state: self.state,
            catalogue_revision: self.news.catalogue_revision,
            layout: self.news.layout,
            targets,
            limits,
            routers: self.router_news(now, receiver),
        }
    }

    /// Targets and limits are shared within a domain only.
    fn shared_news(&self, receiver: &HeartbeatReceiver) -> (Vec<TargetNews>, Vec<LimitUse>) {
        match receiver.foreign {
            true => (Vec::new(), Vec::new()),
            false => (self.news.targets.clone(), self.news.limits.clone()),
        }
    }

    /// Live routers of the own domain that the receiver may not know. Another domain is told of
    /// the bridges; a router that is new knows nobody, and nobody knows it.
    fn router_news(&self, now: ClockTime, receiver: &HeartbeatReceiver) -> Vec<RouterNews> {
        let receiver_fresh = self.fresh.contains_key(&receiver.router);
        let wanted = |router: &RouterIncarnation| match receiver.foreign {
            true => self.bridges.contains(router),
            false => receiver_fresh || self.fresh.contains_key(router),
        };
        let own =
            (receiver.foreign && self.bridges.contains(self.table.me())).then(|| self.own_news());
        let others = self
            .table
            .iter()
            .filter(|(router, entry)| {
                entry.liveness == MemberLiveness::Live
                    && entry.domain == *self.table.domain()
                    && router.host != receiver.router.host
                    && wanted(router)
            })
            .map(|(router, entry)| RouterNews {
                router: router.clone(),
                domain: entry.domain.clone(),
                address: entry.address.clone(),
                catalogue_revision: entry.catalogue_revision,
                age_ms: now.since(entry.heard),
            });
        others.chain(own).collect()
    }

    /// This router as others see it; in a heartbeat to another domain it says that it is a bridge.
    fn own_news(&self) -> RouterNews {
        RouterNews {
            router: self.table.me().clone(),
            domain: self.table.domain().clone(),
            address: self.address.to_string(),
            catalogue_revision: self.news.catalogue_revision,
            age_ms: 0,
        }
    }
}
