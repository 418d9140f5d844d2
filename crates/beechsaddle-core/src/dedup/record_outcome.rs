//! The `record_outcome` module provides the ways in which a call's wait for its record ends.

use super::DedupManager;
use super::commit_reply::PlatformPause;
use super::open_record::{OpenRecord, RefusedRecord};
use super::record_verdict::{RecordOrigin, RecordVerdict, WaitingRecord};
use super::shard_committer::ShardCommitter;
use crate::action::CoreAction;
use crate::clock::ClockTime;
use crate::hash::shard_of;
use crate::members::{MemberLiveness, MemberTable};
use crate::names::{CallId, RequestKey};
use crate::outbox::CoreOutbox;
use crate::peer::PeerMessage;
use crate::refusal::{CallRefusal, RefusalReason};
use crate::report::{LogLevel, LogLine, ReportAction};
use crate::signal::CoreSignal;

impl DedupManager {
    /// Refuses the calls whose record timeout has passed.
    pub(super) fn refuse_overdue(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let timeout_ms = self.options.record_timeout_ms;
        for call in self.calls_where(|open| now.since(open.since) >= timeout_ms) {
            let refusal = self.unavailable(now);
            self.finish(now, &call, Err(refusal), false, outbox);
        }
    }

    /// Commits the records whose committer is dead, frozen or unreachable.
    pub(super) fn take_over_unanswered(
        &mut self,
        now: ClockTime,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let handover_ms = self.options.handover_ms;
        let unanswered = self.calls_where(|open| {
            let is_live = open
                .pending_from
                .as_ref()
                .and_then(|pending_from| members.get(pending_from))
                .is_some_and(|entry| entry.liveness == MemberLiveness::Live);
            !open.is_own && (!is_live || now.since(open.since) >= handover_ms)
        });
        for call in unanswered {
            self.commit_own(now, &call, outbox);
        }
    }

    /// Sends outcomes to the calls and routers that requested records.
    pub(super) fn send_verdicts(
        &mut self,
        now: ClockTime,
        verdicts: Vec<RecordVerdict>,
        outbox: &mut CoreOutbox,
    ) {
        for verdict in verdicts {
            let RecordVerdict {
                call,
                record,
                outcome,
            } = verdict;
            match record.origin {
                RecordOrigin::Own => self.finish(now, &call, outcome, record.write_unknown, outbox),
                // Without a reply the requesting router looks for the record itself and, if it
                // cannot, releases it. A refusal would mean that there is nothing to release.
                RecordOrigin::Peer { .. } if record.write_unknown && is_unavailable(&outcome) => {}
                RecordOrigin::Peer { router, address } => outbox.act(CoreAction::Peer {
                    to: router,
                    address,
                    message: PeerMessage::RecordReply { call, outcome },
                }),
            }
        }
    }

    /// Ends a call's wait, unless it ended before.
    pub(super) fn finish(
        &mut self,
        now: ClockTime,
        call: &CallId,
        outcome: Result<(), CallRefusal>,
        write_unknown: bool,
        outbox: &mut CoreOutbox,
    ) {
        let Some(open) = self.open.remove(call) else {
            return;
        };
        // A router that was frozen may read an old reply. The record may have expired since and its
        // key may have been dispatched by another call, so a late success is refused.
        let is_late = now.since(open.since) > self.options.record_timeout_ms;
        let outcome = match outcome {
            Ok(()) if is_late => Err(self.unavailable(now)),
            outcome => outcome,
        };
        match &outcome {
            Ok(()) => {
                let shard = self.shard_of(&open.key);
                self.committer(shard).drop_record(call);
            }
            Err(_) => self.abandon(now, call, open, write_unknown || is_late, outbox),
        }
        outbox.signal(CoreSignal::RecordDone {
            call: call.clone(),
            outcome,
        });
    }

    /// Removes the record of a call that will not be dispatched.
    pub(super) fn abandon(
        &mut self,
        now: ClockTime,
        call: &CallId,
        open: OpenRecord,
        write_unknown: bool,
        outbox: &mut CoreOutbox,
    ) {
        let shard = self.shard_of(&open.key);
        let is_written = self.committer(shard).drop_record(call);
        if write_unknown || is_written || open.pending_from.is_some() {
            self.release(now, call, &open.key, outbox);
        } else if open.was_forwarded {
            self.remember_refused(now, call, open.key);
        }
    }

    fn remember_refused(&mut self, now: ClockTime, call: &CallId, key: RequestKey) {
        if self.refused.len() >= self.options.max_open {
            self.refused.pop_first();
        }
        let refused = RefusedRecord { key, since: now };
        self.refused.insert(call.clone(), refused);
    }

    /// Queues a durable release of the call's key.
    pub(super) fn release(
        &mut self,
        now: ClockTime,
        call: &CallId,
        key: &RequestKey,
        outbox: &mut CoreOutbox,
    ) {
        let shard = self.shard_of(key);
        self.committer(shard).add_release(call.clone(), key.clone());
        self.run_committer(now, shard, outbox);
    }

    /// Pauses platform calls and refuses the records that cannot wait.
    pub(super) fn pause(
        &mut self,
        now: ClockTime,
        shard: u32,
        pause: PlatformPause,
        verdicts: &mut Vec<RecordVerdict>,
        outbox: &mut CoreOutbox,
    ) {
        let backoff_ms = self.options.unavailable_backoff_ms;
        match pause {
            PlatformPause::Unreachable => self.availability.pause(now, backoff_ms, true),
            PlatformPause::Throttled(pause_ms) => self.availability.pause(now, pause_ms, false),
            PlatformPause::Invalid => {
                let refusal = self.unavailable(now);
                let committer = self.committer(shard);
                committer.next_commit = now.plus_ms(backoff_ms);
                committer.refuse_waiting(&refusal, |_| true, verdicts);
                outbox.act(ReportAction::Log(LogLine {
                    level: LogLevel::Error,
                    event: "dedup_shard_unusable",
                    fields: vec![("shard", shard.to_string())],
                }));
                return;
            }
        }
        let refusal = self.unavailable(now);
        let availability = self.availability;
        let timeout_ms = self.options.record_timeout_ms;
        for committer in self.committers.values_mut() {
            let will_time_out =
                |record: &WaitingRecord| availability.will_time_out(now, record, timeout_ms);
            committer.refuse_waiting(&refusal, will_time_out, verdicts);
        }
    }

    /// Whether a new record would time out.
    pub(super) fn will_time_out(&self, now: ClockTime, record: &WaitingRecord) -> bool {
        let timeout_ms = self.options.record_timeout_ms;
        self.availability.will_time_out(now, record, timeout_ms)
            || self
                .availability
                .is_unresponsive(now, timeout_ms, self.committers.values())
    }

    /// Whether `max_open` is reached.
    pub(super) fn is_at_capacity(&self) -> bool {
        let releases: usize = self
            .committers
            .values()
            .map(|committer| committer.releases.len())
            .sum();
        self.open.len() + releases >= self.options.max_open
    }

    /// Returns the refusal for a call whose record cannot be made durable now.
    pub(super) fn unavailable(&self, now: ClockTime) -> CallRefusal {
        let pause_ms = self
            .availability
            .pause_ms(now)
            .max(self.options.unavailable_backoff_ms);
        CallRefusal::not_run(RefusalReason::RecordUnavailable, Some(pause_ms))
    }

    pub(super) fn committer(&mut self, shard: u32) -> &mut ShardCommitter {
        self.committers
            .entry(shard)
            .or_insert_with(|| ShardCommitter::new(shard))
    }

    pub(super) fn shard_of(&self, key: &RequestKey) -> u32 {
        shard_of(key.to_string(), self.options.shard_count)
    }

    fn calls_where(&self, is_selected: impl Fn(&OpenRecord) -> bool) -> Vec<CallId> {
        self.open
            .iter()
            .filter(|(_, open)| is_selected(open))
            .map(|(call, _)| call.clone())
            .collect()
    }
}

fn is_unavailable(outcome: &Result<(), CallRefusal>) -> bool {
    matches!(outcome, Err(refusal) if refusal.reason == RefusalReason::RecordUnavailable)
}
