//! The `exchange_plan` module provides the routers with which this one exchanges notes on targets.

use super::{PeerRecord, PeerRing};
use crate::clock::ClockTime;

/// The rendezvous key of the relays: that of the routers that follow the store for the others, to
/// which connections exist.
const RELAY_KEY: &str = "news";

/// Number of relays of a domain.
const RELAY_COUNT: usize = 2;

/// Most routers of its domain that a relay answers in a second: a few percent of the processor of a
/// small host.
const ANSWERS_PER_S: u64 = 32;

/// The interval between exchanges within a domain, in milliseconds, unless it has many routers: it
/// bounds how late the load of a target is known.
const EXCHANGE_MS: u64 = 1_000;

/// The routers with which this one exchanges notes.
///
/// They form a tree: a router of a domain asks one of its two relays, the second relay asks the first,
/// and the first relays of the domains ask each other. A router always asks one that comes before it in
/// the rendezvous order, so that nothing that it told comes back to it through others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangePlan {
    /// The relay of the own domain that this router asks.
    pub relay: Option<PeerRecord>,
    /// The relays of other domains.
    pub foreign: Vec<PeerRecord>,
    /// Whether this router is a relay of its domain.
    pub is_relay: bool,
}

impl ExchangePlan {
    /// Returns the plan by the known routers; `may_ask` says whether a router may be asked now.
    ///
    /// A relay that may not ask the one before it takes its place, while a router that may ask none of
    /// the relays decides by what it has measured.
    pub fn new(ring: &PeerRing, now: ClockTime, may_ask: impl Fn(&PeerRecord) -> bool) -> Self {
        let relays = ring.followers(now, RELAY_COUNT, 0);
        let is_relay = relays.is_empty();
        let before = match is_relay {
            true => ring.followers(now, 1, 0),
            false => relays,
        };
        let relay = before.into_iter().find(|peer| may_ask(peer)).cloned();
        let foreign = match (&relay, is_relay) {
            (None, true) => ring.foreign_coordinators_of(now, RELAY_KEY),
            _ => Vec::new(),
        };
        let foreign = foreign.into_iter().filter(|peer| may_ask(peer)).cloned();
        ExchangePlan {
            foreign: foreign.collect(),
            relay,
            is_relay,
        }
    }

    /// Returns the interval between exchanges, in milliseconds, in a domain of so many routers.
    pub fn interval_ms(domain_routers: usize) -> u64 {
        let routers = domain_routers as u64;
        EXCHANGE_MS.max(routers * 1_000 / (RELAY_COUNT as u64 * ANSWERS_PER_S))
    }
}
