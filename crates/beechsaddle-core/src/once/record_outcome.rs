//! The `record_outcome` module provides how a call's wait for its record comes to an end.

use super::OnceDesk;
use super::commit_reply::PlatformPause;
use super::open_record::{OpenRecord, RefusedRecord};
use super::record_verdict::{RecordAsker, RecordVerdict, WaitingRecord};
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

impl OnceDesk {
    /// Refuses the calls whose time is over.
    pub(super) fn refuse_overdue(&mut self, now: ClockTime, outbox: &mut CoreOutbox) {
        let timeout_ms = self.options.record_timeout_ms;
        for call in self.calls_where(|open| now.since(open.since) >= timeout_ms) {
            let refusal = self.unavailable(now);
            self.finish(now, &call, Err(refusal), false, outbox);
        }
    }

    /// Commits the records itself for which the picked router is dead, frozen or cut off.
    pub(super) fn take_over_silent(
        &mut self,
        now: ClockTime,
        members: &MemberTable,
        outbox: &mut CoreOutbox,
    ) {
        let handover_ms = self.options.handover_ms;
        let silent = self.calls_where(|open| {
            let is_live = open
                .asked
                .as_ref()
                .and_then(|asked| members.get(asked))
                .is_some_and(|entry| entry.liveness == MemberLiveness::Live);
            !open.is_own && (!is_live || now.since(open.since) >= handover_ms)
        });
        for call in silent {
            self.commit_own(now, &call, outbox);
        }
    }

    /// Tells askers what came of their records.
    pub(super) fn tell_verdicts(
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
            match record.asker {
                RecordAsker::Own => self.finish(now, &call, outcome, record.in_doubt, outbox),
                // Silence makes the asker look for itself and, if it cannot, release the record.
                // A refusal would tell it that there is nothing to release.
                RecordAsker::Peer { .. } if record.in_doubt && is_unavailable(&outcome) => {}
                RecordAsker::Peer { router, address } => outbox.act(CoreAction::Peer {
                    to: router,
                    address,
                    message: PeerMessage::RecordReply { call, outcome },
                }),
            }
        }
    }

    /// Ends a call's wait, unless it has ended before.
    pub(super) fn finish(
        &mut self,
        now: ClockTime,
        call: &CallId,
        outcome: Result<(), CallRefusal>,
        in_doubt: bool,
        outbox: &mut CoreOutbox,
    ) {
        let Some(open) = self.open.remove(call) else {
            return;
        };
        // A router that was frozen may find an answer from long ago. By now the record may have
        // expired and its key been dispatched again by another call: the answer is not acted upon.
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
            Err(_) => self.give_up(now, call, open, in_doubt || is_late, outbox),
        }
        outbox.signal(CoreSignal::RecordDone {
            call: call.clone(),
            outcome,
        });
    }

    /// Sees to it that the record of a call that is not dispatched does not stay.
    pub(super) fn give_up(
        &mut self,
        now: ClockTime,
        call: &CallId,
        open: OpenRecord,
        in_doubt: bool,
        outbox: &mut CoreOutbox,
    ) {
        let shard = self.shard_of(&open.key);
        let is_written = self.committer(shard).drop_record(call);
        if in_doubt || is_written || open.asked.is_some() {
            self.release(now, call, &open.key, outbox);
        } else if open.was_asked {
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

    /// Makes durable that a call gave its key up.
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

    /// Leaves the platform alone and refuses the records that cannot wait for it.
    pub(super) fn pause(
        &mut self,
        now: ClockTime,
        shard: u32,
        pause: PlatformPause,
        verdicts: &mut Vec<RecordVerdict>,
        outbox: &mut CoreOutbox,
    ) {
        let backoff_ms = self.options.away_backoff_ms;
        match pause {
            PlatformPause::Unreachable => self.away.begin(now, backoff_ms, true),
            PlatformPause::Throttled(pause_ms) => self.away.begin(now, pause_ms, false),
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
        let away = self.away;
        let timeout_ms = self.options.record_timeout_ms;
        for committer in self.committers.values_mut() {
            let is_hopeless = |record: &WaitingRecord| away.is_hopeless(now, record, timeout_ms);
            committer.refuse_waiting(&refusal, is_hopeless, verdicts);
        }
    }

    /// Whether a new record cannot be had in time.
    pub(super) fn is_hopeless(&self, now: ClockTime, record: &WaitingRecord) -> bool {
        let timeout_ms = self.options.record_timeout_ms;
        self.away.is_hopeless(now, record, timeout_ms)
            || self
                .away
                .is_silent(now, timeout_ms, self.committers.values())
    }

    /// Whether no further call can be taken in.
    pub(super) fn is_crowded(&self) -> bool {
        let releases: usize = self
            .committers
            .values()
            .map(|committer| committer.releases.len())
            .sum();
        self.open.len() + releases >= self.options.max_open
    }

    /// The refusal of a call whose record cannot be made now.
    pub(super) fn unavailable(&self, now: ClockTime) -> CallRefusal {
        let pause_ms = self.away.pause_ms(now).max(self.options.away_backoff_ms);
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

    fn calls_where(&self, is_meant: impl Fn(&OpenRecord) -> bool) -> Vec<CallId> {
        self.open
            .iter()
            .filter(|(_, open)| is_meant(open))
            .map(|(call, _)| call.clone())
            .collect()
    }
}

fn is_unavailable(outcome: &Result<(), CallRefusal>) -> bool {
    matches!(outcome, Err(refusal) if refusal.reason == RefusalReason::RecordUnavailable)
}
