//! The `clock_manager` module provides clock readings from other routers and the requests for them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{ClockBounds, FleetClock, PeerRecord};
use beechsaddle_core::hash::rendezvous_weight;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use futures::stream::{self, StreamExt};
use tokio::time::{sleep, timeout};

use super::gateway_state::GatewayState;

/// Timeout of a clock request: some hundred round trips within a region.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between checks for clock readings that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Check interval while too few clocks are known. Tokens deferred by an earlier process on this host can
/// only be recovered once enough are.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum interval between two clock requests to the same router, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 800;

/// Maximum number of concurrent clock requests.
const PARALLEL_READS_MAX: usize = 8;

/// The clock readings of the fleet.
#[derive(Debug)]
pub(super) struct ClockManager {
    clock: RefCell<FleetClock>,
    /// When the clock of each router was last requested.
    requested_at: RefCell<BTreeMap<HostName, ClockTime>>,
}

impl ClockManager {
    /// Creates a manager for a process that started at `started_at`.
    pub(super) fn new(started_at: ClockTime) -> Self {
        ClockManager {
            clock: RefCell::new(FleetClock::new(started_at)),
            requested_at: RefCell::default(),
        }
    }

    /// Returns the current bounds, with this router's own clock included.
    pub(super) fn bounds(&self, state: &GatewayState) -> ClockBounds {
        let requested_at = state.now();
        let reading = state.clock.reading();
        let now = state.now();
        let mut clock = self.clock.borrow_mut();
        clock.record(state.me.host.clone(), requested_at, now, reading);
        clock.bounds(now)
    }

    fn record_request(&self, now: ClockTime, host: &HostName) {
        self.requested_at.borrow_mut().insert(host.clone(), now);
    }

    /// Returns the routers whose clocks should be requested now.
    fn due(&self, state: &GatewayState) -> Vec<PeerRecord> {
        let now = state.now();
        let clock = self.clock.borrow();
        let requested_at = self.requested_at.borrow();
        let ring = state.lending.ring.borrow();
        let due = ring.others(now).map(|(peer, _)| peer).filter(|peer| {
            let requested = requested_at.get(&peer.host);
            let is_recent = requested.is_some_and(|at| now.since(*at) < RETRY_INTERVAL_MS);
            peer.address.is_some() && !is_recent && clock.needs_reading(now, &peer.host)
        });
        let mut due: Vec<PeerRecord> = due.cloned().collect();
        // Each router has its own order, so that no router receives the requests of the whole fleet.
        due.sort_by_key(|peer| rendezvous_weight(state.me.host.as_str(), peer.host.as_str()));
        due.truncate(clock.missing(now).min(PARALLEL_READS_MAX));
        due
    }
}

/// Keeps the readings of enough clocks up to date, for as long as the process runs.
pub(super) async fn run_clock_reading(state: Rc<GatewayState>) {
    state.lending.roles_enabled().await;
    loop {
        let routers = state.lending.ring.borrow().router_count();
        state.clocks.clock.borrow_mut().set_routers(routers);
        let has_secret = !state.lending.secret().is_empty();
        let allocates_any = !state.escrow.borrow().allocated_workspaces().is_empty();
        if has_secret && allocates_any {
            let due = state.clocks.due(&state);
            let requested = stream::iter(due).map(|peer| request_clock(&state, peer));
            requested
                .buffer_unordered(PARALLEL_READS_MAX)
                .collect::<()>()
                .await;
        }
        sleep(check_pause(&state, has_secret)).await;
    }
}

fn check_pause(state: &GatewayState, has_secret: bool) -> Duration {
    let bounds = state.clocks.bounds(state);
    match bounds.earliest {
        None if has_secret && !state.clocks.due(state).is_empty() => STARTUP_CHECK_INTERVAL,
        _ => CHECK_INTERVAL,
    }
}

async fn request_clock(state: &GatewayState, peer: PeerRecord) {
    let requested_at = state.now();
    state.clocks.record_request(requested_at, &peer.host);
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let failure = match timeout(READ_TIMEOUT, links.read_clock(&peer, &secret)).await {
        Ok(Ok(Some(reading))) => {
            let mut clock = state.clocks.clock.borrow_mut();
            return clock.record(peer.host, requested_at, state.now(), reading);
        }
        // Routers of older versions do not support the call.
        Ok(Ok(None)) => return,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    // A failed clock reading does not mark the peer as down, as other peers' clocks can replace its
    // own. Only requests that depend on a single peer do so.
    let fields = [("peer", peer.host.to_string()), ("error", failure)];
    state.report.log(LogLevel::Debug, "clock_unread", fields);
}
