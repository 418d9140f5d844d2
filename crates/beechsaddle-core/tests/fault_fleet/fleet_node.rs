//! The `fleet_node` module provides one host of the fleet and its router.

use std::collections::VecDeque;

use beechsaddle_core::members::SeedPeer;
use beechsaddle_core::prelude::*;
use beechsaddle_core::router::RouterCore;

use crate::fleet_setup::{router_options, seed_peer};

/// The domains of the fleet; routers are assigned to them in turn.
pub const DOMAINS: [&str; 2] = ["graz-nord", "leoben"];

/// One router host.
pub struct FleetNode {
    pub name: RouterIncarnation,
    pub domain: DomainName,
    /// The router; `None` while it is dead.
    pub core: Option<RouterCore>,
    /// Whether the process is frozen; its events are held meanwhile.
    pub is_frozen: bool,
    pub held: VecDeque<CoreEvent>,
    pub is_draining: bool,
    pub has_exited: bool,
    /// Whether the platform lists the host as live.
    pub is_listed: bool,
    /// The catalogue revision in its last heartbeat.
    pub revision: u64,
}

impl FleetNode {
    /// Creates the host of a number, without a router.
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

    /// Starts the next incarnation of the host's router.
    pub fn start(&mut self, seeds: Vec<SeedPeer>) {
        self.name.epoch += 1;
        let mut options = router_options(&self.name, &self.domain, seeds);
        // Shorter than the defaults, so that a session heals within a minute of simulated time.
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

    /// Returns the entry of the host in the settings of other routers.
    pub fn seed(&self) -> SeedPeer {
        seed_peer(&self.name, &self.domain)
    }

    /// Whether the process exists, running or frozen.
    pub fn is_alive(&self) -> bool {
        self.core.is_some() && !self.has_exited
    }

    /// Whether a load balancer would send calls to the router.
    pub fn is_serving(&self) -> bool {
        self.is_alive() && !self.is_draining && !self.is_frozen
    }
}
