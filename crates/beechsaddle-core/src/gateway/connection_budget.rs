//! The `connection_budget` module provides a limit on the connections of callers and on the memory that
//! they take together.
//!
//! What one connection may take, times the number of connections, is more memory than a small host has,
//! so the limits apply to the sum. Over them, the connections that matter least are evicted: none of them
//! has a request that may have reached a target.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::clock::ClockTime;

/// Memory of a connection that waits for a request, in bytes: its task, and buffers of earlier requests.
const CONNECTION_BYTES: usize = 16 * 1_024;

/// Further memory of a connection on which a request arrives, in bytes: what may wait unread. A new connection
/// counts as one, as its caller has sent a request, or is about to.
const ARRIVING_BYTES: usize = 24 * 1_024;

/// Further memory of a connection whose request runs, in bytes: the call, its connection to a target, and
/// the part of the response that is being sent.
const RUNNING_BYTES: usize = 56 * 1_024;

/// Further memory of a connection with a large receive window, in bytes.
const WIDE_WINDOW_BYTES: usize = 96 * 1_024;

/// Memory of an arriving head for each of its bytes: the buffer doubles when it grows.
const HEAD_BYTES_FACTOR: usize = 2;

/// Size of a part of a head that ends for the memory of others, in bytes: far more than usual ones have.
const LARGE_HEAD_BYTES: usize = 12 * 1_024;

/// Part of the memory that calls leave to connections without one, so that callers are accepted, and told when
/// to come back, while calls take all the rest.
const WAITING_PART: usize = 8;

/// How long a caller may read nothing of its response before its connection may be evicted, in
/// milliseconds: several retransmissions.
const STALL_MIN_MS: u64 = 1_000;

/// What all connections together may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionQuota {
    /// The maximum number of connections.
    pub connections: usize,
    /// The maximum of the memory that connections take, in bytes.
    pub bytes: usize,
}

/// Names a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// How far a connection is with its current request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// No byte of a first request has arrived.
    New,
    /// The last response was sent.
    Idle,
    /// So many bytes of a head have arrived.
    Head(usize),
    /// The head was read, and the body arrives.
    Body,
    /// The request was read, or is answered without being read.
    Running,
    /// The last response was sent, and what the caller still sends is discarded until it closes.
    Lingering,
}

/// What the budget knows of a connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    stage: ConnectionStage,
    /// When the stage began.
    since: ClockTime,
    /// Since when the caller has read nothing of a response.
    stalled_since: Option<ClockTime>,
    is_wide: bool,
    /// Whether the connection was told to end. Its memory does not count any more.
    is_evicted: bool,
}

/// The connections of callers, and those that have to end.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    quota: ConnectionQuota,
    next_id: u64,
    entries: BTreeMap<ConnectionId, ConnectionEntry>,
    /// The number of connections that are not evicted.
    open: usize,
    /// The memory of the connections that are not evicted, in bytes.
    used_bytes: usize,
    /// Connections that were evicted since they were last taken.
    evicted: Vec<ConnectionId>,
}

impl ConnectionEntry {
    fn bytes(&self) -> usize {
        let stage_bytes = match self.stage {
            ConnectionStage::Idle => 0,
            ConnectionStage::New | ConnectionStage::Lingering => ARRIVING_BYTES,
            ConnectionStage::Head(bytes) => ARRIVING_BYTES + bytes * HEAD_BYTES_FACTOR,
            ConnectionStage::Body | ConnectionStage::Running => RUNNING_BYTES,
        };
        let window_bytes = match self.is_wide {
            true => WIDE_WINDOW_BYTES,
            false => 0,
        };
        CONNECTION_BYTES + stage_bytes + window_bytes
    }

    /// Returns which connection is evicted first, the lowest rank first, or `None` if this one is not.
    ///
    /// A connection that has had a request is more likely to belong to an ordinary caller than one that has
    /// not, and a request that is arriving more likely than none.
    fn rank(&self, now: ClockTime) -> Option<u8> {
        match self.stage {
            _ if self.is_evicted => None,
            ConnectionStage::Lingering => Some(0),
            _ if self.stalled_since.is_some() => self.is_stalled(now).then_some(5),
            ConnectionStage::New => Some(1),
            ConnectionStage::Idle => Some(2),
            ConnectionStage::Head(_) => Some(3),
            ConnectionStage::Body => Some(4),
            ConnectionStage::Running => None,
        }
    }

    fn is_stalled(&self, now: ClockTime) -> bool {
        let stalled_since = self.stalled_since;
        stalled_since.is_some_and(|since| now.since(since) >= STALL_MIN_MS)
    }

    fn head_bytes(&self) -> usize {
        match self.stage {
            ConnectionStage::Head(bytes) if !self.is_evicted => bytes,
            _ => 0,
        }
    }
}

impl ConnectionBudget {
    /// Creates a budget without connections.
    pub fn new(quota: ConnectionQuota) -> Self {
        ConnectionBudget {
            quota,
            next_id: 0,
            entries: BTreeMap::new(),
            open: 0,
            used_bytes: 0,
            evicted: Vec::new(),
        }
    }

    /// Sets other limits, which apply from the next change of a connection on.
    pub fn set_quota(&mut self, quota: ConnectionQuota) {
        self.quota = quota;
    }

    /// Adds a connection that was accepted now; `None` if it has to be closed, as all others matter more.
    pub fn admit(&mut self, now: ClockTime) -> Option<ConnectionId> {
        while self.open >= self.quota.connections {
            self.evict_least(now, None)?;
        }
        let entry = ConnectionEntry {
            stage: ConnectionStage::New,
            since: now,
            stalled_since: None,
            is_wide: false,
            is_evicted: false,
        };
        while self.used_bytes.saturating_add(entry.bytes()) > self.quota.bytes {
            self.evict_for_bytes(now, None)?;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.used_bytes += entry.bytes();
        self.open += 1;
        self.entries.insert(id, entry);
        Some(id)
    }

    /// Records the stage of a connection. Others are evicted if it takes more memory than is left, or this
    /// one if it takes the most. One that was evicted while it waited for a request, and gets one, stays.
    pub fn set_stage(&mut self, id: ConnectionId, stage: ConnectionStage, now: ClockTime) {
        self.change(id, |entry| {
            let keeps_age = matches!(
                (entry.stage, stage),
                (ConnectionStage::Head(_), ConnectionStage::Head(_))
            );
            let begins = matches!(entry.stage, ConnectionStage::New | ConnectionStage::Idle)
                && entry.stage != stage;
            entry.is_evicted &= !begins;
            entry.stage = stage;
            entry.since = if keeps_age { entry.since } else { now };
        });
        while self.used_bytes > self.quota.bytes || self.open > self.quota.connections {
            if self.evict_for_bytes(now, None).is_none() {
                return;
            }
        }
    }

    /// Whether there is memory for a request that was not read yet. Idle connections are evicted for it.
    pub fn has_memory_for_call(&mut self, id: ConnectionId, now: ClockTime) -> bool {
        let own_bytes = self.entries.get(&id).map_or(0, ConnectionEntry::bytes);
        let call_bytes = CONNECTION_BYTES + RUNNING_BYTES;
        let added_bytes = call_bytes.saturating_sub(own_bytes);
        let limit_bytes = self.quota.bytes - self.quota.bytes / WAITING_PART;
        while self.used_bytes.saturating_add(added_bytes) > limit_bytes {
            if self.evict_for_bytes(now, Some(id)).is_none() {
                return false;
            }
        }
        !self.is_evicted(id)
    }

    /// Records since when the caller has read nothing of a response; `None` if it has read some.
    pub fn set_stalled(&mut self, id: ConnectionId, stalled_since: Option<ClockTime>) {
        self.change(id, |entry| entry.stalled_since = stalled_since);
    }

    /// Whether a connection may have a large receive window until its end. None is evicted for it.
    pub fn try_widen(&mut self, id: ConnectionId) -> bool {
        let is_free = !self.is_short();
        let is_narrow = self.entries.get(&id).is_some_and(|entry| !entry.is_wide);
        if !is_free || !is_narrow {
            return false;
        }
        self.change(id, |entry| entry.is_wide = true);
        true
    }

    /// Whether a connection has to end.
    pub fn is_evicted(&self, id: ConnectionId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.is_evicted)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.discount(&entry);
        }
    }

    /// Returns the connections that were evicted since the last time, which have to be woken.
    pub fn take_evicted(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.evicted)
    }

    /// Whether more than half of the memory is used.
    pub fn is_short(&self) -> bool {
        self.used_bytes > self.quota.bytes / 2
    }

    /// Returns the number of connections that are not evicted.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the memory of the connections that are not evicted, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn change(&mut self, id: ConnectionId, change: impl FnOnce(&mut ConnectionEntry)) {
        let Some(mut entry) = self.entries.get(&id).copied() else {
            return;
        };
        self.discount(&entry);
        change(&mut entry);
        if !entry.is_evicted {
            self.used_bytes += entry.bytes();
            self.open += 1;
        }
        self.entries.insert(id, entry);
    }

    fn discount(&mut self, entry: &ConnectionEntry) {
        if !entry.is_evicted {
            self.used_bytes -= entry.bytes();
            self.open -= 1;
        }
    }

    /// Evicts the connection that matters least, other than `kept`; `None` if there is none that may end.
    fn evict_least(&mut self, now: ClockTime, kept: Option<ConnectionId>) -> Option<()> {
        let others = self.entries.iter().filter(|(id, _)| Some(**id) != kept);
        let ranked = others.filter_map(|(id, entry)| {
            let rank = entry.rank(now)?;
            Some((rank, entry.since, *id))
        });
        let (_, _, id) = ranked.min()?;
        self.evict(id);
        Some(())
    }

    /// Evicts the connection with the largest part of a head if that is more than others take; otherwise
    /// the one that matters least. `kept` stays.
    fn evict_for_bytes(&mut self, now: ClockTime, kept: Option<ConnectionId>) -> Option<()> {
        let others = self.entries.iter().filter(|(id, _)| Some(**id) != kept);
        let largest = others.map(|(id, entry)| (entry.head_bytes(), Reverse(*id)));
        match largest.max() {
            Some((bytes, Reverse(id))) if bytes > LARGE_HEAD_BYTES => {
                self.evict(id);
                Some(())
            }
            _ => self.evict_least(now, kept),
        }
    }

    fn evict(&mut self, id: ConnectionId) {
        self.change(id, |entry| entry.is_evicted = true);
        self.evicted.push(id);
    }
}
