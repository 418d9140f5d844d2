//! The `manager_dispatch` module provides the dispatch of platform calls and of their replies.

use super::accounting_manager::{AccountingManager, DrainState, ReplyRoute};
use super::event_context::EventContext;
use super::fold_job::FoldJob;
use super::fold_scan::FoldScan;
use super::journal_name::journal_router;
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

impl AccountingManager {
    /// Starts everything that is due. Each part has at most one platform call in flight.
    pub(super) fn dispatch_due(&mut self, context: &mut EventContext<'_>) {
        self.dispatch_late_bills(context);
        if self.drain == DrainState::Ending {
            self.bill_silent_orphans(context);
        }
        self.advance_drain();
        if self.awaits_layout {
            return;
        }
        self.dispatch_journal(context);
        self.dispatch_scans(context);
        self.dispatch_host_scan(context);
        self.dispatch_jobs(context);
        self.dispatch_shards(context);
        if let Some(call) = self.sweeper.next_call(context.now) {
            self.issue(context, ReplyRoute::Sweep, call);
        }
    }

    pub(super) fn issue(
        &mut self,
        context: &mut EventContext<'_>,
        route: ReplyRoute,
        call: PlatformCall,
    ) {
        self.ticket_count += 1;
        let ticket = PlatformTicket {
            duty: PlatformDuty::Money,
            number: self.ticket_count,
        };
        self.tickets.insert(ticket.number, route);
        context.outbox.act(CoreAction::Platform { ticket, call });
    }

    pub(super) fn handle_reply(
        &mut self,
        context: &mut EventContext<'_>,
        number: u64,
        reply: PlatformReply,
    ) {
        let Some(route) = self.tickets.remove(&number) else {
            return;
        };
        self.record_health(context, &reply);
        match route {
            ReplyRoute::Journal(journal) => self.on_journal_reply(context, &journal, reply),
            ReplyRoute::Shard(shard) => self.on_shard_reply(context, shard, reply),
            ReplyRoute::Fold(journal) => {
                if let Some(job) = self.jobs.get_mut(&journal) {
                    job.on_reply(context.now, reply);
                }
            }
            ReplyRoute::Scan(router) => self.on_scan_reply(context.now, &router, reply),
            ReplyRoute::HostScan => self.on_host_scan_reply(context.now, reply),
            ReplyRoute::Sweep => self.sweeper.on_reply(&reply),
        }
    }

    /// Records whether the platform replies. While it does not, requests that need it are refused
    /// at once instead of each waiting for a timeout.
    fn record_health(&mut self, context: &mut EventContext<'_>, reply: &PlatformReply) {
        match reply {
            PlatformReply::Unknown => {
                context.count(CounterName::PlatformUnknown);
                self.unreachable_since = self.unreachable_since.or(Some(context.now));
            }
            PlatformReply::Unreachable | PlatformReply::Throttled { .. } => {
                self.unreachable_since = self.unreachable_since.or(Some(context.now));
            }
            PlatformReply::Found(_)
            | PlatformReply::Absent
            | PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Conflict
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Invalid => self.unreachable_since = None,
        }
    }

    pub(super) fn on_gone(&mut self, context: &mut EventContext<'_>, gone: &RouterIncarnation) {
        if *gone == self.me {
            return;
        }
        self.scans
            .entry(gone.clone())
            .or_insert_with(|| FoldScan::new(gone));
        self.entries_on_gone(context, gone);
        self.cancel_gone(context.now, gone);
        self.bill_orphans(context, gone);
        self.bill_copies(context, gone);
    }

    /// Searches for the journals of routers that are gone, repeatedly for some time, on the router
    /// picked for each. If that router dies too, another one starts again; folding twice changes
    /// nothing.
    fn dispatch_scans(&mut self, context: &mut EventContext<'_>) {
        let mut calls = Vec::new();
        for (router, scan) in &mut self.scans {
            let is_picked = context.members.picked_for(&router.to_string()) == self.me;
            if !is_picked && !scan.is_delegation_overdue(context.now) {
                continue;
            }
            if let Some(call) = scan.next_call(context.now) {
                calls.push((router.clone(), call));
            }
        }
        for (router, call) in calls {
            self.issue(context, ReplyRoute::Scan(router), call);
        }
    }

    fn on_scan_reply(&mut self, now: ClockTime, router: &RouterIncarnation, reply: PlatformReply) {
        let found = self
            .scans
            .get_mut(router)
            .and_then(|scan| scan.on_reply(now, reply));
        for journal in found.unwrap_or_default() {
            self.ensure_job(now, &journal);
        }
    }

    /// Searches for the journals of earlier processes on this router's host, once after the start.
    ///
    /// Other routers close the journals of a router that they know to be gone. None does if all
    /// were restarted together, as after a power cut, or if the router died before the one picked
    /// for it knew of it: its bills would never reach the ledger, and its grants would never be
    /// returned. That this router runs proves that the earlier processes on its host have ended.
    fn dispatch_host_scan(&mut self, context: &mut EventContext<'_>) {
        let call = self
            .host_scan
            .as_mut()
            .and_then(|scan| scan.next_call(context.now));
        if let Some(call) = call {
            self.issue(context, ReplyRoute::HostScan, call);
        }
    }

    fn on_host_scan_reply(&mut self, now: ClockTime, reply: PlatformReply) {
        let found = self
            .host_scan
            .as_mut()
            .and_then(|scan| scan.on_reply(now, reply));
        for journal in found.unwrap_or_default() {
            let Some(router) = journal_router(&journal) else {
                continue;
            };
            if router.host != self.me.host || router.epoch >= self.me.epoch {
                continue;
            }
            self.scans
                .entry(router.clone())
                .or_insert_with(|| FoldScan::new(&router));
            self.ensure_job(now, &journal);
        }
    }

    /// Ensures that a journal is folded once it is closed. It is closed only if its router is known
    /// to be gone: fencing a router that is merely partitioned would make it refuse calls.
    ///
    /// Before the layout is known there are only late bills, which ask again.
    pub(super) fn ensure_job(&mut self, _now: ClockTime, journal: &KeyText) {
        if self.awaits_layout {
            return;
        }
        let router = journal_router(journal);
        let may_close = router.is_some_and(|router| self.scans.contains_key(&router));
        if let Some(job) = self.jobs.get_mut(journal) {
            if may_close {
                job.allow_close();
            }
            return;
        }
        self.write_count += 1;
        let write_id = format!("{}/close/{}", self.me, self.write_count);
        let job = FoldJob::new(journal.clone(), may_close, write_id, &self.options);
        self.jobs.insert(journal.clone(), job);
    }

    fn dispatch_jobs(&mut self, context: &mut EventContext<'_>) {
        let mut calls = Vec::new();
        let mut finished = Vec::new();
        for (journal, job) in &mut self.jobs {
            if let Some(call) = job.next_call(context.now) {
                calls.push((journal.clone(), call));
            }
            if job.is_done() {
                finished.push((journal.clone(), job.has_closed()));
            }
        }
        for (journal, call) in calls {
            self.issue(context, ReplyRoute::Fold(journal), call);
        }
        for (journal, has_closed) in finished {
            self.finish_job(context, &journal, has_closed);
        }
    }

    fn finish_job(&mut self, context: &mut EventContext<'_>, journal: &KeyText, has_closed: bool) {
        if *journal == *self.writer.journal() {
            return;
        }
        let is_needed = self.fenced_journals.contains_key(journal)
            || self.late.values().any(|late| late.journal == *journal);
        if is_needed {
            return;
        }
        self.jobs.remove(journal);
        if has_closed {
            context.count(CounterName::JournalsFenced);
        }
        let fields = vec![
            ("journal", journal.to_string()),
            ("fenced_here", has_closed.to_string()),
        ];
        context.log(LogLevel::Info, "journal_folded", fields);
    }
}
