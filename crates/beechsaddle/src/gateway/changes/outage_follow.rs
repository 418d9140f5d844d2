//! The `outage_follow` module provides the changes that other routers know while this router has lost
//! the store.
//!
//! A router may lose the store alone: its path is cut, or the store turns it away. Its configuration
//! and list of targets would grow old, although others in its reach follow the store.

use std::convert::Infallible;
use std::time::Duration;

use beechsaddle_core::gateway::PeerRecord;
use beechsaddle_platform::ObjectKind;
use tokio::time::sleep;

use super::change_apply::{ChangeOrigin, apply_changes};
use super::follow_call::{FollowStep, follow_router};
use super::store_follow::apply_relayed;
use crate::gateway::gateway_state::GatewayState;

/// Interval between requests to other routers if none of them reaches the store either. In a general
/// outage each router sends two requests a second for each kind of objects.
const ROUTER_INTERVAL: Duration = Duration::from_millis(500);

/// Applies the changes of a kind after a revision that other routers know, one router after the other
/// until one answers. Runs until it is dropped, when the store answers again; a listing follows.
pub(super) async fn follow_others(
    state: &GatewayState,
    kind: ObjectKind,
    revision: u64,
) -> Infallible {
    let mut known = revision;
    let mut turn = 0;
    loop {
        let Some(peer) = next_source(state, turn) else {
            sleep(ROUTER_INTERVAL).await;
            continue;
        };
        let started = state.now();
        match follow_router(state, &peer, kind, known).await {
            FollowStep::Changes(batches, revision) => {
                for changes in &batches {
                    apply_changes(state, kind, changes, ChangeOrigin::Router);
                }
                known = known.max(revision);
                if kind == ObjectKind::Config {
                    state.record_config_known(started);
                }
            }
            FollowStep::Config(config, revision) => {
                match apply_relayed(state, &config, revision, started) {
                    Some(revision) => known = known.max(revision),
                    None => {
                        turn += 1;
                        sleep(ROUTER_INTERVAL).await;
                    }
                }
            }
            FollowStep::Gone | FollowStep::Failed => {
                turn += 1;
                sleep(ROUTER_INTERVAL).await;
            }
        }
    }
}

/// Returns the router to ask in a turn; `None` if there is none.
fn next_source(state: &GatewayState, turn: usize) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    let sources = ring.outage_sources(state.now());
    let count = sources.len().max(1);
    sources.get(turn % count).map(|peer| (*peer).clone())
}
