//! The `desk_pump` module provides the flow of platform calls and their replies.

use super::desk_turn::DeskTurn;
use super::fold_job::FoldJob;
use super::fold_scan::FoldScan;
use super::journal_name::journal_router;
use super::money_desk::{DrainState, MoneyDesk, MoneyWait};
use crate::platform::{PlatformCall, PlatformDuty, PlatformReply, PlatformTicket};
use crate::prelude::*;
use crate::report::{CounterName, LogLevel};

impl MoneyDesk {
    /// Starts everything that is due. Each part has at most one platform call in flight.
    pub(super) fn pump(&mut self, turn: &mut DeskTurn<'_>) {
        self.pump_late(turn);
        if self.drain == DrainState::Ending {
            self.bill_silent_orphans(turn);
        }
        self.pump_drain();
        self.pump_journal(turn);
        self.pump_scans(turn);
        self.pump_earlier(turn);
        self.pump_jobs(turn);
        self.pump_shards(turn);
        if let Some(call) = self.sweeper.next_call(turn.now) {
            self.issue(turn, MoneyWait::Sweep, call);
        }
    }

    pub(super) fn issue(&mut self, turn: &mut DeskTurn<'_>, wait: MoneyWait, call: PlatformCall) {
        self.ticket_count += 1;
        let ticket = PlatformTicket {
            duty: PlatformDuty::Money,
            number: self.ticket_count,
        };
        self.tickets.insert(ticket.number, wait);
        turn.outbox.act(CoreAction::Platform { ticket, call });
    }

    pub(super) fn take_reply(
        &mut self,
        turn: &mut DeskTurn<'_>,
        number: u64,
        reply: PlatformReply,
    ) {
        let Some(wait) = self.tickets.remove(&number) else {
            return;
        };
        self.note_health(turn, &reply);
        match wait {
            MoneyWait::Journal(journal) => self.on_journal_reply(turn, &journal, reply),
            MoneyWait::Shard(shard) => self.on_shard_reply(turn, shard, reply),
            MoneyWait::Fold(journal) => {
                if let Some(job) = self.jobs.get_mut(&journal) {
                    job.on_reply(turn.now, reply);
                }
            }
            MoneyWait::Scan(router) => self.on_scan_reply(turn.now, &router, reply),
            MoneyWait::Earlier => self.on_earlier_reply(turn.now, reply),
            MoneyWait::Sweep => self.sweeper.on_reply(&reply),
        }
    }

    /// Keeps whether the platform answers, so that requests that need it are refused at once while
    /// it does not, instead of each waiting for a timeout.
    fn note_health(&mut self, turn: &mut DeskTurn<'_>, reply: &PlatformReply) {
        match reply {
            PlatformReply::Unknown => {
                turn.count(CounterName::PlatformUnknown);
                self.away_since = self.away_since.or(Some(turn.now));
            }
            PlatformReply::Unreachable | PlatformReply::Throttled { .. } => {
                self.away_since = self.away_since.or(Some(turn.now));
            }
            PlatformReply::Found(_)
            | PlatformReply::Absent
            | PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Conflict
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Invalid => self.away_since = None,
        }
    }

    pub(super) fn on_gone(&mut self, turn: &mut DeskTurn<'_>, gone: &RouterIncarnation) {
        if *gone == self.me {
            return;
        }
        self.scans
            .entry(gone.clone())
            .or_insert_with(|| FoldScan::new(gone));
        self.entries_on_gone(turn, gone);
        self.cancel_gone(turn.now, gone);
        self.bill_orphans(turn, gone);
        self.bill_notes(turn, gone);
    }

    /// Searches the journals of routers that are gone, at the router that is picked for each, and
    /// again for some time. When that one dies too, another is picked and starts again; folding twice
    /// changes nothing.
    fn pump_scans(&mut self, turn: &mut DeskTurn<'_>) {
        let mut calls = Vec::new();
        for (router, scan) in &mut self.scans {
            let is_picked = turn.members.picked_for(&router.to_string()) == self.me;
            if !is_picked && !scan.is_overlooked(turn.now) {
                continue;
            }
            if let Some(call) = scan.next_call(turn.now) {
                calls.push((router.clone(), call));
            }
        }
        for (router, call) in calls {
            self.issue(turn, MoneyWait::Scan(router), call);
        }
    }

    fn on_scan_reply(&mut self, now: ClockTime, router: &RouterIncarnation, reply: PlatformReply) {
        let found = self
            .scans
            .get_mut(router)
            .and_then(|scan| scan.on_reply(now, reply));
        for journal in found.unwrap_or_default() {
            self.want_job(now, &journal);
        }
    }

    /// Searches the journals of earlier routers on the own host, once after the start.
    ///
    /// The others close the journal of a router that they know to be gone. Nobody does when all of
    /// them were restarted together, as after a power cut, or when the router had died before the
    /// one that is picked heard of it: its bills would never reach the ledger, and its grants never
    /// return. That this router runs is proof that the earlier ones on its host have ended.
    fn pump_earlier(&mut self, turn: &mut DeskTurn<'_>) {
        let call = self
            .earlier
            .as_mut()
            .and_then(|scan| scan.next_call(turn.now));
        if let Some(call) = call {
            self.issue(turn, MoneyWait::Earlier, call);
        }
    }

    fn on_earlier_reply(&mut self, now: ClockTime, reply: PlatformReply) {
        let found = self
            .earlier
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
            self.want_job(now, &journal);
        }
    }

    /// Makes sure that a journal is folded once it is closed; closes it only when its router is
    /// known to be gone. A router that is merely cut off must not be fenced into refusing.
    pub(super) fn want_job(&mut self, _now: ClockTime, journal: &KeyText) {
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

    fn pump_jobs(&mut self, turn: &mut DeskTurn<'_>) {
        let mut calls = Vec::new();
        let mut finished = Vec::new();
        for (journal, job) in &mut self.jobs {
            if let Some(call) = job.next_call(turn.now) {
                calls.push((journal.clone(), call));
            }
            if job.is_done() {
                finished.push((journal.clone(), job.has_closed()));
            }
        }
        for (journal, call) in calls {
            self.issue(turn, MoneyWait::Fold(journal), call);
        }
        for (journal, has_closed) in finished {
            self.finish_job(turn, &journal, has_closed);
        }
    }

    fn finish_job(&mut self, turn: &mut DeskTurn<'_>, journal: &KeyText, has_closed: bool) {
        if *journal == *self.writer.journal() {
            return;
        }
        let is_needed = self.closed_lives.contains_key(journal)
            || self.late.values().any(|late| late.journal == *journal);
        if is_needed {
            return;
        }
        self.jobs.remove(journal);
        if has_closed {
            turn.count(CounterName::JournalsFenced);
        }
        let fields = vec![
            ("journal", journal.to_string()),
            ("fenced_here", has_closed.to_string()),
        ];
        turn.log(LogLevel::Info, "journal_folded", fields);
    }
}
