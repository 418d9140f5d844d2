//! The `platform` module provides the calls on the platform's object API and their outcomes.

use serde::{Deserialize, Serialize};

use crate::names::ObjectKey;
use crate::objects::PlatformObject;

/// The part of the core that waits for a platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PlatformDuty {
    /// Budgets, grants and journals.
    Money,
    /// Dedup records.
    Once,
    /// The catalogue.
    Catalogue,
    /// The lists of hosts.
    Members,
    /// Orders to engines.
    Orders,
    /// The fleet's shard counts.
    Layout,
}

/// Names one platform call among those that a duty has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlatformTicket {
    /// Who waits.
    pub duty: PlatformDuty,
    /// Counts the calls of that duty.
    pub number: u64,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WriteGuard {
    /// Only when no object has this key.
    Absent,
    /// Only when the object's version is this one.
    Version(u64),
}

/// A call on the platform's object API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlatformCall {
    /// Reads one object.
    Read {
        /// Which.
        key: ObjectKey,
    },
    /// Writes one object conditionally.
    Write {
        /// Which.
        key: ObjectKey,
        /// The whole new value.
        object: Box<PlatformObject>,
        /// The condition.
        guard: WriteGuard,
    },
    /// Deletes one object at a version.
    Delete {
        /// Which.
        key: ObjectKey,
        /// The version that is deleted.
        version: u64,
    },
    /// Lists keys and versions under a prefix in key order, at most 1,000 a call.
    List {
        /// The prefix of the keys.
        prefix: ObjectKey,
        /// Keys after this one only.
        after: Option<ObjectKey>,
    },
    /// Waits until something under a prefix is newer than a revision, or about 30 s have passed.
    Watch {
        /// The prefix of the keys.
        prefix: ObjectKey,
        /// The platform revision that the caller has seen.
        after: u64,
    },
}

/// One object as read or listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Its key.
    pub key: ObjectKey,
    /// Its version: the platform's revision at its last write.
    pub version: u64,
    /// Its value; `None` in a list, or in a watch when the object was deleted.
    pub object: Option<Box<PlatformObject>>,
}

/// The outcome of a platform call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlatformReply {
    /// The object as it is now.
    Found(StoredObject),
    /// There is no such object.
    Absent,
    /// The write took effect and gave the object this version.
    Written {
        /// The new version.
        version: u64,
    },
    /// The delete took effect.
    Deleted,
    /// The condition did not hold; nothing was changed.
    Conflict,
    /// What a list found.
    Listed {
        /// Keys with versions; a full page of 1,000 means that there may be more.
        objects: Vec<StoredObject>,
        /// The platform's revision at the time of the list.
        revision: u64,
    },
    /// What a watch saw; empty after its waiting time.
    Changed {
        /// Changed and deleted objects, oldest first.
        objects: Vec<StoredObject>,
        /// The revision to watch after next.
        revision: u64,
    },
    /// The platform asks to come back later; nothing was changed.
    Throttled {
        /// After how many milliseconds.
        retry_after_ms: u64,
    },
    /// No connection: nothing was changed.
    Unreachable,
    /// The answer was lost: a write may have taken effect, now or still later.
    Unknown,
    /// The stored value cannot be decoded, or the call is malformed; retrying does not help.
    Invalid,
}
