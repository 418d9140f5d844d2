//! The `target_pool` module provides idle connections to targets.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use beechsaddle_core::prelude::*;
use beechsaddle_link::HttpLink;

/// Idle connections kept to each target: more than a router has at a time towards one at the rates
/// that a target bears.
const LINKS_EACH: usize = 12;

/// How long an idle connection is used where its target does not say how long it keeps it, in
/// milliseconds.
const SILENT_KEEP_MS: u64 = 400;

/// How long before the target's own limit an idle connection is given up, in milliseconds. A request
/// that meets the close would be lost, and nobody could tell whether it ran.
const KEEP_MARGIN_MS: u64 = 700;

#[derive(Debug)]
struct KeptLink {
    link: HttpLink,
    usable_until: ClockTime,
}

/// Idle connections, by address.
#[derive(Debug, Default)]
pub(super) struct TargetPool {
    links: RefCell<BTreeMap<SocketAddr, Vec<KeptLink>>>,
}

impl TargetPool {
    /// The connection that was used last, as it is the least likely to be closed.
    pub(super) fn take(&self, now: ClockTime, address: SocketAddr) -> Option<HttpLink> {
        let mut links = self.links.borrow_mut();
        let kept = links.get_mut(&address)?;
        while let Some(entry) = kept.pop() {
            if now < entry.usable_until && entry.link.is_ready() {
                return Some(entry.link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was whole.
    pub(super) fn put(
        &self,
        now: ClockTime,
        address: SocketAddr,
        link: HttpLink,
        keep_alive_ms: Option<u64>,
    ) {
        let keep_ms = match keep_alive_ms {
            Some(span) => span.saturating_sub(KEEP_MARGIN_MS),
            None => SILENT_KEEP_MS,
        };
        let mut links = self.links.borrow_mut();
        let kept = links.entry(address).or_default();
        if kept.len() < LINKS_EACH && keep_ms > 0 {
            kept.push(KeptLink {
                link,
                usable_until: now.plus_ms(keep_ms),
            });
        }
    }

    /// Gives up all connections to an address.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.links.borrow_mut().remove(&address);
    }

    /// Closes connections that are of no more use.
    pub(super) fn prune(&self, now: ClockTime) {
        let mut links = self.links.borrow_mut();
        for kept in links.values_mut() {
            kept.retain(|entry| now < entry.usable_until && entry.link.is_ready());
        }
        links.retain(|_, kept| !kept.is_empty());
    }
}
