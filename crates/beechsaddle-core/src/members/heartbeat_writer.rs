//! The `heartbeat_writer` module provides the content of a heartbeat for each receiver.

use std::collections::BTreeMap;

use super::heartbeat_plan::HeartbeatReceiver;
use super::{HeartbeatUpdate, MemberLiveness, MemberTable};
use crate::clock::ClockTime;
use crate::names::RouterIncarnation;
use crate::peer::{LimitUse, PeerHeartbeat, RouterState, RouterUpdate, TargetUpdate};

/// Creates the heartbeats of one period.
#[derive(Debug)]
pub(super) struct HeartbeatWriter<'a> {
    pub table: &'a MemberTable,
    /// Routers first seen a short time ago.
    pub recent: &'a BTreeMap<RouterIncarnation, ClockTime>,
    pub bridges: Vec<RouterIncarnation>,
    pub address: &'a str,
    pub state: RouterState,
    pub sequence: u64,
    pub update: &'a HeartbeatUpdate,
}

impl HeartbeatWriter<'_> {
    /// Creates the heartbeat for one receiver.
    pub fn write(&self, now: ClockTime, receiver: &HeartbeatReceiver) -> PeerHeartbeat {
        let (targets, limits) = self.shared_updates(receiver);
        PeerHeartbeat {
            domain: self.table.domain().clone(),
            address: self.address.to_string(),
            sequence: self.sequence,
            state: self.state,
            catalogue_revision: self.update.catalogue_revision,
            layout: self.update.layout,
            targets,
            limits,
            routers: self.router_updates(now, receiver),
        }
    }

    /// Target and limit updates, which are only sent within a domain.
    fn shared_updates(&self, receiver: &HeartbeatReceiver) -> (Vec<TargetUpdate>, Vec<LimitUse>) {
        match receiver.cross_domain {
            true => (Vec::new(), Vec::new()),
            false => (self.update.targets.clone(), self.update.limits.clone()),
        }
    }

    /// Live routers of the own domain that the receiver may not know. Another domain gets the
    /// bridges only; within the domain, a new router gets all routers, and all routers get the new
    /// one.
    fn router_updates(&self, now: ClockTime, receiver: &HeartbeatReceiver) -> Vec<RouterUpdate> {
        let receiver_recent = self.recent.contains_key(&receiver.router);
        let wanted = |router: &RouterIncarnation| match receiver.cross_domain {
            true => self.bridges.contains(router),
            false => receiver_recent || self.recent.contains_key(router),
        };
        let own = (receiver.cross_domain && self.bridges.contains(self.table.me()))
            .then(|| self.own_update());
        let others = self
            .table
            .iter()
            .filter(|(router, entry)| {
                entry.liveness == MemberLiveness::Live
                    && entry.domain == *self.table.domain()
                    && router.host != receiver.router.host
                    && wanted(router)
            })
            .map(|(router, entry)| RouterUpdate {
                router: router.clone(),
                domain: entry.domain.clone(),
                address: entry.address.clone(),
                catalogue_revision: entry.catalogue_revision,
                age_ms: now.since(entry.last_seen_at),
            });
        others.chain(own).collect()
    }

    /// The entry of this router; in a heartbeat to another domain it announces this router as a
    /// bridge.
    fn own_update(&self) -> RouterUpdate {
        RouterUpdate {
            router: self.table.me().clone(),
            domain: self.table.domain().clone(),
            address: self.address.to_string(),
            catalogue_revision: self.update.catalogue_revision,
            age_ms: 0,
        }
    }
}
