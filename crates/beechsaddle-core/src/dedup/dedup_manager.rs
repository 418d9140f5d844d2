//! The `dedup_manager` module provides the dedup records of one router's calls, and of other
//! routers that request commits from it.
//!
//! A call that may not be repeated is dispatched only after a record that names it is durable. Only
//! the call's entry router dispatches it or releases the record, and it does exactly one of the
//! two.

use std::collections::BTreeMap;

use super::DedupOptions;
use super::open_record::{OpenRecord, RefusedRecord};
use super::platform_availability::PlatformAvailability;
use super::record_verdict::{RecordOrigin, RecordVerdict, WaitingRecord};
use super::shard_committer::{CommitContext, ShardCommitter};
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

/// The largest age that records gain between two ticks, in milliseconds. Without it a clock that is
/// set forward by a day would end the retention of all records at once.
const MAX_TICK_MS: u64 = 1_000;

/// Makes dedup records durable before their calls are dispatched.
#[derive(Clone, Debug)]
pub struct DedupManager {
    pub(super) options: DedupOptions,
    pub(super) me: RouterIncarnation,
    pub(super) committers: BTreeMap<u32, ShardCommitter>,
    pub(super) open: BTreeMap<CallId, OpenRecord>,
    pub(super) refused: BTreeMap<CallId, RefusedRecord>,
    tickets: BTreeMap<u64, u32>,
    next_ticket: u64,
    pub(super) availability: PlatformAvailability,
    /// Elapsed time that this router has observed, in milliseconds.
    elapsed_ms: i64,
    last_tick: Option<ClockTime>,
}

impl DedupManager {
    pub fn new(options: DedupOptions, me: RouterIncarnation) -> Self {
        DedupManager {
            options,
            me,
            committers: BTreeMap::new(),
            open: BTreeMap::new(),
            refused: BTreeMap::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            availability: PlatformAvailability::default(),
            elapsed_ms: 0,
            last_tick: None,
        }
    }

    /// Takes the shard count from the fleet's layout. Must be called before any record is
    /// requested.
    pub fn set_layout(&mut self, layout: &FleetLayout) {
        self.options.shard_count = layout.dedup_shards;
    }

    /// Requests a record for a call of this router. Exactly one [`CoreSignal::RecordDone`] follows,
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
        let committer = members.picked_for(&format!("dedup/{}", self.shard_of(&key)));
        let address = members.address_of(&committer).map(str::to_owned);
        if self.is_at_capacity() {
            let outcome = Err(self.unavailable(now));
            outbox.signal(CoreSignal::RecordDone { call, outcome });
            return;
        }
        let open = OpenRecord {
            key: key.clone(),
            since: now,
            pending_from: address.is_some().then(|| committer.clone()),
            was_forwarded: address.is_some(),
            is_own: false,
        };
        self.open.insert(call.clone(), open);
        match address {
            Some(address) => outbox.act(CoreAction::Peer {
                to: committer,
                address,
                message: PeerMessage::RecordRequest(RecordRequest { call, key }),
            }),
            None => self.commit_own(now, &call, outbox),
        }
    }

    /// Releases the record of a call of this router that was not and will not be dispatched, so
    /// that its key may run later. A call that still waits for its record gets no signal.
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
            Some(open) => self.abandon(now, call, open, false, outbox),
            None => self.release(now, call, key, outbox),
        }
    }

    /// Handles a message from another router.
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

    /// Handles the outcome of a platform call.
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
        let context = CommitContext {
            now,
            elapsed_ms: self.elapsed_ms,
            options: &self.options,
            me: &self.me,
        };
        let is_answer = !matches!(reply, PlatformReply::Unknown | PlatformReply::Unreachable);
        if is_answer {
            self.availability.record_answer(now);
        }
        let mut verdicts = Vec::new();
        let pause = self
            .committers
            .get_mut(&shard)
            .and_then(|committer| committer.on_reply(&context, reply, &mut verdicts));
        if let Some(pause) = pause {
            self.pause(now, shard, pause, &mut verdicts, outbox);
        }
        self.send_verdicts(now, verdicts, outbox);
        self.run_committer(now, shard, outbox);
    }

    /// Advances record ages, refuses expired calls and runs due commits.
    pub fn tick(&mut self, now: ClockTime, members: &MemberTable, outbox: &mut CoreOutbox) {
        let passed_ms = self.last_tick.map_or(0, |last| now.since(last));
        let counted_ms = passed_ms.min(MAX_TICK_MS);
        self.elapsed_ms = self.elapsed_ms.saturating_add_unsigned(counted_ms);
        self.last_tick = Some(now);
        self.refuse_overdue(now, outbox);
        self.take_over_unanswered(now, members, outbox);
        let tombstone_ms = self.options.tombstone_ms;
        self.refused
            .retain(|_, refused| now.since(refused.since) < tombstone_ms);
        let shards: Vec<u32> = self.committers.keys().copied().collect();
        for shard in shards {
            self.run_committer(now, shard, outbox);
        }
    }

    /// Whether no call waits for its record and no record waits for its commit or release.
    ///
    /// Releases don't count while the platform is unreachable: a router that drains in an outage
    /// would never exit. A release that is lost leaves its key taken.
    pub fn is_idle(&self) -> bool {
        let all_idle = self.committers.values().all(ShardCommitter::is_idle);
        let is_released = self
            .committers
            .values()
            .all(|committer| committer.releases.is_empty());
        self.open.is_empty() && all_idle && (is_released || self.availability.is_unreachable())
    }

    fn on_request(
        &mut self,
        now: ClockTime,
        from: RouterIncarnation,
        request: RecordRequest,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        // Only a call's entry router may request its record, since the reply allows a dispatch.
        if from != request.call.router {
            return;
        }
        let Some(address) = members.address_of(&from).map(str::to_owned) else {
            return;
        };
        let record = WaitingRecord {
            key: request.key,
            origin: RecordOrigin::Peer {
                router: from,
                address,
            },
            since: now,
            sequence: 0,
            write_unknown: false,
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
            // The call was refused as not run. A late record must never lead to a dispatch, and is
            // released because it would block its key.
            if outcome.is_ok()
                && let Some(refused) = self.refused.remove(call)
            {
                self.release(now, call, &refused.key, outbox);
            }
            return;
        };
        if open.pending_from.as_ref() == Some(from) {
            open.pending_from = None;
        }
        let is_own = open.is_own;
        match outcome {
            Err(refusal) if refusal.reason == RefusalReason::RecordUnavailable => {
                // The committer may be cut off from the platform while this router is not.
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
            origin: RecordOrigin::Own,
            since: open.since,
            sequence: 0,
            write_unknown: false,
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
        let is_at_capacity = self.committer(shard).waiting.len() >= max_open;
        let will_time_out = self.will_time_out(now, &record);
        if is_at_capacity || will_time_out {
            let outcome = Err(self.unavailable(now));
            let verdict = RecordVerdict {
                call,
                record,
                outcome,
            };
            self.send_verdicts(now, vec![verdict], outbox);
            return;
        }
        self.committer(shard).add_record(call, record);
        self.run_committer(now, shard, outbox);
    }

    pub(super) fn run_committer(&mut self, now: ClockTime, shard: u32, outbox: &mut CoreOutbox) {
        let context = CommitContext {
            now,
            elapsed_ms: self.elapsed_ms,
            options: &self.options,
            me: &self.me,
        };
        let mut verdicts = Vec::new();
        let call = match self.committers.get_mut(&shard) {
            Some(committer) if !self.availability.is_paused(now) => {
                committer.advance(&context, &mut verdicts)
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
        self.send_verdicts(now, verdicts, outbox);
    }
}
