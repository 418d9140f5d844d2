//! The `tunnel_server` module provides the tunnels that this router carries for others.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::TargetRecord;
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::LinkOptions;
use beechsaddle_wire::lending_capnp::TunnelOutcome;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::tunnel_codec::{TunnelOrder, TunnelReply};
use super::tunnel_copy::{TunnelEnd, copy_both_ways};
use super::tunnel_watch::TunnelWatch;
use crate::gateway::connection_ring::ProofMark;
use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::{GatewayPhase, GatewayState};
use crate::gateway::target_path::open_direct_stream;

/// Timeout of the request that opens a tunnel, which is sent together with the preface.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of tunnels that a router carries. Each takes two descriptors and two buffers.
const TUNNELS_MAX: usize = 256;

/// A tunnel that counts as an open call, so that a shutdown waits for it.
struct TunnelGuard {
    state: Rc<GatewayState>,
}

impl TunnelGuard {
    fn start(state: &Rc<GatewayState>) -> Self {
        state.tunnels.add_carried();
        state.open_calls.set(state.open_calls.get() + 1);
        state.metrics.tunnels_carried.inc();
        TunnelGuard {
            state: Rc::clone(state),
        }
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        let state = &self.state;
        state.tunnels.remove_carried();
        let open = state.open_calls.get().saturating_sub(1);
        state.open_calls.set(open);
        state.metrics.tunnels_carried.dec();
        state.work_ended.notify_one();
    }
}

/// Carries a tunnel whose preface was read, until it ends. Sets `mark` if its request comes from a router of the
/// fleet.
pub(in crate::gateway) async fn serve_tunnel(
    mut stream: TcpStream,
    peer: SocketAddr,
    state: Rc<GatewayState>,
    mark: ProofMark,
) {
    let order = match timeout(REQUEST_TIMEOUT, TunnelOrder::read(&mut stream)).await {
        Ok(Ok(order)) => order,
        Ok(Err(error)) => return log_refused(&state, peer, &error.to_string()),
        Err(_) => return log_refused(&state, peer, "no request in time"),
    };
    if !state.lending.is_secret(order.secret.as_bytes()) {
        return log_refused(&state, peer, "wrong secret");
    }
    mark.set(true);
    let guard = TunnelGuard::start(&state);
    let (outcome, opened) = match connect_target(&state, &order).await {
        Ok(opened) => (TunnelOutcome::Opened, Some(opened)),
        Err(outcome) => (outcome, None),
    };
    let framing = order.framing;
    let replied = TunnelReply { outcome, framing }.write(&mut stream).await;
    if let (Ok(()), Some((target, target_stream))) = (replied, opened) {
        let watch = TunnelWatch::new(&state, &target);
        let end = copy_both_ways(&state, &watch, framing, stream, target_stream).await;
        record_end(&state, &target, &watch, end);
    }
    drop(guard);
}

/// Logs and counts the end of a tunnel.
fn record_end(
    state: &GatewayState,
    target: &TargetRecord,
    watch: &TunnelWatch<'_>,
    end: TunnelEnd,
) {
    let label = OutcomeLabel { what: end.as_str() };
    state.metrics.tunnels_ended.get_or_create(&label).inc();
    let mut fields = vec![
        ("target", target.name.to_string()),
        ("end", end.as_str().to_owned()),
    ];
    fields.extend(watch.request_id().map(|id| ("id", id)));
    state.report.log(LogLevel::Info, "tunnel_ended", fields);
}

/// Connects to the target of a request, unless this router should not.
async fn connect_target(
    state: &GatewayState,
    order: &TunnelOrder,
) -> Result<(TargetRecord, TcpStream), TunnelOutcome> {
    let is_leaving = state.phase() >= GatewayPhase::Leaving;
    let is_full = state.tunnels.carried() > TUNNELS_MAX || state.is_link_full();
    if is_leaving || is_full || state.path.borrow().is_lost() {
        return Err(TunnelOutcome::Declined);
    }
    let target = find_target(state, order).ok_or(TunnelOutcome::Withdrawn)?;
    if state.is_resting(&target) {
        return Err(TunnelOutcome::Resting);
    }
    // Checked again regularly; the other router need not wait for one more timeout.
    if state.path.borrow().needs_tunnel(&target.name) {
        return Err(TunnelOutcome::Unreachable);
    }
    let opened = open_direct_stream(state, &target, LinkOptions::default()).await;
    let stream = opened.map_err(|failure| match failure.is_refused() {
        true => TunnelOutcome::Refused,
        false => TunnelOutcome::Unreachable,
    });
    // The target may have been withdrawn or asked for rest while the connection was made.
    match stream {
        Ok(_) if !state.accepts_requests(&target) => Err(TunnelOutcome::Withdrawn),
        Ok(_) if state.is_resting(&target) => Err(TunnelOutcome::Resting),
        // This attempt may have shown that the router itself is partitioned from the targets.
        Err(_) if state.path.borrow().is_lost() => Err(TunnelOutcome::Declined),
        stream => stream.map(|stream| (target, stream)),
    }
}

/// Returns the target of a request if it takes new requests.
fn find_target(state: &GatewayState, order: &TunnelOrder) -> Option<TargetRecord> {
    let roster = state.roster.borrow();
    let record = roster.get(&order.target)?.record.clone();
    drop(roster);
    let is_same = record.started == order.started;
    (is_same && state.accepts_requests(&record)).then_some(record)
}

fn log_refused(state: &GatewayState, peer: SocketAddr, why: &str) {
    let fields = [("peer", peer.to_string()), ("why", why.to_owned())];
    state
        .report
        .log(LogLevel::Warning, "tunnel_refused", fields);
}
