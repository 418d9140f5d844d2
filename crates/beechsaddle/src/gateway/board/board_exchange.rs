//! The `board_exchange` module provides the regular exchange of notes with a relay or other domains.

use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{BoardSource, ExchangePlan, NoteScope, PeerRecord};
use beechsaddle_core::report::LogLevel;
use futures::future::join_all;
use tokio::time::{sleep, timeout};

use super::board_link::{ExchangeSender, ReceivedNotes};
use super::board_manager::ExchangeFailure;
use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::{GatewayPhase, GatewayState};

/// Timeout of an exchange: a hundred times the latency between domains.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of exchanges within the domain for each one with other domains: bytes between domains are
/// dear, and a speed changes slowly.
const FOREIGN_INTERVAL: u64 = 2;

/// Number of exchanges between two log lines of what is known: some ten seconds.
const SUMMARY_INTERVAL: u64 = 10;

/// Exchanges notes until the process ends. A router that leaves tells nothing more.
pub(in crate::gateway) async fn run_board_exchange(state: Rc<GatewayState>) {
    state.lending.roles_enabled().await;
    let mut round = 0;
    loop {
        let routers = state.lending.ring.borrow().domain_router_count();
        let interval_ms = ExchangePlan::interval_ms(routers);
        sleep(Duration::from_millis(interval_ms)).await;
        let is_on = state.settings().policy.shares_target_speeds;
        if !is_on || !state.board.has_reason(&state) {
            state.board.clear(&state);
        } else if state.phase() == GatewayPhase::Serving {
            exchange_round(&state, round).await;
            round += 1;
        }
    }
}

async fn exchange_round(state: &GatewayState, round: u64) {
    let board = &state.board;
    board.record_own(state);
    let plan = board.plan(state);
    if board.set_relay(plan.relay.as_ref()) {
        let relay = plan.relay.as_ref();
        let relay = relay.map_or("none".to_owned(), |relay| relay.host.to_string());
        let fields = [("relay", relay), ("is_relay", plan.is_relay.to_string())];
        state.report.log(LogLevel::Info, "notes_relay", fields);
    }
    let foreign = match round % FOREIGN_INTERVAL {
        0 => &plan.foreign[..],
        _ => &[],
    };
    let peers = plan.relay.iter().chain(foreign);
    let exchanges = peers.map(|peer| exchange(state, peer, plan.is_relay));
    join_all(exchanges).await;
    board.publish(state);
    if round % SUMMARY_INTERVAL == SUMMARY_INTERVAL - 1 {
        log_summary(state);
    }
}

/// Logs how much is known from others, and what it has cost since the process started.
fn log_summary(state: &GatewayState) {
    let metrics = &state.metrics;
    let sent = OutcomeLabel { what: "sent" };
    let taken = OutcomeLabel { what: "taken" };
    let notes = &metrics.target_notes;
    let bytes = &metrics.target_note_bytes;
    let mut fields = vec![
        ("targets", metrics.targets_reported.get().to_string()),
        ("age_ms", metrics.report_age_ms.get().to_string()),
        ("sent", notes.get_or_create(&sent).get().to_string()),
        ("taken", notes.get_or_create(&taken).get().to_string()),
        ("sent_bytes", bytes.get_or_create(&sent).get().to_string()),
    ];
    if let Some(spread) = state.board.speed_spread(state) {
        fields.push(("event_ms", spread));
    }
    state.report.log(LogLevel::Info, "notes_known", fields);
}

async fn exchange(state: &GatewayState, peer: &PeerRecord, is_relay: bool) {
    let now = state.now();
    let own_domain = state.settings().domain.clone();
    let sender = ExchangeSender {
        secret: state.lending.secret(),
        host: state.me.host.clone(),
        domain: own_domain.clone(),
        is_relay,
    };
    let notes = state.board.next_request(now, peer);
    let links = &state.lending.links;
    let exchanging = links.exchange_notes(peer, &sender, now, &notes);
    let failure = match timeout(EXCHANGE_TIMEOUT, exchanging).await {
        Ok(Ok(reply)) => {
            count_sent(state, notes.len(), reply.sent_bytes);
            let source = match peer.domain == own_domain {
                true => BoardSource::Relay,
                false => BoardSource::Domain(peer.domain.clone()),
            };
            return count_received(state, &source, NoteScope::Domain, reply.received);
        }
        Ok(Err(failure)) => failure,
        Err(_) => ExchangeFailure::Silent("no answer in time".to_owned()),
    };
    record_failure(state, peer, &failure);
}

/// Records that an exchange failed. The router is not marked as down: notes are hints, and it may be
/// busy.
fn record_failure(state: &GatewayState, peer: &PeerRecord, failure: &ExchangeFailure) {
    state.board.record_failure(state.now(), &peer.host, failure);
    let error = match failure {
        ExchangeFailure::Absent => "the router takes no part".to_owned(),
        ExchangeFailure::Silent(error) => error.clone(),
    };
    let fields = [("peer", peer.host.to_string()), ("error", error)];
    state.report.log(LogLevel::Warning, "notes_lost", fields);
    count(state, "failed", 1);
}

/// Records received notes and counts them.
pub(super) fn count_received(
    state: &GatewayState,
    source: &BoardSource,
    scope: NoteScope,
    received: ReceivedNotes,
) {
    let count_all = received.notes.len() as u64;
    let now = state.now();
    let ignored = state.board.record(now, source, scope, received.notes);
    count(state, "taken", count_all - ignored);
    count(state, "ignored", ignored + received.unreadable);
    count_bytes(state, "received", received.bytes);
}

/// Counts notes that were sent.
pub(super) fn count_sent(state: &GatewayState, notes: usize, bytes: u64) {
    count(state, "sent", notes as u64);
    count_bytes(state, "sent", bytes);
}

fn count(state: &GatewayState, what: &'static str, number: u64) {
    let label = OutcomeLabel { what };
    let notes = &state.metrics.target_notes;
    notes.get_or_create(&label).inc_by(number);
}

fn count_bytes(state: &GatewayState, what: &'static str, number: u64) {
    let label = OutcomeLabel { what };
    let bytes = &state.metrics.target_note_bytes;
    bytes.get_or_create(&label).inc_by(number);
}
