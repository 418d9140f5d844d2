//! The `stream_directory` module provides where streams began, and with it where they may be resumed.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::ClockTime;
use crate::names::{ServiceName, SoftwareVersion, StreamId};

/// How long the origin of a stream is kept, in milliseconds: longer than callers try to get a stream
/// to its end.
pub const ORIGIN_RETENTION_MS: u64 = 60_000;

/// Maximum number of origins, so that a burst of streams uses a few megabytes at most.
const MAX_ORIGINS: usize = 16_384;

/// The service and software version whose target sent the first event of a stream.
///
/// Events of different versions do not fit together, and targets do not check what they continue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    pub service: ServiceName,
    pub version: SoftwareVersion,
}

#[derive(Clone, Debug)]
struct OriginEntry {
    origin: StreamOrigin,
    recorded_at: ClockTime,
}

/// The origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamDirectory {
    entries: BTreeMap<StreamId, OriginEntry>,
    /// The streams in the order in which they were recorded; one that was recorded again is listed
    /// again.
    order: VecDeque<(ClockTime, StreamId)>,
}

impl StreamDirectory {
    /// Records where a stream began. The first record of a stream stays in force, as a stream has one
    /// origin; another one extends the time for which it is kept.
    pub fn record(&mut self, now: ClockTime, stream: StreamId, origin: StreamOrigin) {
        let entry = self.entries.entry(stream.clone()).or_insert(OriginEntry {
            origin,
            recorded_at: now,
        });
        entry.recorded_at = now;
        self.order.push_back((now, stream));
        self.expire(now);
    }

    /// Returns where a stream began, if that is known.
    pub fn find(&self, now: ClockTime, stream: &StreamId) -> Option<&StreamOrigin> {
        let entry = self.entries.get(stream)?;
        let is_kept = now.since(entry.recorded_at) < ORIGIN_RETENTION_MS;
        is_kept.then_some(&entry.origin)
    }

    /// Returns the number of streams whose origin is kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: ClockTime) {
        while let Some((recorded_at, stream)) = self.order.front() {
            let is_old = now.since(*recorded_at) >= ORIGIN_RETENTION_MS;
            if !is_old && self.order.len() <= MAX_ORIGINS {
                return;
            }
            let is_latest = self
                .entries
                .get(stream)
                .is_some_and(|entry| entry.recorded_at == *recorded_at);
            if is_latest {
                self.entries.remove(stream);
            }
            self.order.pop_front();
        }
    }
}
