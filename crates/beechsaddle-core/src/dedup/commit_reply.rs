//! The `commit_reply` module provides the handling of platform replies by a shard's committer.

use super::record_verdict::RecordVerdict;
use super::shard_committer::{CommitContext, CommitStep, ShardCommitter};
use super::shard_view::ShardView;
use crate::clock::ClockTime;
use crate::names::CallId;
use crate::objects::PlatformObject;
use crate::platform::{PlatformReply, StoredObject};

/// Why no platform calls are made for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlatformPause {
    /// The platform cannot be reached.
    Unreachable,
    /// The platform asked to retry after this many milliseconds.
    Throttled(u64),
    /// The stored value cannot be used.
    Invalid,
}

/// The delay before a shard is read again after a lost reply, in milliseconds. A write that is
/// still in flight has usually arrived by then.
const REREAD_DELAY_MS: u64 = 20;

impl ShardCommitter {
    /// Handles the reply to the call in flight. Returns the reason if platform calls have to pause.
    pub(super) fn on_reply(
        &mut self,
        context: &CommitContext<'_>,
        reply: PlatformReply,
        verdicts: &mut Vec<RecordVerdict>,
    ) -> Option<PlatformPause> {
        let call = self.in_flight.take()?;
        match call.step {
            CommitStep::Read => self.on_read(context, call.started, call.last_sequence, reply),
            CommitStep::Write {
                next,
                records,
                releases,
            } => match reply {
                PlatformReply::Written { version } => {
                    self.view = next;
                    self.view.version = Some(version);
                    self.view_sequence = Some(call.last_sequence);
                    self.finish_write(records, releases, verdicts);
                    None
                }
                reply => self.on_write_failed(context, call.started, &records, reply),
            },
        }
    }

    fn on_read(
        &mut self,
        context: &CommitContext<'_>,
        started: ClockTime,
        last_sequence: u64,
        reply: PlatformReply,
    ) -> Option<PlatformPause> {
        match reply {
            PlatformReply::Found(StoredObject {
                version, object, ..
            }) => match object.map(|object| *object) {
                Some(PlatformObject::Dedup(shard)) => {
                    self.view.read_object(version, shard, context.elapsed_ms);
                    self.view_sequence = Some(last_sequence);
                    None
                }
                Some(_) | None => Some(PlatformPause::Invalid),
            },
            // Shards are never deleted. If one disappears, the record of what was dispatched is
            // lost, and an empty shard in its place would let keys run twice.
            PlatformReply::Absent if self.view.version.is_some() => Some(PlatformPause::Invalid),
            PlatformReply::Absent => {
                self.view = ShardView::default();
                self.view_sequence = Some(last_sequence);
                None
            }
            PlatformReply::Throttled { retry_after_ms } => {
                Some(PlatformPause::Throttled(retry_after_ms))
            }
            PlatformReply::Unreachable => Some(PlatformPause::Unreachable),
            PlatformReply::Unknown => self.on_lost_reply(context, started),
            PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Conflict
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. }
            | PlatformReply::Invalid => Some(PlatformPause::Invalid),
        }
    }

    /// Schedules another read after a lost reply, or reports the platform as unreachable if the
    /// call ran into the record timeout.
    fn on_lost_reply(
        &mut self,
        context: &CommitContext<'_>,
        started: ClockTime,
    ) -> Option<PlatformPause> {
        if context.now.since(started) >= context.options.record_timeout_ms {
            return Some(PlatformPause::Unreachable);
        }
        self.next_commit = context.now.plus_ms(REREAD_DELAY_MS);
        None
    }

    fn on_write_failed(
        &mut self,
        context: &CommitContext<'_>,
        started: ClockTime,
        records: &[CallId],
        reply: PlatformReply,
    ) -> Option<PlatformPause> {
        match reply {
            // Another router committed first. Its records are read before the write is repeated.
            PlatformReply::Conflict => {
                self.view_sequence = None;
                self.next_commit = context.now;
                None
            }
            PlatformReply::Throttled { retry_after_ms } => {
                Some(PlatformPause::Throttled(retry_after_ms))
            }
            PlatformReply::Unreachable => Some(PlatformPause::Unreachable),
            PlatformReply::Invalid => Some(PlatformPause::Invalid),
            // The write may have taken effect, or may still do so. The next read shows which; the
            // following write names the version read, so that only one of the two takes effect.
            PlatformReply::Unknown
            | PlatformReply::Found(_)
            | PlatformReply::Absent
            | PlatformReply::Written { .. }
            | PlatformReply::Deleted
            | PlatformReply::Listed { .. }
            | PlatformReply::Changed { .. } => {
                self.view_sequence = None;
                for call in records {
                    if let Some(record) = self.waiting.get_mut(call) {
                        record.write_unknown = true;
                    }
                }
                self.on_lost_reply(context, started)
            }
        }
    }

    fn finish_write(
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
