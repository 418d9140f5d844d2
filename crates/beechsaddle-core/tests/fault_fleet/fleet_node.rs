//! The `fleet_node` module provides one host of the fleet and the router that runs on it.

use std::collections::VecDeque;

use beechsaddle_core::members::SeedPeer;
use beechsaddle_core::prelude::*;
use beechsaddle_core::router::RouterCore;

use crate::fleet_setup::{router_options, seed_peer};

/// The domains of the fleet; routers are spread over them in turn.
pub const DOMAINS: [&str; 2] = ["graz-nord", "leoben"];

/// One entry host.
pub struct FleetNode {
    pub name: RouterIncarnation,
    pub domain: DomainName,
    /// The router; `None` while it is dead.
    pub core: Option<RouterCore>,
    /// Whether its process is stopped; what comes meanwhile waits.
    pub is_frozen: bool,
    pub held: VecDeque<CoreEvent>,
    pub is_draining: bool,
    pub has_exited: bool,
    /// Whether the platform lists the host as live.
    pub is_listed: bool,
    /// The catalogue revision that it last told its peers.
    pub revision: u64,
}

impl FleetNode {
    /// The host of a number, without a router yet.
    pub fn new(index: usize) -> Self {
        FleetNode {
            name: RouterIncarnation::new(format!("router-{index}").as_str(), 0),
            domain: DOMAINS[index % DOMAINS.len()].into(),
            core: None,
            is_frozen: false,
            held: VecDeque::new(),
            is_draining: false,
            has_exited: false,
            is_listed: false,
            revision: 0,
        }
    }

    /// Starts the next life of the host's router.
    pub fn start(&mut self, seeds: Vec<SeedPeer>) {
        self.name.epoch += 1;
        let mut options = router_options(&self.name, &self.domain, seeds);
        // Shorter than by default, so that a session heals in a minute of model time.
        options.accounting.idle_return_ms = 5_000;
        options.members.list_lag_ms = 3_000;
        options.accounting.list_lag_ms = 3_000;
        options.accounting.audit_period_ms = 5_000;
        self.core = Some(RouterCore::new(options));
        self.is_frozen = false;
        self.held.clear();
        self.is_draining = false;
        self.has_exited = false;
        self.is_listed = true;
        self.revision = 0;
    }

    /// What other routers know of it from their settings.
    pub fn seed(&self) -> SeedPeer {
        seed_peer(&self.name, &self.domain)
    }

    /// Whether its process is there, running or stopped.
    pub fn is_alive(&self) -> bool {
        self.core.is_some() && !self.has_exited
    }

    /// Whether a balancer would send it a call.
    pub fn is_serving(&self) -> bool {
        self.is_alive() && !self.is_draining && !self.is_frozen
    }
}
