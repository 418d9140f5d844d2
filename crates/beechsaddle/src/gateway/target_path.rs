//! The `target_path` module provides new connections to targets: direct ones, or by way of other
//! routers to targets from which this one is partitioned.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{AttemptEnd, ConnectFault, PathChange, TargetRecord, TargetRoster};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::{HttpLink, LinkFailure, LinkOptions, open_stream};
use beechsaddle_platform::ResponseHead;
use futures::future::join_all;
use rand::seq::SliceRandom;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::gateway_metrics::{CONNECT_RESULTS, OutcomeLabel, TARGET_WAYS};
use super::gateway_state::GatewayState;
use super::target_send::SendFailure;
use super::tunnels::{OpenTunnel, TunnelFailure, open_tunnel};

/// Interval between checks whether a partition from targets is over. Until it is noticed, calls
/// take the longer way.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of targets that are checked at once.
const PROBES_MAX: usize = 8;

/// Number of targets that are tried at once if a partition is suspected. With those that raised the
/// suspicion, they are enough to tell.
const CONFIRM_TARGETS: usize = 5;

/// A connection to a target.
pub(super) struct TargetLink {
    pub(super) http: HttpLink,
    /// The router that copies the bytes; `None` for a direct connection.
    pub(super) router: Option<HostName>,
}

impl TargetLink {
    pub(super) fn direct(http: HttpLink) -> Self {
        TargetLink { http, router: None }
    }

    fn through(tunnel: OpenTunnel) -> Self {
        TargetLink {
            http: tunnel.link,
            router: Some(tunnel.router),
        }
    }

    /// Returns the way to the target, as in metrics.
    pub(super) fn way(&self) -> &'static str {
        let [direct, router] = TARGET_WAYS;
        match self.router {
            None => direct,
            Some(_) => router,
        }
    }

    /// Returns the connection to the pool after a complete response, if it can carry another request.
    /// A tunnel carries one only, so that the router behind it can shut down between two requests.
    pub(super) fn release(self, state: &GatewayState, address: SocketAddr, facts: &ResponseHead) {
        if facts.closes || facts.is_leaving || self.router.is_some() {
            return;
        }
        let now = state.now();
        state.pool.put(now, address, self.http, facts.keep_alive_ms);
    }
}

/// Opens a new connection to a target.
///
/// # Errors
///
/// A [`SendFailure`] of a connection that was not made; nothing was sent.
pub(super) async fn open_link(
    state: &GatewayState,
    target: &TargetRecord,
    options: LinkOptions,
) -> Result<TargetLink, SendFailure> {
    let name = &target.name;
    if state.path.borrow().needs_tunnel(name) {
        let opened = open_tunnel(state, target).await;
        // Without another router to ask, a single target may be tried directly again.
        if !is_without_router(&opened) || state.path.borrow().is_lost() {
            return opened.map(TargetLink::through).map_err(tunnel_failure);
        }
    }
    let failure = match connect_directly(state, target, options).await {
        Ok(http) => return Ok(TargetLink::direct(http)),
        Err(failure) => failure,
    };
    confirm_partition(state).await;
    if state.path.borrow().needs_tunnel(name) {
        let opened = open_tunnel(state, target).await;
        if !is_without_router(&opened) {
            return opened.map(TargetLink::through).map_err(tunnel_failure);
        }
    }
    let end = match failure.is_refused() {
        true => AttemptEnd::Refused,
        false => AttemptEnd::Unsent,
    };
    Err(SendFailure::new(end, failure.to_string()))
}

fn is_without_router(opened: &Result<OpenTunnel, TunnelFailure>) -> bool {
    matches!(opened, Err(TunnelFailure::NoRouter))
}

fn tunnel_failure(failure: TunnelFailure) -> SendFailure {
    match failure {
        TunnelFailure::Refused => SendFailure::new(AttemptEnd::Refused, "refused another router"),
        TunnelFailure::Unreachable => {
            SendFailure::new(AttemptEnd::Unsent, "unreachable for another router")
        }
        TunnelFailure::Withdrawn => {
            SendFailure::new(AttemptEnd::Withdrawn, "another router knows that it leaves")
        }
        TunnelFailure::Resting => SendFailure::new(AttemptEnd::Resting, "rests for other routers"),
        TunnelFailure::NoRouter => {
            SendFailure::new(AttemptEnd::NoPath, "no router reaches the targets")
        }
    }
}

/// Tries other targets if some could not be reached, so that a partition is noticed by the call that
/// is affected first, and not mistaken for a crash of many targets.
async fn confirm_partition(state: &GatewayState) {
    if !state.path.borrow().is_suspected() {
        return;
    }
    let Some(_guard) = ConfirmGuard::try_start(state) else {
        return;
    };
    let is_untried = |target: &TargetRecord| !state.path.borrow().was_tried(&target.name);
    let others = sample_targets(state, CONFIRM_TARGETS, is_untried);
    probe_targets(state, &others).await;
}

/// Lets one call at a time look for a partition. The call may be dropped when its caller leaves.
struct ConfirmGuard<'a> {
    is_confirming: &'a Cell<bool>,
}

impl<'a> ConfirmGuard<'a> {
    fn try_start(state: &'a GatewayState) -> Option<Self> {
        let is_confirming = &state.is_confirming_path;
        let is_free = !is_confirming.replace(true);
        is_free.then_some(ConfirmGuard { is_confirming })
    }
}

impl Drop for ConfirmGuard<'_> {
    fn drop(&mut self) {
        self.is_confirming.set(false);
    }
}

/// Connects to a target only to find out whether it is reached; a call may use the connection.
async fn connect_for_pool(state: &GatewayState, target: &TargetRecord) {
    let connected = connect_directly(state, target, LinkOptions::default()).await;
    if let Ok(http) = connected
        && state.accepts_requests(target)
    {
        state.pool.put(state.now(), target.address, http, None);
    }
}

async fn connect_directly(
    state: &GatewayState,
    target: &TargetRecord,
    options: LinkOptions,
) -> Result<HttpLink, LinkFailure> {
    let stream = open_direct_stream(state, target, options).await?;
    HttpLink::try_start(stream, &options).await
}

/// Opens a connection to a target and records whether the target was reached.
///
/// # Errors
///
/// [`LinkFailure::Connect`] or [`LinkFailure::ConnectTimeout`].
pub(super) async fn open_direct_stream(
    state: &GatewayState,
    target: &TargetRecord,
    options: LinkOptions,
) -> Result<TcpStream, LinkFailure> {
    let opened = open_stream(target.address, &options).await;
    record_connect(state, target, &opened);
    opened
}

fn record_connect(
    state: &GatewayState,
    target: &TargetRecord,
    opened: &Result<TcpStream, LinkFailure>,
) {
    let [connected, refused, failed] = CONNECT_RESULTS;
    let (what, fault) = match opened {
        Ok(_) => (connected, None),
        Err(failure) if failure.is_refused() => (refused, Some(ConnectFault::Refused)),
        Err(_) => (failed, Some(ConnectFault::Silent)),
    };
    let label = OutcomeLabel { what };
    state.metrics.connects.get_or_create(&label).inc();
    let change = match fault {
        None => state.path.borrow_mut().record_reached(&target.name),
        // Behind a full link of its own, a router reaches nobody, and other routers cannot help.
        Some(_) if state.is_link_full() => None,
        Some(fault) => record_unreached(state, target, fault),
    };
    if let Some(change) = change {
        apply_change(state, change);
    }
}

fn record_unreached(
    state: &GatewayState,
    target: &TargetRecord,
    fault: ConnectFault,
) -> Option<PathChange> {
    // Idle connections may hang.
    state.pool.forget(target.address);
    // A target that leaves may end at any time, which tells nothing about the path to the others.
    if !is_ready(&state.roster.borrow(), &target.name) {
        return None;
    }
    let targets = ready_count(state);
    let mut path = state.path.borrow_mut();
    let change = path.record_unreached(&target.name, fault, targets);
    if path.needs_probes() {
        state.target_unreached.notify_one();
    }
    change
}

fn is_ready(roster: &TargetRoster, name: &TargetName) -> bool {
    roster.get(name).is_some_and(|entry| !entry.is_leaving())
}

fn ready_count(state: &GatewayState) -> usize {
    let roster = state.roster.borrow();
    let ready = roster.entries().filter(|entry| !entry.is_leaving());
    ready.count()
}

fn apply_change(state: &GatewayState, change: PathChange) {
    let (event, is_lost) = match change {
        PathChange::Lost => ("targets_unreachable", 1),
        PathChange::Regained => ("targets_reachable", 0),
    };
    state.metrics.path_lost.set(is_lost);
    state.tunnels.set_isolated(false);
    if change == PathChange::Lost {
        // Idle connections may hang, and the targets were not the reason of recent failures.
        state.pool.clear();
        state.roster.borrow_mut().clear_ejections();
    }
    let count = |what| {
        let label = OutcomeLabel { what };
        let counter = state.metrics.connects.get_or_create(&label).get();
        (what, counter.to_string())
    };
    let fields = CONNECT_RESULTS.map(count);
    state.report.log(LogLevel::Warning, event, fields);
}

/// Checks whether targets that could not be reached can be reached again.
pub(super) async fn run_path_probe(state: Rc<GatewayState>) {
    loop {
        state.target_unreached.notified().await;
        while state.path.borrow().needs_probes() {
            sleep(PROBE_INTERVAL).await;
            probe_suspects(&state).await;
        }
    }
}

async fn probe_suspects(state: &GatewayState) {
    forget_gone_targets(state);
    let is_lost = state.path.borrow().is_lost();
    let is_wanted = |target: &TargetRecord| {
        // Targets that replaced others were not tried yet.
        is_lost || state.path.borrow().is_silent(&target.name)
    };
    let targets = sample_targets(state, PROBES_MAX, is_wanted);
    probe_targets(state, &targets).await;
    if state.tunnels.is_isolated()
        && let Some(target) = targets.first()
    {
        // No call shows whether another router opens tunnels again, as callers go elsewhere.
        drop(open_tunnel(state, target).await);
    }
}

fn forget_gone_targets(state: &GatewayState) {
    let roster = state.roster.borrow();
    let mut path = state.path.borrow_mut();
    let gone = path.suspects().filter(|name| !is_ready(&roster, name));
    let gone: Vec<_> = gone.cloned().collect();
    let changes = gone.iter().filter_map(|name| path.forget(name));
    let change = changes.last();
    drop((roster, path));
    if let Some(change) = change {
        apply_change(state, change);
    }
}

async fn probe_targets(state: &GatewayState, targets: &[TargetRecord]) {
    let probes = targets.iter().map(|target| connect_for_pool(state, target));
    join_all(probes).await;
}

/// Returns up to `count` ready targets that do not rest, drawn at random.
pub(super) fn sample_targets(
    state: &GatewayState,
    count: usize,
    is_wanted: impl Fn(&TargetRecord) -> bool,
) -> Vec<TargetRecord> {
    let roster = state.roster.borrow();
    let ready = roster.entries().filter(|entry| !entry.is_leaving());
    let records = ready.map(|entry| &entry.record);
    let wanted = records.filter(|record| !state.is_resting(record) && is_wanted(record));
    let mut targets: Vec<_> = wanted.cloned().collect();
    targets.shuffle(&mut rand::rng());
    targets.truncate(count);
    targets
}
