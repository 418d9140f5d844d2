//! The `shard_committer` module provides the group commit of one dedup shard.
//!
//! One call on the platform is in flight at a time. Two routers that commit the same shard at once
//! are kept apart by the version that each write names: one of them reads again and finds what the
//! other wrote.

use std::collections::BTreeMap;

use super::OnceOptions;
use super::record_verdict::{RecordAsker, RecordVerdict, WaitingRecord};
use super::shard_view::ShardView;
use crate::clock::ClockTime;
use crate::names::{CallId, ObjectKey, RequestKey, RouterIncarnation};
use crate::objects::PlatformObject;
use crate::platform::{PlatformCall, WriteGuard};
use crate::refusal::{CallRefusal, RefusalReason};

/// What a committer has to know of its desk.
#[derive(Clone, Copy, Debug)]
pub(super) struct CommitScene<'a> {
    pub(super) now: ClockTime,
    pub(super) watched_ms: i64,
    pub(super) options: &'a OnceOptions,
    pub(super) me: &'a RouterIncarnation,
}

/// The waiting records and releases of one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardCommitter {
    object: ObjectKey,
    pub(super) view: ShardView,
    /// How many questions had been put when the view was last known to be the newest; `None` when
    /// it has to be read again.
    pub(super) fresh: Option<u64>,
    pub(super) waiting: BTreeMap<CallId, WaitingRecord>,
    pub(super) releases: BTreeMap<CallId, RequestKey>,
    pub(super) flight: Option<CommitFlight>,
    pub(super) next_commit: ClockTime,
    writes: u64,
    /// Counts the records that were put into the queue.
    questions: u64,
}

/// The call on the platform that is in flight.
#[derive(Clone, Debug)]
pub(super) struct CommitFlight {
    pub(super) started: ClockTime,
    /// How many questions had been put when it started.
    pub(super) questions: u64,
    pub(super) step: CommitStep,
}

#[derive(Clone, Debug)]
pub(super) enum CommitStep {
    Read,
    Write {
        /// The view once the write has taken effect.
        next: ShardView,
        /// The calls that it gives their keys.
        records: Vec<CallId>,
        /// The calls whose keys it gives up.
        releases: Vec<CallId>,
    },
}

impl ShardCommitter {
    pub(super) fn new(shard: u32) -> Self {
        ShardCommitter {
            object: ObjectKey::new(format!("dedup/{shard}")),
            view: ShardView::default(),
            fresh: None,
            waiting: BTreeMap::new(),
            releases: BTreeMap::new(),
            flight: None,
            next_commit: ClockTime::ZERO,
            writes: 0,
            questions: 0,
        }
    }

    /// Whether nobody waits for a record and no call is in flight.
    pub(super) fn is_quiet(&self) -> bool {
        self.waiting.is_empty() && self.flight.is_none()
    }

    /// When the call in flight was started.
    pub(super) fn flight_started(&self) -> Option<ClockTime> {
        self.flight.as_ref().map(|flight| flight.started)
    }

    pub(super) fn add_record(&mut self, call: CallId, mut record: WaitingRecord) {
        self.questions += 1;
        record.question = self.questions;
        self.waiting.entry(call).or_insert(record);
    }

    /// Stops waiting for a record. Tells whether a write that holds it may still take effect.
    pub(super) fn drop_record(&mut self, call: &CallId) -> bool {
        let in_doubt = self
            .waiting
            .remove(call)
            .is_some_and(|record| record.in_doubt);
        in_doubt || self.is_writing(call)
    }

    pub(super) fn add_release(&mut self, call: CallId, key: RequestKey) {
        self.releases.insert(call, key);
    }

    /// Takes out every waiting record for which `is_hopeless` says so, refused.
    pub(super) fn refuse_waiting(
        &mut self,
        refusal: &CallRefusal,
        is_hopeless: impl Fn(&WaitingRecord) -> bool,
        verdicts: &mut Vec<RecordVerdict>,
    ) {
        let hopeless: Vec<CallId> = self
            .waiting
            .iter()
            .filter(|(_, record)| is_hopeless(record))
            .map(|(call, _)| call.clone())
            .collect();
        for call in hopeless {
            let in_doubt = self.is_writing(&call);
            if let Some(mut record) = self.waiting.remove(&call) {
                record.in_doubt |= in_doubt;
                let outcome = Err(refusal.clone());
                verdicts.push(RecordVerdict {
                    call,
                    record,
                    outcome,
                });
            }
        }
    }

    /// Forgets records that nobody waits for any more. A router that was frozen comes here first,
    /// before it writes anything that its askers have given up on.
    fn drop_overdue(&mut self, scene: &CommitScene<'_>) {
        let timeout_ms = scene.options.record_timeout_ms;
        self.waiting.retain(|_, record| {
            record.asker == RecordAsker::Own || scene.now.since(record.since) <= timeout_ms
        });
    }

    /// Starts the next call on the platform, if there is something to do and none is in flight.
    pub(super) fn advance(
        &mut self,
        scene: &CommitScene<'_>,
        verdicts: &mut Vec<RecordVerdict>,
    ) -> Option<PlatformCall> {
        self.drop_overdue(scene);
        let has_work = !self.waiting.is_empty() || !self.releases.is_empty();
        if self.flight.is_some() || !has_work || scene.now < self.next_commit {
            return None;
        }
        match self.fresh {
            None => Some(self.start_read(scene.now)),
            Some(fresh) => self.draft(scene, fresh, verdicts),
        }
    }

    fn start_read(&mut self, now: ClockTime) -> PlatformCall {
        self.flight = Some(CommitFlight {
            started: now,
            questions: self.questions,
            step: CommitStep::Read,
        });
        PlatformCall::Read {
            key: self.object.clone(),
        }
    }

    /// Decides every waiting record by the view, and writes what has to be added.
    fn draft(
        &mut self,
        scene: &CommitScene<'_>,
        fresh: u64,
        verdicts: &mut Vec<RecordVerdict>,
    ) -> Option<PlatformCall> {
        self.view.expire(scene.options, scene.watched_ms);
        let mut next = self.view.clone();
        let mut records = Vec::new();
        let mut is_stale = false;
        let mut decided = Vec::new();
        for (call, record) in &self.waiting {
            match self.judge(scene, &next, call, record) {
                RecordStep::Decide(outcome) => {
                    // A refusal by a view that is older than the question may be out of date: the
                    // other call may have given the key up. It is decided after another read.
                    if outcome.is_err() && fresh < record.question {
                        is_stale = true;
                    } else {
                        decided.push((call.clone(), outcome));
                    }
                }
                RecordStep::Take => {
                    next.take(&record.key, call, scene.watched_ms);
                    records.push(call.clone());
                }
                RecordStep::Wait => {}
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
            self.fresh = None;
            return Some(self.start_read(scene.now));
        }
        let releases = self.draft_releases(scene, &mut next);
        if records.is_empty() && releases.is_empty() {
            return None;
        }
        Some(self.start_write(scene, next, records, releases))
    }

    fn judge(
        &self,
        scene: &CommitScene<'_>,
        next: &ShardView,
        call: &CallId,
        record: &WaitingRecord,
    ) -> RecordStep {
        // The call gave the key up and its caller was told "not run". A message that was late must
        // not bring the record back, for nobody would release it a second time.
        if self.view.is_released(call) {
            return RecordStep::Decide(Err(unavailable(scene.options)));
        }
        match self.view.holder(&record.key) {
            Some(holder) if holder == call => RecordStep::Decide(Ok(())),
            Some(holder) if self.releases.contains_key(holder) => RecordStep::Wait,
            Some(_) => RecordStep::Decide(Err(CallRefusal::unknown(
                RefusalReason::AlreadyDispatched,
                None,
            ))),
            // Another call of this batch has taken the key just now. This one is told what came of
            // that when the write is done, not on the strength of a plan.
            None if next.holder(&record.key).is_some() => RecordStep::Wait,
            None if next.is_full(scene.options) => {
                RecordStep::Decide(Err(unavailable(scene.options)))
            }
            None => RecordStep::Take,
        }
    }

    /// Adds the releases to the next view, also of calls for which no record is found: a write that
    /// makes it may still be on its way, and whoever looks again finds that it must not be made.
    fn draft_releases(&mut self, scene: &CommitScene<'_>, next: &mut ShardView) -> Vec<CallId> {
        let view = &self.view;
        self.releases.retain(|call, _| !view.is_released(call));
        let mut written = Vec::new();
        for (call, key) in &self.releases {
            if next.is_at_limit() {
                break;
            }
            next.release(key, call, scene.watched_ms);
            written.push(call.clone());
        }
        written
    }

    fn start_write(
        &mut self,
        scene: &CommitScene<'_>,
        next: ShardView,
        records: Vec<CallId>,
        releases: Vec<CallId>,
    ) -> PlatformCall {
        self.writes += 1;
        let write_id = format!("{}/{}", scene.me, self.writes);
        let object = next.to_object(write_id, scene.watched_ms);
        let guard = match self.view.version {
            Some(version) => WriteGuard::Version(version),
            None => WriteGuard::Absent,
        };
        self.next_commit = scene.now.plus_ms(scene.options.commit_period_ms);
        self.flight = Some(CommitFlight {
            started: scene.now,
            questions: self.questions,
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
        match self.flight.as_ref().map(|flight| &flight.step) {
            Some(CommitStep::Write { records, .. }) => records.contains(call),
            Some(CommitStep::Read) | None => false,
        }
    }
}

enum RecordStep {
    Decide(Result<(), CallRefusal>),
    Take,
    Wait,
}

/// The refusal of a call whose record cannot be made.
pub(super) fn unavailable(options: &OnceOptions) -> CallRefusal {
    let retry_after_ms = Some(options.away_backoff_ms);
    CallRefusal::not_run(RefusalReason::RecordUnavailable, retry_after_ms)
}
