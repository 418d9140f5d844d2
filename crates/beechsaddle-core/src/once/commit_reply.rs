//! The `commit_reply` module provides what a shard's committer makes of the platform's answers.

use super::record_verdict::RecordVerdict;
use super::shard_committer::{CommitScene, CommitStep, ShardCommitter};
use super::shard_view::ShardView;
use crate::clock::ClockTime;
use crate::names::CallId;
use crate::objects::PlatformObject;
use crate::platform::{PlatformReply, StoredObject};

/// Why the platform is left alone for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlatformPause {
    /// It cannot be reached.
    Unreachable,
    /// It asked to come back after so many milliseconds.
    Throttled(u64),
    /// What it holds cannot be used.
    Invalid,
}

/// How long to wait after a lost answer before the shard is read again, in milliseconds: a write
/// that is still on its way has most often arrived by then.
const REREAD_MS: u64 = 20;

impl ShardCommitter {
    /// Takes in the answer to the call in flight. Tells why the platform has to be left alone, if
    /// it has to.
    pub(super) fn on_reply(
        &mut self,
        scene: &CommitScene<'_>,
        reply: PlatformReply,
        verdicts: &mut Vec<RecordVerdict>,
    ) -> Option<PlatformPause> {
        let flight = self.flight.take()?;
        match flight.step {
            CommitStep::Read => self.on_read(scene, flight.started, flight.questions, reply),
            CommitStep::Write {
                next,
                records,
                releases,
            } => match reply {
                PlatformReply::Written { version } => {
                    self.view = next;
                    self.view.version = Some(version);
                    self.fresh = Some(flight.questions);
                    self.settle_written(records, releases, verdicts);
                    None
                }
                reply => self.on_write_failed(scene, flight.started, &records, reply),
            },
        }
    }

    fn on_read(
        &mut self,
        scene: &CommitScene<'_>,
        started: ClockTime,
        questions: u64,
        reply: PlatformReply,
    ) -> Option<PlatformPause> {
        match reply {
            PlatformReply::Found(StoredObject {
                version, object, ..
            }) => match object.map(|object| *object) {
                Some(PlatformObject::Dedup(shard)) => {
                    self.view.read_object(version, shard, scene.watched_ms);
                    self.fresh = Some(questions);
                    None
                }
                Some(_) | None => Some(PlatformPause::Invalid),
            },
            // Shards are never deleted. One that was there and is gone has been lost, and with it
            // the knowledge of what was dispatched: starting it anew would let keys run twice.
            PlatformReply::Absent if self.view.version.is_some() => Some(PlatformPause::Invalid),
            PlatformReply::Absent => {
                self.view = ShardView::default();
                self.fresh = Some(questions);
                None
            }
            PlatformReply::Throttled { retry_after_ms } => {
                Some(PlatformPause::Throttled(retry_after_ms))
            }
            PlatformReply::Unreachable => Some(PlatformPause::Unreachable),
            PlatformReply::Unknown => self.after_silence(scene, started),
            PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Conflict
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Invalid => Some(PlatformPause::Invalid),
        }
    }

    /// After a lost answer the shard is read again soon, unless it took so long to give the answer
    /// up that the platform must be taken for away.
    fn after_silence(
        &mut self,
        scene: &CommitScene<'_>,
        started: ClockTime,
    ) -> Option<PlatformPause> {
        if scene.now.since(started) >= scene.options.record_timeout_ms {
            return Some(PlatformPause::Unreachable);
        }
        self.next_commit = scene.now.plus_ms(REREAD_MS);
        None
    }

    fn on_write_failed(
        &mut self,
        scene: &CommitScene<'_>,
        started: ClockTime,
        records: &[CallId],
        reply: PlatformReply,
    ) -> Option<PlatformPause> {
        match reply {
            // Another router committed first. Its records are read before anything is repeated.
            PlatformReply::Conflict => {
                self.fresh = None;
                self.next_commit = scene.now;
                None
            }
            PlatformReply::Throttled { retry_after_ms } => {
                Some(PlatformPause::Throttled(retry_after_ms))
            }
            PlatformReply::Unreachable => Some(PlatformPause::Unreachable),
            PlatformReply::Invalid => Some(PlatformPause::Invalid),
            // The write may have taken effect, or may still do so. What is read next tells; a write
            // after that names the version read, so that of the two only one takes effect.
            PlatformReply::Unknown
            | PlatformReply::Found(_)
            | PlatformReply::Absent
            | PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. } => {
                self.fresh = None;
                for call in records {
                    if let Some(record) = self.waiting.get_mut(call) {
                        record.in_doubt = true;
                    }
                }
                self.after_silence(scene, started)
            }
        }
    }

    fn settle_written(
        &mut self,
        records: Vec<CallId>,
        releases: Vec<CallId>,
        verdicts: &mut Vec<RecordVerdict>,
    ) {
        for call in records {
            if let Some(record) = self.waiting.remove(&call) {
                let outcome = Ok(());
                verdicts.push(RecordVerdict {
                    call,
                    record,
                    outcome,
                });
            }
        }
        for call in releases {
            self.releases.remove(&call);
        }
    }
}
