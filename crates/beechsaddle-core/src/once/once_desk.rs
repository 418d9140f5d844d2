//! The `once_desk` module provides the dedup records of the calls of one router, and of other
//! routers that ask this one to commit.
//!
//! A call that may not be repeated is dispatched only when a record that names it is durable. Only
//! the router that took the call dispatches it or gives the record up, and it does one of the two.

use std::collections::BTreeMap;

use super::OnceOptions;
use super::open_record::{OpenRecord, RefusedRecord};
use super::platform_away::PlatformAway;
use super::record_verdict::{RecordAsker, RecordVerdict, WaitingRecord};
use super::shard_committer::{CommitScene, ShardCommitter};
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::members::MemberTable;
use crate::names::{CallId, RequestKey, RouterIncarnation};
use crate::objects::FleetLayout;
use crate::outbox::CoreOutbox;
use crate::peer::{PeerMessage, RecordRequest};
use crate::platform::{PlatformDuty, PlatformReply, PlatformTicket};
use crate::refusal::{CallRefusal, RefusalReason};
use crate::signal::CoreSignal;

/// The most that the time between two ticks adds to the age of records, in milliseconds. A clock
/// that is set forward by a day would else end the retention of every record at once.
const LONGEST_TICK_MS: u64 = 1_000;

/// The duty that makes dedup records durable.
#[derive(Clone, Debug)]
pub struct OnceDesk {
    pub(super) options: OnceOptions,
    pub(super) me: RouterIncarnation,
    pub(super) committers: BTreeMap<u32, ShardCommitter>,
    pub(super) open: BTreeMap<CallId, OpenRecord>,
    pub(super) refused: BTreeMap<CallId, RefusedRecord>,
    tickets: BTreeMap<u64, u32>,
    next_ticket: u64,
    pub(super) away: PlatformAway,
    /// Time that this router has watched pass, in milliseconds.
    watched_ms: i64,
    last_tick: Option<ClockTime>,
}

impl OnceDesk {
    /// A desk without records.
    pub fn new(options: OnceOptions, me: RouterIncarnation) -> Self {
        OnceDesk {
            options,
            me,
            committers: BTreeMap::new(),
            open: BTreeMap::new(),
            refused: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            away: PlatformAway::default(),
            watched_ms: 0,
            last_tick: None,
        }
    }

    /// Takes the shard count from the fleet's layout. It has to be called before any record.
    pub fn set_layout(&mut self, layout: &FleetLayout) {
        self.options.shard_count = layout.dedup_shards;
    }

    /// Asks for a record for a call of this router. Exactly one [`CoreSignal::RecordDone`] follows,
    /// at the latest at the first tick after `record_timeout_ms`, unless the call is forgotten.
    pub fn record(
        &mut self,
        now: ClockTime,
        request: RecordRequest,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let RecordRequest { call, key } = request;
        if self.open.contains_key(&call) {
            return;
        }
        let picked = members.picked_for(&format!("dedup/{}", self.shard_of(&key)));
        let address = members.address_of(&picked).map(str::to_owned);
        if self.is_crowded() {
            let outcome = Err(self.unavailable(now));
            outbox.signal(CoreSignal::RecordDone { call, outcome });
            return;
        }
        let open = OpenRecord {
            key: key.clone(),
            since: now,
            asked: address.is_some().then(|| picked.clone()),
            was_asked: address.is_some(),
            is_own: false,
        };
        self.open.insert(call.clone(), open);
        match address {
            Some(address) => outbox.act(CoreAction::Peer {
                to: picked,
                address,
                message: PeerMessage::RecordRequest(RecordRequest { call, key }),
            }),
            None => self.commit_own(now, &call, outbox),
        }
    }

    /// Gives up the record of a call of this router that was not dispatched and never will be, so
    /// that its key may run later. A call that still waits for its record gets no signal any more.
    pub fn forget(
        &mut self,
        now: ClockTime,
        call: &CallId,
        key: &RequestKey,
        outbox: &mut CoreOutbox,
    ) {
        if call.router != self.me || self.refused.contains_key(call) {
            return;
        }
        match self.open.remove(call) {
            Some(open) => self.give_up(now, call, open, false, outbox),
            None => self.release(now, call, key, outbox),
        }
    }

    /// Takes in a message from another router.
    pub fn on_peer(
        &mut self,
        now: ClockTime,
        from: RouterIncarnation,
        message: PeerMessage,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        match message {
            PeerMessage::RecordRequest(request) => {
                self.on_request(now, from, request, members, outbox);
            }
            PeerMessage::RecordReply { call, outcome } => {
                self.on_peer_reply(now, &from, &call, outcome, outbox);
            }
            PeerMessage::Heartbeat(_)
            | PeerMessage::CatalogueRequest { .. }
            | PeerMessage::CatalogueUpdate { .. }
            | PeerMessage::AdmitRequest(_)
            | PeerMessage::AdmitReply { .. }
            | PeerMessage::ProgressReport { .. }
            | PeerMessage::SettleRequest(_)
            | PeerMessage::SettleReply { .. }
            | PeerMessage::BillsDurable { .. }
            | PeerMessage::CallUnknown { .. }
            | PeerMessage::HostsRequest
            | PeerMessage::HostsUpdate { .. }
            | PeerMessage::WitnessNote(_)
            | PeerMessage::WitnessReply { .. } => {}
        }
    }

    /// Takes in the outcome of a platform call.
    pub fn on_platform(
        &mut self,
        now: ClockTime,
        ticket: PlatformTicket,
        reply: PlatformReply,
        outbox: &mut CoreOutbox,
    ) {
        let Some(shard) = self.tickets.remove(&ticket.number) else {
            return;
        };
        let scene = CommitScene {
            now,
            watched_ms: self.watched_ms,
            options: &self.options,
            me: &self.me,
        };
        let is_answer = !matches!(reply, PlatformReply::Unknown | PlatformReply::Unreachable);
        if is_answer {
            self.away.note_answer(now);
        }
        let mut verdicts = Vec::new();
        let pause = self
            .committers
            .get_mut(&shard)
            .and_then(|committer| committer.on_reply(&scene, reply, &mut verdicts));
        if let Some(pause) = pause {
            self.pause(now, shard, pause, &mut verdicts, outbox);
        }
        self.tell_verdicts(now, verdicts, outbox);
        self.run_committer(now, shard, outbox);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let passed_ms = self.last_tick.map_or(0, |last| now.since(last));
        let counted_ms = passed_ms.min(LONGEST_TICK_MS);
        self.watched_ms = self.watched_ms.saturating_add_unsigned(counted_ms);
        self.last_tick = Some(now);
        self.refuse_overdue(now, outbox);
        self.take_over_silent(now, members, outbox);
        let keep_ms = self.options.tombstone_ms;
        self.refused
            .retain(|_, refused| now.since(refused.since) < keep_ms);
        let shards: Vec<u32> = self.committers.keys().copied().collect();
        for shard in shards {
            self.run_committer(now, shard, outbox);
        }
    }

    /// Whether nothing waits here: no call for its record, no record for its commit or release.
    ///
    /// While the platform is away, releases are not waited for: a router that drains in an outage
    /// would never exit. What a release that is lost costs is a key that stays taken.
    pub fn is_idle(&self) -> bool {
        let is_quiet = self.committers.values().all(ShardCommitter::is_quiet);
        let is_released = self
            .committers
            .values()
            .all(|committer| committer.releases.is_empty());
        self.open.is_empty() && is_quiet && (is_released || self.away.is_unreachable())
    }

    fn on_request(
        &mut self,
        now: ClockTime,
        from: RouterIncarnation,
        request: RecordRequest,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        // Only the router that took a call may ask for its record: the answer tells it to dispatch.
        if from != request.call.router {
            return;
        }
        let Some(address) = members.address_of(&from).map(str::to_owned) else {
            return;
        };
        let record = WaitingRecord {
            key: request.key,
            asker: RecordAsker::Peer {
                router: from,
                address,
            },
            since: now,
            question: 0,
            in_doubt: false,
        };
        self.queue_record(now, request.call, record, outbox);
    }

    fn on_peer_reply(
        &mut self,
        now: ClockTime,
        from: &RouterIncarnation,
        call: &CallId,
        outcome: Result<(), CallRefusal>,
        outbox: &mut CoreOutbox,
    ) {
        let Some(open) = self.open.get_mut(call) else {
            // The caller was told "not run". A record that turns up now would only keep its key
            // from running later; it must never lead to a dispatch.
            if outcome.is_ok()
                && let Some(refused) = self.refused.remove(call)
            {
                self.release(now, call, &refused.key, outbox);
            }
            return;
        };
        if open.asked.as_ref() == Some(from) {
            open.asked = None;
        }
        let is_own = open.is_own;
        match outcome {
            Err(refusal) if refusal.reason == RefusalReason::RecordUnavailable => {
                // The picked router may be cut off from the platform where this one is not.
                if !is_own {
                    self.commit_own(now, call, outbox);
                }
            }
            outcome => self.finish(now, call, outcome, false, outbox),
        }
    }

    pub(super) fn commit_own(&mut self, now: ClockTime, call: &CallId, outbox: &mut CoreOutbox) {
        let Some(open) = self.open.get_mut(call) else {
            return;
        };
        open.is_own = true;
        let record = WaitingRecord {
            key: open.key.clone(),
            asker: RecordAsker::Own,
            since: open.since,
            question: 0,
            in_doubt: false,
        };
        self.queue_record(now, call.clone(), record, outbox);
    }

    fn queue_record(
        &mut self,
        now: ClockTime,
        call: CallId,
        record: WaitingRecord,
        outbox: &mut CoreOutbox,
    ) {
        let shard = self.shard_of(&record.key);
        let max_open = self.options.max_open;
        let is_crowded = self.committer(shard).waiting.len() >= max_open;
        let is_hopeless = self.is_hopeless(now, &record);
        if is_crowded || is_hopeless {
            let outcome = Err(self.unavailable(now));
            let verdict = RecordVerdict {
                call,
                record,
                outcome,
            };
            self.tell_verdicts(now, vec![verdict], outbox);
            return;
        }
        self.committer(shard).add_record(call, record);
        self.run_committer(now, shard, outbox);
    }

    pub(super) fn run_committer(&mut self, now: ClockTime, shard: u32, outbox: &mut CoreOutbox) {
        let scene = CommitScene {
            now,
            watched_ms: self.watched_ms,
            options: &self.options,
            me: &self.me,
        };
        let mut verdicts = Vec::new();
        let call = match self.committers.get_mut(&shard) {
            Some(committer) if !self.away.is_paused(now) => {
                committer.advance(&scene, &mut verdicts)
            }
            Some(_) | None => None,
        };
        if let Some(call) = call {
            let ticket = PlatformTicket {
                duty: PlatformDuty::Once,
                number: self.next_ticket,
            };
            self.next_ticket += 1;
            self.tickets.insert(ticket.number, shard);
            outbox.act(CoreAction::Platform { ticket, call });
        }
        self.tell_verdicts(now, verdicts, outbox);
    }
}
