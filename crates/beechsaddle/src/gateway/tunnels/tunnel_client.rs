//! The `tunnel_client` module provides the opening of tunnels by way of other routers.

use std::time::Duration;

use beechsaddle_core::gateway::{PeerRecord, TargetRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_link::{HttpLink, LinkOptions, open_stream};
use beechsaddle_wire::lending_capnp::TunnelOutcome;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::tunnel_codec::{TunnelOrder, TunnelReply};
use super::tunnel_stream::TunnelStream;
use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::GatewayState;

/// Time for which one attempt of a call looks for a router, in milliseconds: about a connect timeout.
const SEARCH_LIMIT_MS: u64 = 400;

/// Time for which further routers are asked if one does not reach the target, in milliseconds. Those
/// that know it already answer at once.
const SEARCH_SPAN_MS: u64 = 150;

/// Timeout of connecting to a router: some hundred round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of a router's reply, in which it connects to the target.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to a target by way of another router. It carries one request.
pub(in crate::gateway) struct OpenTunnel {
    pub(in crate::gateway) link: HttpLink,
    /// The router that copies the bytes.
    pub(in crate::gateway) router: HostName,
}

/// Why there is no tunnel to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum TunnelFailure {
    /// The target's host refused the connection: no process serves the address.
    Refused,
    /// Another router does not reach the target's host either.
    Unreachable,
    /// Another router knows that the target takes no new requests.
    Withdrawn,
    /// The target has asked other routers for rest.
    Resting,
    /// No other router opens tunnels.
    NoRouter,
}

/// Opens a tunnel to a target.
///
/// # Errors
///
/// A [`TunnelFailure`]; nothing was sent to the target.
pub(in crate::gateway) async fn open_tunnel(
    state: &GatewayState,
    target: &TargetRecord,
) -> Result<OpenTunnel, TunnelFailure> {
    let started = state.now();
    let mut failure = None;
    for router in candidates(state, target) {
        if state.now().since(started) >= SEARCH_LIMIT_MS {
            break;
        }
        let (reply, stream) = match ask_router(state, &router, target).await {
            Ok(answer) => answer,
            Err(error) => {
                record_declined(state, &router, &error);
                continue;
            }
        };
        count(state, outcome_name(reply.outcome));
        match reply.outcome {
            TunnelOutcome::Opened => {
                let stream = TunnelStream::new(stream, reply.framing);
                let opened = HttpLink::try_start(stream, &LinkOptions::default()).await;
                let Ok(link) = opened else {
                    continue;
                };
                state.tunnels.set_isolated(false);
                let router = router.host;
                return Ok(OpenTunnel { link, router });
            }
            TunnelOutcome::Refused => return Err(TunnelFailure::Refused),
            // Another router may reach the target, if there is time to ask it.
            TunnelOutcome::Unreachable if state.now().since(started) >= SEARCH_SPAN_MS => {
                return Err(TunnelFailure::Unreachable);
            }
            TunnelOutcome::Unreachable => {
                failure.get_or_insert(TunnelFailure::Unreachable);
            }
            TunnelOutcome::Withdrawn => return Err(TunnelFailure::Withdrawn),
            // A rest binds the router that it was asked of. It also shows that the target runs.
            TunnelOutcome::Resting => failure = Some(TunnelFailure::Resting),
            TunnelOutcome::Declined => record_declined(state, &router, "declined"),
        }
    }
    if let Some(failure) = failure {
        return Err(failure);
    }
    let is_isolated = state.path.borrow().is_lost() && !has_candidates(state);
    state.tunnels.set_isolated(is_isolated);
    Err(TunnelFailure::NoRouter)
}

/// Returns the routers to ask, in order.
fn candidates(state: &GatewayState, target: &TargetRecord) -> Vec<PeerRecord> {
    let now = state.now();
    let ring = state.lending.ring.borrow();
    let may_ask = |router: &PeerRecord| state.tunnels.may_ask(now, router);
    let routers = ring.tunnel_routers(now, &target.name, may_ask);
    routers.into_iter().cloned().collect()
}

/// Whether any router is left that has not declined lately.
fn has_candidates(state: &GatewayState) -> bool {
    let now = state.now();
    let ring = state.lending.ring.borrow();
    let mut others = ring.others(now);
    others.any(|(router, down_ms)| down_ms == 0 && state.tunnels.may_ask(now, router))
}

async fn ask_router(
    state: &GatewayState,
    router: &PeerRecord,
    target: &TargetRecord,
) -> Result<(TunnelReply, TcpStream), String> {
    let address = router.address.ok_or("the router has no peer address")?;
    let options = LinkOptions {
        connect_timeout: CONNECT_TIMEOUT,
        ..LinkOptions::default()
    };
    let opened = open_stream(address, &options).await;
    let mut stream = opened.map_err(|failure| failure.to_string())?;
    let order = TunnelOrder::new(state.lending.secret(), target);
    let exchange = async {
        order.write(&mut stream).await?;
        TunnelReply::read(&mut stream).await
    };
    let answered = timeout(REPLY_TIMEOUT, exchange).await;
    let reply = answered.map_err(|_| "no reply in time".to_owned())??;
    Ok((reply, stream))
}

fn record_declined(state: &GatewayState, router: &PeerRecord, why: &str) {
    if why != "declined" {
        count(state, "failed");
    }
    state.tunnels.record_declined(state.now(), router);
    let fields = [("peer", router.host.to_string()), ("why", why.to_owned())];
    state
        .report
        .log(LogLevel::Warning, "tunnel_declined", fields);
}

fn count(state: &GatewayState, what: &'static str) {
    let label = OutcomeLabel { what };
    state.metrics.tunnels_requested.get_or_create(&label).inc();
}

fn outcome_name(outcome: TunnelOutcome) -> &'static str {
    match outcome {
        TunnelOutcome::Opened => "opened",
        TunnelOutcome::Refused => "refused",
        TunnelOutcome::Unreachable => "unreachable",
        TunnelOutcome::Withdrawn => "withdrawn",
        TunnelOutcome::Declined => "declined",
        TunnelOutcome::Resting => "resting",
    }
}
