//! The `shard_committer` module provides the group commit of one dedup shard.
//!
//! One platform call is in flight at a time. If two routers commit the same shard concurrently, the
//! version that each write names lets only one succeed; the other reads again and sees the records
//! of the first.

use std::collections::BTreeMap;

use super::DedupOptions;
use super::record_verdict::{RecordOrigin, RecordVerdict, WaitingRecord};
use super::shard_view::ShardView;
use crate::clock::ClockTime;
use crate::names::{CallId, ObjectKey, RequestKey, RouterIncarnation};
use crate::objects::PlatformObject;
use crate::platform::{PlatformCall, WriteGuard};
use crate::refusal::{CallRefusal, RefusalReason};

/// The inputs that a committer needs from its manager.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitContext<'a> {
    pub(super) now: ClockTime,
    pub(super) elapsed_ms: i64,
    pub(super) options: &'a DedupOptions,
    pub(super) me: &'a RouterIncarnation,
}

/// The waiting records and releases of one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardCommitter {
    object: ObjectKey,
    pub(super) view: ShardView,
    /// The sequence number of the last record that was queued before the view was known to be
    /// current; `None` when the shard has to be read again.
    pub(super) view_sequence: Option<u64>,
    pub(super) waiting: BTreeMap<CallId, WaitingRecord>,
    pub(super) releases: BTreeMap<CallId, RequestKey>,
    pub(super) in_flight: Option<CallInFlight>,
    pub(super) next_commit: ClockTime,
    writes: u64,
    /// The sequence number of the last record that was queued.
    last_sequence: u64,
}

/// The platform call that is in flight.
#[derive(Clone, Debug)]
pub(super) struct CallInFlight {
    pub(super) started: ClockTime,
    /// The sequence number of the last record that was queued before the call started.
    pub(super) last_sequence: u64,
    pub(super) step: CommitStep,
}

#[derive(Clone, Debug)]
pub(super) enum CommitStep {
    Read,
    Write {
        /// The view after the write.
        next: ShardView,
        /// The calls that take their keys with this write.
        records: Vec<CallId>,
        /// The calls that release their keys with this write.
        releases: Vec<CallId>,
    },
}

impl ShardCommitter {
    pub(super) fn new(shard: u32) -> Self {
        ShardCommitter {
            object: ObjectKey::new(format!("dedup/{shard}")),
            view: ShardView::default(),
            view_sequence: None,
            waiting: BTreeMap::new(),
            releases: BTreeMap::new(),
            in_flight: None,
            next_commit: ClockTime::ZERO,
            writes: 0,
            last_sequence: 0,
        }
    }

    /// Whether no record waits and no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none()
    }

    pub(super) fn in_flight_since(&self) -> Option<ClockTime> {
        self.in_flight.as_ref().map(|in_flight| in_flight.started)
    }

    pub(super) fn add_record(&mut self, call: CallId, mut record: WaitingRecord) {
        self.last_sequence += 1;
        record.sequence = self.last_sequence;
        self.waiting.entry(call).or_insert(record);
    }

    /// Stops waiting for a record. Returns whether a write with the record may still take effect.
    pub(super) fn drop_record(&mut self, call: &CallId) -> bool {
        let write_unknown = self
            .waiting
            .remove(call)
            .is_some_and(|record| record.write_unknown);
        write_unknown || self.is_writing(call)
    }

    pub(super) fn add_release(&mut self, call: CallId, key: RequestKey) {
        self.releases.insert(call, key);
    }

    /// Refuses every waiting record that matches `will_time_out`.
    pub(super) fn refuse_waiting(
        &mut self,
        refusal: &CallRefusal,
        will_time_out: impl Fn(&WaitingRecord) -> bool,
        verdicts: &mut Vec<RecordVerdict>,
    ) {
        let refused: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, record)| will_time_out(record))
            .map(|(call, _)| call.clone())
            .collect();
        for call in refused {
            let write_unknown = self.is_writing(&call);
            if let Some(mut record) = self.waiting.remove(&call) {
                record.write_unknown |= write_unknown;
                let outcome = Err(refusal.clone());
                verdicts.push(RecordVerdict {
                    call,
                    record,
                    outcome,
                });
            }
        }
    }

    /// Drops expired records of other routers. A router that was frozen runs this before it writes
    /// records that nobody waits for.
    fn drop_overdue(&mut self, context: &CommitContext<'_>) {
        let timeout_ms = context.options.record_timeout_ms;
        self.waiting.retain(|_, record| {
            record.origin == RecordOrigin::Own || context.now.since(record.since) <= timeout_ms
        });
    }

    /// Starts the next platform call if there is work and no call is in flight.
    pub(super) fn advance(
        &mut self,
        context: &CommitContext<'_>,
        verdicts: &mut Vec<RecordVerdict>,
    ) -> Option<PlatformCall> {
        self.drop_overdue(context);
        let has_work = !self.waiting.is_empty() || !self.releases.is_empty();
        if self.in_flight.is_some() || !has_work || context.now < self.next_commit {
            return None;
        }
        match self.view_sequence {
            None => Some(self.start_read(context.now)),
            Some(view_sequence) => self.prepare_commit(context, view_sequence, verdicts),
        }
    }

    fn start_read(&mut self, now: ClockTime) -> PlatformCall {
        self.in_flight = Some(CallInFlight {
            started: now,
            last_sequence: self.last_sequence,
            step: CommitStep::Read,
        });
        PlatformCall::Read {
            key: self.object.clone(),
        }
    }

    /// Decides every waiting record against the view, and writes the additions.
    fn prepare_commit(
        &mut self,
        context: &CommitContext<'_>,
        view_sequence: u64,
        verdicts: &mut Vec<RecordVerdict>,
    ) -> Option<PlatformCall> {
        self.view.expire(context.options, context.elapsed_ms);
        let mut next = self.view.clone();
        let mut records = Vec::new();
        let mut is_stale = false;
        let mut decided = Vec::new();
        for (call, record) in &self.waiting {
            match self.decide(context, &next, call, record) {
                RecordDecision::Reply(outcome) => {
                    // A view older than the request may lack a release, so a refusal is decided
                    // only after another read.
                    if outcome.is_err() && view_sequence < record.sequence {
                        is_stale = true;
                    } else {
                        decided.push((call.clone(), outcome));
                    }
                }
                RecordDecision::Take => {
                    next.take(&record.key, call, context.elapsed_ms);
                    records.push(call.clone());
                }
                RecordDecision::Wait => {}
            }
        }
        for (call, outcome) in decided {
            if let Some(record) = self.waiting.remove(&call) {
                verdicts.push(RecordVerdict {
                    call,
                    record,
                    outcome,
                });
            }
        }
        if is_stale {
            self.view_sequence = None;
            return Some(self.start_read(context.now));
        }
        let releases = self.prepare_releases(context, &mut next);
        if records.is_empty() && releases.is_empty() {
            return None;
        }
        Some(self.start_write(context, next, records, releases))
    }

    fn decide(
        &self,
        context: &CommitContext<'_>,
        next: &ShardView,
        call: &CallId,
        record: &WaitingRecord,
    ) -> RecordDecision {
        // The call released its key and was refused as not run. A late message must not restore the
        // record, since no second release would follow.
        if self.view.is_released(call) {
            return RecordDecision::Reply(Err(unavailable(context.options)));
        }
        match self.view.holder(&record.key) {
            Some(holder) if holder == call => RecordDecision::Reply(Ok(())),
            Some(holder) if self.releases.contains_key(holder) => RecordDecision::Wait,
            Some(_) => RecordDecision::Reply(Err(CallRefusal::unknown(
                RefusalReason::AlreadyDispatched,
                None,
            ))),
            // Another call of this batch takes the key. The outcome for this call is decided after
            // the write.
            None if next.holder(&record.key).is_some() => RecordDecision::Wait,
            None if next.is_full(context.options) => {
                RecordDecision::Reply(Err(unavailable(context.options)))
            }
            None => RecordDecision::Take,
        }
    }

    /// Adds the releases to the next view, also for calls without a record: a write that creates
    /// the record may still be in flight, and the release prevents it from being created later.
    fn prepare_releases(
        &mut self,
        context: &CommitContext<'_>,
        next: &mut ShardView,
    ) -> Vec<CallId> {
        let view = &self.view;
        self.releases.retain(|call, _| !view.is_released(call));
        let mut written = Vec::new();
        for (call, key) in &self.releases {
            if next.is_at_limit() {
                break;
            }
            next.release(key, call, context.elapsed_ms);
            written.push(call.clone());
        }
        written
    }

    fn start_write(
        &mut self,
        context: &CommitContext<'_>,
        next: ShardView,
        records: Vec<CallId>,
        releases: Vec<CallId>,
    ) -> PlatformCall {
        self.writes += 1;
        let write_id = format!("{}/{}", context.me, self.writes);
        let object = next.to_object(write_id, context.elapsed_ms);
        let guard = match self.view.version {
            Some(version) => WriteGuard::Version(version),
            None => WriteGuard::Absent,
        };
        self.next_commit = context.now.plus_ms(context.options.commit_period_ms);
        self.in_flight = Some(CallInFlight {
            started: context.now,
            last_sequence: self.last_sequence,
            step: CommitStep::Write {
                next,
                records,
                releases,
            },
        });
        PlatformCall::Write {
            key: self.object.clone(),
            object: Box::new(PlatformObject::Dedup(object)),
            guard,
        }
    }

    fn is_writing(&self, call: &CallId) -> bool {
        match self.in_flight.as_ref().map(|in_flight| &in_flight.step) {
            Some(CommitStep::Write { records, .. }) => records.contains(call),
            Some(CommitStep::Read) | None => false,
        }
    }
}

enum RecordDecision {
    Reply(Result<(), CallRefusal>),
    Take,
    Wait,
}

/// Returns the refusal for a call whose record cannot be made durable.
pub(super) fn unavailable(options: &DedupOptions) -> CallRefusal {
    let retry_after_ms = Some(options.unavailable_backoff_ms);
    CallRefusal::not_run(RefusalReason::RecordUnavailable, retry_after_ms)
}
