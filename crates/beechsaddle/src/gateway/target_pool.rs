//! The `target_pool` module provides the pool of idle connections to targets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use beechsaddle_core::prelude::*;
use beechsaddle_link::HttpLink;

/// Maximum idle connections per target: more than a router uses at once at the rates a target can
/// handle.
const MAX_IDLE_LINKS: usize = 12;

/// Lifetime of an idle connection whose target announces no keep-alive timeout, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 400;

/// Margin before the target's keep-alive timeout at which an idle connection is dropped, in
/// milliseconds. A request that crosses with the close is lost, and whether it ran is unknown.
const KEEP_ALIVE_MARGIN_MS: u64 = 700;

#[derive(Debug)]
struct IdleLink {
    link: HttpLink,
    usable_until: ClockTime,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub(super) struct TargetPool {
    links: RefCell<BTreeMap<SocketAddr, Vec<IdleLink>>>,
}

impl TargetPool {
    /// Takes the most recently used connection, which is the least likely to be closed.
    pub(super) fn take(&self, now: ClockTime, address: SocketAddr) -> Option<HttpLink> {
        let mut links = self.links.borrow_mut();
        let idle = links.get_mut(&address)?;
        while let Some(entry) = idle.pop() {
            if now < entry.usable_until && entry.link.is_ready() {
                return Some(entry.link);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response.
    pub(super) fn put(
        &self,
        now: ClockTime,
        address: SocketAddr,
        link: HttpLink,
        keep_alive_ms: Option<u64>,
    ) {
        let keep_alive_left_ms = match keep_alive_ms {
            Some(span) => span.saturating_sub(KEEP_ALIVE_MARGIN_MS),
            None => DEFAULT_KEEP_ALIVE_MS,
        };
        let mut links = self.links.borrow_mut();
        let idle = links.entry(address).or_default();
        if idle.len() < MAX_IDLE_LINKS && keep_alive_left_ms > 0 {
            idle.push(IdleLink {
                link,
                usable_until: now.plus_ms(keep_alive_left_ms),
            });
        }
    }

    /// Drops all connections.
    pub(super) fn clear(&self) {
        self.links.borrow_mut().clear();
    }

    /// Drops all connections to an address.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.links.borrow_mut().remove(&address);
    }

    /// Drops connections that are expired or closed.
    pub(super) fn prune(&self, now: ClockTime) {
        let mut links = self.links.borrow_mut();
        for idle in links.values_mut() {
            idle.retain(|entry| now < entry.usable_until && entry.link.is_ready());
        }
        links.retain(|_, idle| !idle.is_empty());
    }
}
