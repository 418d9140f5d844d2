//! The `crash_spread` module provides what routers tell each other of crashes.

use std::rc::Rc;

use beechsaddle_core::gateway::{CrashReport, PeerRecord, RequestFingerprint};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::crash_desk::take_sightings;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::token_lending::{LOAN_SPAN, mark_down};

/// Where news of a crash came from, which tells who has not heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum NoteOrigin {
    /// This router saw it.
    Own,
    /// The router that saw it told this one, as one that passes it on.
    Report,
    /// It was in the store.
    Store,
    /// A router told all of the domain.
    Spread,
}

/// Takes over what another router tells.
pub(in crate::gateway) fn take_notes(
    state: &Rc<GatewayState>,
    notes: impl IntoIterator<Item = CrashReport>,
    is_spread: bool,
) {
    let news = take_sightings(state, notes);
    let origin = match is_spread {
        true => NoteOrigin::Spread,
        false => NoteOrigin::Report,
    };
    spread_notes(state, news, origin);
}

/// Tells those who need to hear of news about some requests.
pub(super) fn spread_notes(
    state: &Rc<GatewayState>,
    news: impl IntoIterator<Item = RequestFingerprint>,
    origin: NoteOrigin,
) {
    for fingerprint in news {
        let (reports, is_shared) = {
            let book = state.crashes.book.borrow();
            (book.reports(fingerprint), book.is_shared(fingerprint))
        };
        if is_shared {
            state.crashes.wake.notify_one();
        }
        if origin == NoteOrigin::Own {
            report_crashes(state, fingerprint, &reports);
        }
        let keeps = keeper(state, fingerprint).is_none();
        let is_passed_on = match origin {
            NoteOrigin::Own => keeps,
            NoteOrigin::Report | NoteOrigin::Store => true,
            NoteOrigin::Spread => false,
        };
        if is_shared && is_passed_on {
            tell_neighbours(state, &reports);
        }
    }
}

/// Tells the routers of all domains that pass on what concerns a request.
fn report_crashes(
    state: &Rc<GatewayState>,
    fingerprint: RequestFingerprint,
    reports: &[CrashReport],
) {
    let name = fingerprint.to_string();
    let foreign: Vec<_> = {
        let ring = state.lending.ring.borrow();
        let keepers = ring.foreign_coordinators_of(state.now(), &name);
        keepers.into_iter().cloned().collect()
    };
    for peer in foreign {
        let (state, reports) = (Rc::clone(state), reports.to_vec());
        spawn_local(async move { tell_peer(&state, &peer, &reports, false).await });
    }
    let (state, reports) = (Rc::clone(state), reports.to_vec());
    spawn_local(async move { report_near(&state, fingerprint, &reports).await });
}

/// Tells the router of the own domain that passes it on; where that one is gone, the next in line.
async fn report_near(
    state: &Rc<GatewayState>,
    fingerprint: RequestFingerprint,
    reports: &[CrashReport],
) {
    let mut silent = None;
    loop {
        match keeper(state, fingerprint) {
            // Behind a full link of its own a router passes over nobody; the store tells the others.
            Some(peer) if silent.as_ref() == Some(&peer.host) => return,
            Some(peer) if tell_peer(state, &peer, reports, false).await => return,
            Some(peer) => silent = Some(peer.host),
            None => {
                if state.crashes.book.borrow().is_shared(fingerprint) {
                    tell_neighbours(state, reports);
                }
                return;
            }
        }
    }
}

fn keeper(state: &GatewayState, fingerprint: RequestFingerprint) -> Option<PeerRecord> {
    let ring = state.lending.ring.borrow();
    let keeper = ring.coordinator_of(state.now(), &fingerprint.to_string());
    keeper.cloned()
}

fn tell_neighbours(state: &Rc<GatewayState>, reports: &[CrashReport]) {
    let neighbours: Vec<_> = {
        let ring = state.lending.ring.borrow();
        ring.neighbours(state.now()).cloned().collect()
    };
    for peer in neighbours {
        let (state, reports) = (Rc::clone(state), reports.to_vec());
        spawn_local(async move { tell_peer(&state, &peer, &reports, true).await });
    }
}

/// Tells one router; whether it heard.
async fn tell_peer(
    state: &GatewayState,
    peer: &PeerRecord,
    reports: &[CrashReport],
    is_spread: bool,
) -> bool {
    let secret = state.lending.secret();
    let now = state.now();
    let links = &state.lending.links;
    let told = links.note_crashes(peer, &secret, now, reports, is_spread);
    let failure = match timeout(LOAN_SPAN, told).await {
        Ok(Ok(())) => return true,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    mark_down(state, peer, &failure);
    false
}
