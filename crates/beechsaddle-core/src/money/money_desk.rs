//! The `money_desk` module provides the router's decisions on budgets and bills.

use std::collections::BTreeMap;

use super::budget_holding::BudgetHolding;
use super::desk_turn::DeskTurn;
use super::entry_call::EntryCall;
use super::fold_job::FoldJob;
use super::fold_scan::FoldScan;
use super::grant_audit::GrantAudit;
use super::holder_call::{BilledCall, HolderCall};
use super::journal_name::journal_name;
use super::journal_segment::BillRecord;
use super::journal_writer::JournalWriter;
use super::key_book::KeyBook;
use super::late_bill::{ClosedLife, LateBill};
use super::lookup_book::LookupBook;
use super::money_options::MoneyOptions;
use super::segment_sweeper::SegmentSweeper;
use super::shard_writer::ShardWriter;
use crate::members::MemberTable;
use crate::objects::FleetLayout;
use crate::peer::{AdmitRequest, PeerMessage, WitnessNote};
use crate::platform::{PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::status::GrantStatus;

/// Decides on budgets, grants, journals and bills.
///
/// One desk is all of these for its router: entry of the calls that the router took, holder of the
/// budgets that it is picked for, witness of other routers' calls, and folder of closed journals.
#[derive(Debug)]
pub struct MoneyDesk {
    pub(super) options: MoneyOptions,
    pub(super) me: RouterIncarnation,
    /// Calls that this router took.
    pub(super) entries: BTreeMap<CallId, EntryCall>,
    pub(super) progress_at: ClockTime,
    /// Calls that this router reserved for.
    pub(super) open: BTreeMap<CallId, HolderCall>,
    pub(super) billed: BTreeMap<CallId, BilledCall>,
    pub(super) keys: KeyBook,
    pub(super) holdings: BTreeMap<BudgetName, BudgetHolding>,
    pub(super) lookups: LookupBook,
    /// Copies of other routers' calls.
    pub(super) notes: BTreeMap<CallId, WitnessNote>,
    /// Copies of ended calls of routers that are gone, for holders that are not.
    pub(super) forwards: BTreeMap<CallId, WitnessNote>,
    pub(super) forwarded_at: ClockTime,
    /// Calls of other routers that are billed for good, and when that was told.
    pub(super) closed_calls: BTreeMap<CallId, ClockTime>,
    pub(super) life: u32,
    pub(super) writer: JournalWriter,
    pub(super) written_at: ClockTime,
    pub(super) checkpoint: u64,
    /// Bills that no segment holds yet.
    pub(super) news: Vec<BillRecord>,
    /// Bills of the segment that is being written.
    pub(super) news_sent: Vec<BillRecord>,
    /// Durable bills that another router may still hand to a successor.
    pub(super) unconfirmed: BTreeMap<CallId, (u64, BillRecord)>,
    pub(super) late: BTreeMap<CallId, LateBill>,
    pub(super) closed_lives: BTreeMap<KeyText, ClosedLife>,
    pub(super) shards: BTreeMap<u32, ShardWriter>,
    pub(super) jobs: BTreeMap<KeyText, FoldJob>,
    pub(super) scans: BTreeMap<RouterIncarnation, FoldScan>,
    /// The search for journals of earlier routers on the own host; begins with the layout.
    pub(super) earlier: Option<FoldScan>,
    pub(super) audit: GrantAudit,
    pub(super) sweeper: SegmentSweeper,
    pub(super) tickets: BTreeMap<u64, MoneyWait>,
    pub(super) ticket_count: u64,
    pub(super) write_count: u64,
    pub(super) away_since: Option<ClockTime>,
    pub(super) drain: DrainState,
}

/// Who waits for a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum MoneyWait {
    Journal(KeyText),
    Shard(u32),
    Fold(KeyText),
    Scan(RouterIncarnation),
    Earlier,
    Sweep,
}

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainState {
    Serving,
    /// Calls end and bills are written.
    Ending,
    /// The closing segment is being written.
    Closing,
    /// The ledger takes the closed journal in.
    Folding,
    Drained,
}

impl MoneyDesk {
    /// A desk that holds nothing.
    pub fn new(options: MoneyOptions, me: RouterIncarnation) -> Self {
        let writer = JournalWriter::new(journal_name(&me, FIRST_LIFE));
        MoneyDesk {
            options,
            me,
            entries: BTreeMap::new(),
            progress_at: ClockTime::ZERO,
            open: BTreeMap::new(),
            billed: BTreeMap::new(),
            keys: KeyBook::default(),
            holdings: BTreeMap::new(),
            lookups: LookupBook::default(),
            notes: BTreeMap::new(),
            forwards: BTreeMap::new(),
            forwarded_at: ClockTime::ZERO,
            closed_calls: BTreeMap::new(),
            life: FIRST_LIFE,
            writer,
            written_at: ClockTime::ZERO,
            checkpoint: 0,
            news: Vec::new(),
            news_sent: Vec::new(),
            unconfirmed: BTreeMap::new(),
            late: BTreeMap::new(),
            closed_lives: BTreeMap::new(),
            shards: BTreeMap::new(),
            jobs: BTreeMap::new(),
            scans: BTreeMap::new(),
            earlier: None,
            audit: GrantAudit::default(),
            sweeper: SegmentSweeper::default(),
            tickets: BTreeMap::new(),
            ticket_count: 0,
            write_count: 0,
            away_since: None,
            drain: DrainState::Serving,
        }
    }

    /// Sets how many ledger shards there are, once the fleet's layout is known and before anything
    /// is reserved.
    pub fn set_layout(&mut self, layout: &FleetLayout) {
        self.options.shard_count = layout.ledger_shards;
        if self.earlier.is_none() {
            self.earlier = Some(FoldScan::of_host(&self.me.host));
        }
    }

    /// Asks for a reservation; called at the call's entry router. Exactly one
    /// [`CoreSignal::AdmitDone`] follows in bounded time, unless the call is settled before.
    pub fn admit(
        &mut self,
        now: ClockTime,
        request: AdmitRequest,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        self.enter_call(&mut turn, request);
        self.pump(&mut turn);
    }

    /// Notes the tokens that a running call used so far; called at its entry router.
    pub fn progress(&mut self, now: ClockTime, call: &CallId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(call) {
            entry.tokens = entry.tokens.max(tokens);
        }
        self.note_progress(now, call, tokens);
    }

    /// Ends a call; called at its entry router. One [`CoreSignal::SettleDone`] follows in bounded
    /// time, also when the holder is away. `tokens` is what is billed; with `ran == false` nothing
    /// is. `complete` tells whether the caller gets its whole answer.
    #[allow(clippy::too_many_arguments)]
    pub fn settle(
        &mut self,
        now: ClockTime,
        call: &CallId,
        tokens: u64,
        ran: bool,
        complete: bool,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        self.end_call(&mut turn, call, tokens, ran, complete);
        self.pump(&mut turn);
    }

    /// Takes a message of another router that concerns money; others are ignored.
    pub fn on_peer(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        message: PeerMessage,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        match message {
            PeerMessage::AdmitRequest(request) => self.hold_call(&mut turn, request),
            PeerMessage::AdmitReply { call, outcome } => {
                self.on_admit_reply(&mut turn, from, &call, outcome);
            }
            PeerMessage::CallUnknown { call, journal } => {
                self.drop_reservation(&mut turn, &call, &journal);
            }
            PeerMessage::ProgressReport { calls } => {
                for progress in calls {
                    self.note_progress(now, &progress.call, progress.tokens);
                }
            }
            PeerMessage::SettleRequest(request) => {
                self.hold_settle(&mut turn, from, request);
            }
            PeerMessage::SettleReply { call } => self.release_call(&mut turn, &call),
            PeerMessage::BillsDurable { calls } => self.on_durable(&mut turn, from, calls),
            PeerMessage::WitnessNote(note) => self.keep_note(&mut turn, from, note),
            PeerMessage::WitnessReply { call } => self.on_witness_reply(&mut turn, from, &call),
            PeerMessage::Heartbeat(_)
            | PeerMessage::HostsRequest
            | PeerMessage::HostsUpdate { .. }
            | PeerMessage::CatalogueRequest { .. }
            | PeerMessage::CatalogueUpdate { .. }
            | PeerMessage::RecordRequest(_)
            | PeerMessage::RecordReply { .. } => {}
        }
        self.pump(&mut turn);
    }

    /// Takes the outcome of one of its platform calls.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        self.take_reply(&mut turn, ticket.number, reply);
        self.pump(&mut turn);
    }

    /// Takes what other duties learned of routers; other signals are ignored.
    pub fn on_signal(
        &mut self,
        now: ClockTime,
        signal: &CoreSignal,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        if let CoreSignal::MemberGone(router) = signal {
            self.on_gone(&mut turn, router);
        }
        self.pump(&mut turn);
    }

    /// Does what is due by time.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        self.tick_entries(&mut turn);
        self.tick_holder(&mut turn);
        self.tick_forwards(&mut turn);
        self.pump(&mut turn);
    }

    /// Starts to hand over everything: nothing new is reserved, what is open is finished.
    pub fn drain(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let mut turn = DeskTurn {
            now,
            members,
            outbox,
        };
        if self.drain == DrainState::Serving {
            self.drain = DrainState::Ending;
        }
        self.pump(&mut turn);
    }

    /// Whether everything is handed over: the journal is closed and the ledger has taken it in.
    pub fn is_drained(&self) -> bool {
        self.drain == DrainState::Drained
    }

    /// The grants that are held.
    pub fn grants(&self) -> Vec<GrantStatus> {
        self.holdings
            .iter()
            .filter(|(_, holding)| holding.has_entry)
            .map(|(budget, holding)| holding.status(budget))
            .collect()
    }

    /// Bills that are not yet durable.
    pub fn unjournalled(&self) -> u64 {
        (self.news.len() + self.news_sent.len() + self.late.len()) as u64
    }

    pub(super) fn is_draining(&self) -> bool {
        self.drain != DrainState::Serving
    }
}

/// The first journal of a process; the number grows when it finds its journal closed.
const FIRST_LIFE: u32 = 1;
