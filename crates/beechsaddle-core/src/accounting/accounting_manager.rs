//! The `accounting_manager` module provides the router's decisions on budgets and bills.

use std::collections::BTreeMap;

use super::accounting_options::AccountingOptions;
use super::budget_holding::BudgetHolding;
use super::entry_call::EntryCall;
use super::event_context::EventContext;
use super::fold_job::FoldJob;
use super::fold_scan::FoldScan;
use super::grant_audit::GrantAudit;
use super::holder_call::{BilledCall, HolderCall};
use super::journal_name::journal_name;
use super::journal_segment::BillRecord;
use super::journal_writer::JournalWriter;
use super::key_table::KeyTable;
use super::late_bill::{FencedJournal, LateBill};
use super::lookup_table::LookupTable;
use super::segment_sweeper::SegmentSweeper;
use super::shard_writer::ShardWriter;
use crate::members::MemberTable;
use crate::objects::FleetLayout;
use crate::peer::{AdmitRequest, PeerMessage, UsageCopy};
use crate::platform::{PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::status::GrantStatus;

/// Decides on budgets, grants, journals and bills, without I/O.
///
/// One manager plays all roles of its router: entry router of the calls that it receives, holder of
/// the budgets that it is picked for, backup of other routers' calls, and folder of closed
/// journals.
#[derive(Debug)]
pub struct AccountingManager {
    pub(super) options: AccountingOptions,
    /// Whether the fleet's number of ledger shards is still unknown. Journals are neither searched,
    /// written nor folded before: looked up in other shards, a journal would seem to be folded, and
    /// its late bills would reach the ledger before it and be dropped.
    pub(super) awaits_layout: bool,
    pub(super) me: RouterIncarnation,
    /// Calls for which this router is the entry router.
    pub(super) entries: BTreeMap<CallId, EntryCall>,
    pub(super) progress_at: ClockTime,
    /// Calls that this router reserved for.
    pub(super) open: BTreeMap<CallId, HolderCall>,
    pub(super) billed: BTreeMap<CallId, BilledCall>,
    pub(super) keys: KeyTable,
    pub(super) holdings: BTreeMap<BudgetName, BudgetHolding>,
    pub(super) lookups: LookupTable,
    /// Usage copies of other routers' calls.
    pub(super) usage_copies: BTreeMap<CallId, UsageCopy>,
    /// Copies of ended calls whose entry router is gone, to be sent to holders that are still
    /// running.
    pub(super) forwards: BTreeMap<CallId, UsageCopy>,
    pub(super) forwarded_at: ClockTime,
    /// Calls of other routers that are billed for good, with the time of the report.
    pub(super) closed_calls: BTreeMap<CallId, ClockTime>,
    pub(super) journal_number: u32,
    pub(super) writer: JournalWriter,
    pub(super) written_at: ClockTime,
    pub(super) checkpoint: u64,
    /// Bills that no segment holds yet.
    pub(super) unwritten_bills: Vec<BillRecord>,
    /// Whether the last part of a response waits for one of these bills.
    pub(super) has_uncopied: bool,
    /// Bills of the segment that is being written.
    pub(super) sent_bills: Vec<BillRecord>,
    /// Durable bills that another router may still hand to a successor.
    pub(super) unconfirmed: BTreeMap<CallId, (u64, BillRecord)>,
    pub(super) late: BTreeMap<CallId, LateBill>,
    pub(super) fenced_journals: BTreeMap<KeyText, FencedJournal>,
    pub(super) shards: BTreeMap<u32, ShardWriter>,
    pub(super) jobs: BTreeMap<KeyText, FoldJob>,
    pub(super) scans: BTreeMap<RouterIncarnation, FoldScan>,
    /// The search for journals of earlier processes on this router's host; starts once the layout
    /// is known.
    pub(super) host_scan: Option<FoldScan>,
    pub(super) audit: GrantAudit,
    pub(super) sweeper: SegmentSweeper,
    pub(super) tickets: BTreeMap<u64, ReplyRoute>,
    pub(super) ticket_count: u64,
    pub(super) write_count: u64,
    pub(super) unreachable_since: Option<ClockTime>,
    pub(super) drain: DrainState,
}

/// The recipient of the reply to a platform call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReplyRoute {
    Journal(KeyText),
    Shard(u32),
    Fold(KeyText),
    Scan(RouterIncarnation),
    HostScan,
    Sweep,
}

/// The stage of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainState {
    Serving,
    /// Calls end and bills are written.
    Ending,
    /// The closing segment is being written.
    Closing,
    /// The closed journal is being folded into the ledger.
    Folding,
    Drained,
}

impl AccountingManager {
    /// Returns a manager without state for a fleet with the number of ledger shards in `options`.
    pub fn new(options: AccountingOptions, me: RouterIncarnation) -> Self {
        let writer = JournalWriter::new(journal_name(&me, FIRST_JOURNAL));
        AccountingManager {
            options,
            awaits_layout: false,
            me,
            entries: BTreeMap::new(),
            progress_at: ClockTime::ZERO,
            open: BTreeMap::new(),
            billed: BTreeMap::new(),
            keys: KeyTable::default(),
            holdings: BTreeMap::new(),
            lookups: LookupTable::default(),
            usage_copies: BTreeMap::new(),
            forwards: BTreeMap::new(),
            forwarded_at: ClockTime::ZERO,
            closed_calls: BTreeMap::new(),
            journal_number: FIRST_JOURNAL,
            writer,
            written_at: ClockTime::ZERO,
            checkpoint: 0,
            unwritten_bills: Vec::new(),
            has_uncopied: false,
            sent_bills: Vec::new(),
            unconfirmed: BTreeMap::new(),
            late: BTreeMap::new(),
            fenced_journals: BTreeMap::new(),
            shards: BTreeMap::new(),
            jobs: BTreeMap::new(),
            scans: BTreeMap::new(),
            host_scan: None,
            audit: GrantAudit::default(),
            sweeper: SegmentSweeper::default(),
            tickets: BTreeMap::new(),
            ticket_count: 0,
            write_count: 0,
            unreachable_since: None,
            drain: DrainState::Serving,
        }
    }

    /// Returns a manager without state that keeps what other routers send, and calls the platform
    /// only after [`AccountingManager::set_layout`].
    pub fn awaiting_layout(options: AccountingOptions, me: RouterIncarnation) -> Self {
        AccountingManager {
            awaits_layout: true,
            ..AccountingManager::new(options, me)
        }
    }

    /// Sets the number of ledger shards. Must be called once the fleet's layout is known and before
    /// the first reservation.
    pub fn set_layout(&mut self, layout: &FleetLayout) {
        self.options.shard_count = layout.ledger_shards;
        self.awaits_layout = false;
        if self.host_scan.is_none() {
            self.host_scan = Some(FoldScan::of_host(&self.me.host));
        }
    }

    /// Requests a reservation; called at the call's entry router. Exactly one
    /// [`CoreSignal::AdmitDone`] follows in bounded time, unless the call is settled before.
    pub fn admit(
        &mut self,
        now: ClockTime,
        request: AdmitRequest,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        self.start_call(&mut context, request);
        self.dispatch_due(&mut context);
    }

    /// Records the tokens that a running call has used so far; called at its entry router.
    pub fn progress(&mut self, now: ClockTime, call: &CallId, tokens: u64) {
        if let Some(entry) = self.entries.get_mut(call) {
            entry.tokens = entry.tokens.max(tokens);
        }
        self.record_progress(now, call, tokens);
    }

    /// Ends a call; called at its entry router. One [`CoreSignal::SettleDone`] follows in bounded
    /// time, even if the holder is unreachable. `tokens` is billed if `ran` is set, otherwise
    /// nothing is; `complete` states whether the caller gets its whole response.
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
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        self.end_call(&mut context, call, tokens, ran, complete);
        self.dispatch_due(&mut context);
    }

    /// Handles a message of another router that concerns accounting; others are ignored.
    pub fn on_peer(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        message: PeerMessage,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        match message {
            PeerMessage::AdmitRequest(request) => self.admit_as_holder(&mut context, request),
            PeerMessage::AdmitReply { call, outcome } => {
                self.on_admit_reply(&mut context, from, &call, outcome);
            }
            PeerMessage::CallUnknown { call, journal } => {
                self.drop_reservation(&mut context, &call, &journal);
            }
            PeerMessage::ProgressReport { calls } => {
                for progress in calls {
                    self.record_progress(now, &progress.call, progress.tokens);
                }
            }
            PeerMessage::SettleRequest(request) => {
                self.settle_as_holder(&mut context, from, request);
            }
            PeerMessage::SettleReply { call } => self.release_call(&mut context, &call),
            PeerMessage::BillsDurable { calls } => self.on_durable(&mut context, from, calls),
            PeerMessage::WitnessNote(copy) => self.store_copy(&mut context, from, copy),
            PeerMessage::WitnessReply { call } => self.on_copy_reply(&mut context, from, &call),
            PeerMessage::Heartbeat(_)
            | PeerMessage::HostsRequest
            | PeerMessage::HostsUpdate { .. }
            | PeerMessage::CatalogueRequest { .. }
            | PeerMessage::CatalogueUpdate { .. }
            | PeerMessage::RecordRequest(_)
            | PeerMessage::RecordReply { .. } => {}
        }
        self.dispatch_due(&mut context);
    }

    /// Handles the reply to one of its platform calls.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        self.handle_reply(&mut context, ticket.number, reply);
        self.dispatch_due(&mut context);
    }

    /// Handles signals about members; other signals are ignored.
    pub fn on_signal(
        &mut self,
        now: ClockTime,
        signal: &CoreSignal,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        if let CoreSignal::MemberGone(router) = signal {
            self.on_gone(&mut context, router);
        }
        self.dispatch_due(&mut context);
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        self.tick_entries(&mut context);
        self.tick_holder(&mut context);
        self.tick_forwards(&mut context);
        self.dispatch_due(&mut context);
    }

    /// Starts a graceful shutdown: nothing new is reserved, open calls are finished.
    pub fn drain(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let mut context = EventContext {
            now,
            members,
            outbox,
        };
        if self.drain == DrainState::Serving {
            self.drain = DrainState::Ending;
        }
        self.dispatch_due(&mut context);
    }

    /// Whether the shutdown is complete: the journal is closed and folded into the ledger.
    pub fn is_drained(&self) -> bool {
        self.drain == DrainState::Drained
    }

    /// Returns the status of each held grant.
    pub fn grants(&self) -> Vec<GrantStatus> {
        self.holdings
            .iter()
            .filter(|(_, holding)| holding.has_grant)
            .map(|(budget, holding)| holding.status(budget))
            .collect()
    }

    /// Returns the number of bills that are not yet durable.
    pub fn unjournalled(&self) -> u64 {
        (self.unwritten_bills.len() + self.sent_bills.len() + self.late.len()) as u64
    }

    pub(super) fn is_draining(&self) -> bool {
        self.drain != DrainState::Serving
    }
}

/// Number of a process's first journal; the next one starts whenever it finds its journal closed.
const FIRST_JOURNAL: u32 = 1;
