//! The `board_manager` module provides what this router knows of targets from others, and what it has
//! told them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use beechsaddle_core::gateway::{
    BoardSource, BoardView, ExchangePlan, NoteOutbox, NoteScope, PeerRecord, RosterEntry,
    TargetBoard, TargetNote, TargetReport,
};
use beechsaddle_core::prelude::*;

use crate::gateway::gateway_state::GatewayState;

/// Maximum number of notes of a message, some 4 kB: callers' answers wait for it in the link.
const NOTES_MAX: usize = 64;

/// How long a router that did not answer is not asked, in milliseconds: the other relay is asked
/// meanwhile.
const SILENT_PAUSE_MS: u64 = 4_000;

/// How long a router that does not take part in the exchange is not asked, in milliseconds: it may be
/// replaced by a newer version.
const ABSENT_PAUSE_MS: u64 = 30_000;

/// How long it is remembered what a router was told, in milliseconds, after its last message.
const PEER_LIFE_MS: u64 = 60_000;

/// Why an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ExchangeFailure {
    /// The router does not take part: it is of an older version, or its settings say so.
    Absent,
    /// The router did not answer, or with an error.
    Silent(String),
}

/// The exchange with one router.
#[derive(Debug, Default)]
struct PeerExchange {
    outbox: NoteOutbox,
    /// Whether the router's last answer is missing.
    has_lapsed: bool,
    paused_until: ClockTime,
    used_at: ClockTime,
}

/// What is known of targets from other routers.
#[derive(Default)]
pub(in crate::gateway) struct BoardManager {
    board: RefCell<TargetBoard>,
    peers: RefCell<BTreeMap<HostName, PeerExchange>>,
    /// The relay that was asked last.
    relay: RefCell<Option<HostName>>,
    is_active: Cell<bool>,
}

impl BoardManager {
    /// Whether there is anything to exchange: targets whose speed can be measured.
    pub(super) fn has_reason(&self, state: &GatewayState) -> bool {
        let roster = state.roster.borrow();
        roster.entries().any(|entry| is_measured(state, entry))
    }

    /// Records what this router has measured, and removes what is too old.
    pub(super) fn record_own(&self, state: &GatewayState) {
        let now = state.now();
        let roster = state.roster.borrow();
        let own = roster.entries().filter(|entry| is_measured(state, entry));
        let own = own.map(|entry| own_note(now, entry));
        let source = BoardSource::Router(state.me.host.clone());
        let mut board = self.board.borrow_mut();
        board.forget_source(&source);
        board.record(now, &source, NoteScope::Router, own);
        board.expire(now);
        let mut peers = self.peers.borrow_mut();
        peers.retain(|_, peer| now.since(peer.used_at) < PEER_LIFE_MS);
    }

    /// Returns the routers to ask now.
    pub(super) fn plan(&self, state: &GatewayState) -> ExchangePlan {
        let now = state.now();
        let peers = self.peers.borrow();
        let may_ask = |peer: &PeerRecord| {
            let exchange = peers.get(&peer.host);
            exchange.is_none_or(|exchange| exchange.paused_until <= now)
        };
        ExchangePlan::new(&state.lending.ring.borrow(), now, may_ask)
    }

    /// Records which relay is asked; returns whether it is another one. What the former one told is
    /// dropped, as the new one tells everything.
    pub(super) fn set_relay(&self, relay: Option<&PeerRecord>) -> bool {
        let relay = relay.map(|relay| relay.host.clone());
        let is_other = *self.relay.borrow() != relay;
        if is_other {
            let mut board = self.board.borrow_mut();
            board.forget_source(&BoardSource::Relay);
            self.relay.replace(relay);
        }
        is_other
    }

    /// Returns the notes that a router is told next.
    pub(super) fn next_request(&self, now: ClockTime, peer: &PeerRecord) -> Vec<TargetNote> {
        let view = BoardView::Routers {
            except: Some(&peer.host),
        };
        let mut notes = self.take(now, &peer.host, view);
        let mut peers = self.peers.borrow_mut();
        let exchange = peers.entry(peer.host.clone()).or_default();
        if std::mem::take(&mut exchange.has_lapsed) {
            notes.push(TargetNote::request_all(now));
        }
        notes
    }

    /// Returns the notes that a router of `domain` gets as an answer; `requests_all` says that it lacks
    /// what it was told before.
    pub(super) fn next_answer(
        &self,
        now: ClockTime,
        host: &HostName,
        is_foreign: bool,
        requests_all: bool,
    ) -> Vec<TargetNote> {
        let view = match is_foreign {
            true => BoardView::Routers { except: None },
            false => BoardView::AllBut(host),
        };
        if requests_all {
            let mut peers = self.peers.borrow_mut();
            peers.entry(host.clone()).or_default().outbox.reset();
        }
        self.take(now, host, view)
    }

    fn take(&self, now: ClockTime, host: &HostName, view: BoardView<'_>) -> Vec<TargetNote> {
        let board = self.board.borrow();
        let mut peers = self.peers.borrow_mut();
        let exchange = peers.entry(host.clone()).or_default();
        exchange.used_at = now;
        exchange.outbox.take(now, board.notes(now, view), NOTES_MAX)
    }

    /// Records notes of a source; returns how many were ignored.
    pub(super) fn record(
        &self,
        now: ClockTime,
        source: &BoardSource,
        scope: NoteScope,
        notes: Vec<TargetNote>,
    ) -> u64 {
        let mut board = self.board.borrow_mut();
        board.record(now, source, scope, notes)
    }

    /// Records that a router did not answer: it is told everything once more, and is not asked for a
    /// while.
    pub(super) fn record_failure(
        &self,
        now: ClockTime,
        host: &HostName,
        failure: &ExchangeFailure,
    ) {
        let mut peers = self.peers.borrow_mut();
        let exchange = peers.entry(host.clone()).or_default();
        exchange.outbox.reset();
        exchange.has_lapsed = true;
        exchange.used_at = now;
        exchange.paused_until = now.plus_ms(match failure {
            ExchangeFailure::Absent => ABSENT_PAUSE_MS,
            ExchangeFailure::Silent(_) => SILENT_PAUSE_MS,
        });
    }

    /// Writes what is known from others into the roster.
    pub(super) fn publish(&self, state: &GatewayState) {
        let now = state.now();
        let board = self.board.borrow();
        let mut roster = state.roster.borrow_mut();
        let (mut known, mut age_ms) = (0, 0);
        for entry in roster.entries_mut() {
            let incarnation = entry.record.incarnation();
            let view = BoardView::AllBut(&state.me.host);
            entry.report = board.sum(now, &incarnation, view);
            if let Some(report) = entry.report.filter(|report| report.samples > 0.0) {
                known += 1;
                age_ms += now.since(report.measured_at);
            }
        }
        state.metrics.targets_reported.set(known);
        let mean_ms = age_ms.checked_div(known as u64).unwrap_or(0);
        state.metrics.report_age_ms.set(mean_ms as i64);
        self.is_active.set(true);
    }

    /// Returns the times between events of the fastest, the median and the slowest target as known from
    /// others, in milliseconds.
    pub(super) fn speed_spread(&self, state: &GatewayState) -> Option<String> {
        let roster = state.roster.borrow();
        let reports = roster.entries().filter_map(|entry| entry.report);
        let mut speeds: Vec<_> = reports.filter_map(|report| report.event_ms).collect();
        speeds.sort_by(f64::total_cmp);
        let (fastest, slowest) = (speeds.first()?, speeds.last()?);
        let median = speeds.get(speeds.len() / 2)?;
        Some(format!("{fastest:.1}/{median:.1}/{slowest:.1}"))
    }

    /// Forgets everything, as the exchange is switched off.
    pub(super) fn clear(&self, state: &GatewayState) {
        if !self.is_active.replace(false) {
            return;
        }
        self.board.take();
        self.peers.borrow_mut().clear();
        self.relay.take();
        let mut roster = state.roster.borrow_mut();
        for entry in roster.entries_mut() {
            entry.report = None;
        }
        state.metrics.targets_reported.set(0);
        state.metrics.report_age_ms.set(0);
    }
}

/// Whether a target's speed can be measured: it is an engine, or has sent a stream.
fn is_measured(state: &GatewayState, entry: &RosterEntry) -> bool {
    let config = state.config.borrow();
    let services = config.as_ref().map(|config| &config.services);
    let rule = services.and_then(|services| services.get(&entry.record.service));
    let is_engine = rule.is_some_and(|rule| rule.is_engine);
    is_engine || entry.stats.speed_samples(state.now()) > 0.0
}

fn own_note(now: ClockTime, entry: &RosterEntry) -> TargetNote {
    let stats = &entry.stats;
    TargetNote {
        target: entry.record.incarnation(),
        report: TargetReport {
            event_ms: stats.event_ms(now),
            read_per_ms: stats.read_per_ms(now),
            failure_share: stats.failure_share(now),
            samples: stats.speed_samples(now),
            active: stats.active,
            pending_tokens: stats.pending_tokens,
            measured_at: stats.speed_sampled_at(),
        },
    }
}
