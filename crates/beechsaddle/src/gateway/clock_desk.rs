//! The `clock_desk` module provides what the clocks of other routers say, and the asking for them.

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

/// How long a router may take to tell its clock: some hundred round trips of a region.
const CLOCK_SPAN: Duration = Duration::from_millis(300);

/// How often it is looked whether clocks have to be asked for.
const LOOK_SPAN: Duration = Duration::from_millis(1_000);

/// The same while too few are known: what a process that ended had deferred waits for them.
const EARLY_SPAN: Duration = Duration::from_millis(40);

/// When a router that did not answer is asked again, in milliseconds.
const RETRY_MS: u64 = 800;

/// Clocks that are asked for at the same time.
const PARALLEL: usize = 8;

/// What is known of the clocks of the fleet.
#[derive(Debug)]
pub(super) struct ClockDesk {
    clock: RefCell<FleetClock>,
    /// When routers were asked last.
    asked_at: RefCell<BTreeMap<HostName, ClockTime>>,
}

impl ClockDesk {
    /// A desk of a process that started at `started_at`.
    pub(super) fn new(started_at: ClockTime) -> Self {
        ClockDesk {
            clock: RefCell::new(FleetClock::new(started_at)),
            asked_at: RefCell::default(),
        }
    }

    /// What the clocks say now, this router's among them.
    pub(super) fn bounds(&self, state: &GatewayState) -> ClockBounds {
        let now = state.now();
        let mut clock = self.clock.borrow_mut();
        clock.record(state.me.host.clone(), now, now, state.clock.reading());
        clock.bounds(now)
    }

    fn record_asked(&self, now: ClockTime, host: &HostName) {
        self.asked_at.borrow_mut().insert(host.clone(), now);
    }

    /// Routers to ask now.
    fn due(&self, state: &GatewayState) -> Vec<PeerRecord> {
        let now = state.now();
        let clock = self.clock.borrow();
        let asked_at = self.asked_at.borrow();
        let ring = state.lending.ring.borrow();
        let due = ring.others(now).map(|(peer, _)| peer).filter(|peer| {
            let asked = asked_at.get(&peer.host);
            let is_tried = asked.is_some_and(|at| now.since(*at) < RETRY_MS);
            peer.address.is_some() && !is_tried && clock.needs_reading(now, &peer.host)
        });
        let mut due: Vec<PeerRecord> = due.cloned().collect();
        // Each router asks others first, so that none is asked by all.
        due.sort_by_key(|peer| rendezvous_weight(state.me.host.as_str(), peer.host.as_str()));
        due.truncate(clock.missing(now).min(PARALLEL));
        due
    }
}

/// Keeps enough clocks known for as long as the process runs.
pub(super) async fn run_clock_reading(state: Rc<GatewayState>) {
    state.lending.settled().await;
    loop {
        let routers = state.lending.ring.borrow().router_count();
        state.clocks.clock.borrow_mut().set_routers(routers);
        let has_secret = !state.lending.secret().is_empty();
        let keeps_some = !state.escrow.borrow().kept().is_empty();
        if has_secret && keeps_some {
            let due = state.clocks.due(&state);
            let asked = stream::iter(due).map(|peer| ask_clock(&state, peer));
            asked.buffer_unordered(PARALLEL).collect::<()>().await;
        }
        sleep(pause(&state, has_secret)).await;
    }
}

fn pause(state: &GatewayState, has_secret: bool) -> Duration {
    let bounds = state.clocks.bounds(state);
    match bounds.earliest {
        None if has_secret && !state.clocks.due(state).is_empty() => EARLY_SPAN,
        _ => LOOK_SPAN,
    }
}

async fn ask_clock(state: &GatewayState, peer: PeerRecord) {
    let asked_at = state.now();
    state.clocks.record_asked(asked_at, &peer.host);
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let failure = match timeout(CLOCK_SPAN, links.read_clock(&peer, &secret)).await {
        Ok(Ok(Some(reading))) => {
            let mut clock = state.clocks.clock.borrow_mut();
            return clock.record(peer.host, asked_at, state.now(), reading);
        }
        // A router of an older version tells no clock.
        Ok(Ok(None)) => return,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    // Whether it is passed over is decided where something depends on it alone.
    let fields = [("peer", peer.host.to_string()), ("error", failure)];
    state.report.log(LogLevel::Debug, "clock_unread", fields);
}
