//! The `origin_exchange` module provides the origins of streams that this router and others know.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{PeerRecord, StreamDirectory, StreamOrigin};
use beechsaddle_core::prelude::*;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::GatewayState;

/// Timeout of a message about a stream: some round trips and a new connection. A caller that resumes a
/// stream waits this long at most if routers do not answer.
const ORIGIN_TIMEOUT: Duration = Duration::from_millis(200);

/// The origins of streams that this router began or keeps for others.
#[derive(Default)]
pub(in crate::gateway) struct OriginManager {
    directory: RefCell<StreamDirectory>,
}

impl OriginManager {
    /// Records the origin of a stream.
    pub(in crate::gateway) fn record(
        &self,
        now: ClockTime,
        stream: StreamId,
        origin: StreamOrigin,
    ) {
        self.directory.borrow_mut().record(now, stream, origin);
    }

    /// Returns the origin of a stream, if this router knows it.
    pub(in crate::gateway) fn find(
        &self,
        now: ClockTime,
        stream: &StreamId,
    ) -> Option<StreamOrigin> {
        self.directory.borrow().find(now, stream).cloned()
    }
}

/// The result of asking other routers for the origin of a stream.
#[derive(Clone, Debug, Default)]
pub(super) struct OriginSearch {
    pub(super) origin: Option<StreamOrigin>,
    /// Number of routers that were asked.
    pub(super) asked: usize,
    /// Number of routers that answered before the search ended.
    pub(super) answered: usize,
}

/// Records the origin of a stream here and at the routers that keep it.
pub(in crate::gateway) fn publish_origin(
    state: &Rc<GatewayState>,
    stream: &StreamId,
    origin: &StreamOrigin,
) {
    let now = state.now();
    state.origins.record(now, stream.clone(), origin.clone());
    let keepers: Vec<Vec<PeerRecord>> = {
        let ring = state.lending.ring.borrow();
        let keepers = ring.origin_keepers(now, stream);
        let cloned = keepers.into_iter();
        cloned
            .map(|routers| routers.into_iter().cloned().collect())
            .collect()
    };
    for routers in keepers {
        let state = Rc::clone(state);
        let (stream, origin) = (stream.clone(), origin.clone());
        spawn_local(async move { send_to_first(&state, routers, &stream, &origin).await });
    }
}

/// Sends the origin of a stream to the first router that takes it. One that does not is not marked as
/// down: it may be busy, and a stream that is refused costs less than a change of roles.
async fn send_to_first(
    state: &GatewayState,
    routers: Vec<PeerRecord>,
    stream: &StreamId,
    origin: &StreamOrigin,
) {
    let secret = state.lending.secret();
    for router in routers {
        let links = &state.lending.links;
        let sending = links.send_origin(&router, &secret, stream, origin);
        let is_taken = matches!(timeout(ORIGIN_TIMEOUT, sending).await, Ok(Ok(())));
        let what = match is_taken {
            true => "taken",
            false => "failed",
        };
        let noted = &state.metrics.origins_noted;
        noted.get_or_create(&OutcomeLabel { what }).inc();
        if is_taken {
            return;
        }
    }
}

/// Asks the routers that may know the origin of a stream, all at once, and returns the first answer
/// that says it.
pub(super) async fn search_origin(state: &GatewayState, stream: &StreamId) -> OriginSearch {
    let sources: Vec<PeerRecord> = {
        let ring = state.lending.ring.borrow();
        let sources = ring.origin_sources(state.now(), stream);
        sources.into_iter().cloned().collect()
    };
    let secret = state.lending.secret();
    let links = &state.lending.links;
    let mut search = OriginSearch {
        asked: sources.len(),
        ..OriginSearch::default()
    };
    let requests = sources.iter().map(|router| {
        let request = links.request_origin(router, &secret, stream);
        timeout(ORIGIN_TIMEOUT, request)
    });
    let mut requests: FuturesUnordered<_> = requests.collect();
    while let Some(reply) = requests.next().await {
        // A router that fails or does not answer in time counts as one that does not know.
        let Ok(Ok(origin)) = reply else {
            continue;
        };
        search.answered += 1;
        if origin.is_some() {
            search.origin = origin;
            return search;
        }
    }
    search
}
