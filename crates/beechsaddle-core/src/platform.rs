//! The `platform` module provides the calls on the platform's object API and their outcomes.

use serde::{Deserialize, Serialize};

use crate::names::ObjectKey;
use crate::objects::PlatformObject;

/// The part of the core that makes a platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PlatformDuty {
    /// Budgets, grants and journals.
    Money,
    /// Dedup records.
    Once,
    /// The catalogue.
    Catalogue,
    /// The host lists.
    Members,
    /// Orders to engines.
    Orders,
    /// The fleet's shard counts.
    Layout,
}

/// Identifies one platform call among the calls in flight of one part of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PlatformTicket {
    /// The part of the core that made the call.
    pub duty: PlatformDuty,
    /// Counts the calls of that part.
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
    Read { key: ObjectKey },
    /// Writes one object conditionally.
    Write {
        key: ObjectKey,
        /// The whole new value.
        object: Box<PlatformObject>,
        guard: WriteGuard,
    },
    /// Deletes one object at a version.
    Delete {
        key: ObjectKey,
        /// The version that is deleted.
        version: u64,
    },
    /// Lists keys and versions under a prefix in key order, at most 1,000 per call.
    List {
        prefix: ObjectKey,
        /// Lists only keys after this one.
        after: Option<ObjectKey>,
    },
    /// Waits until something under a prefix is newer than a revision, or about 30 s have passed.
    Watch {
        prefix: ObjectKey,
        /// The last platform revision that the caller has seen.
        after: u64,
    },
}

/// An object as read or listed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    pub key: ObjectKey,
    /// The version: the platform's revision at the last write.
    pub version: u64,
    /// The value; `None` in a list, or in a watch when the object was deleted.
    pub object: Option<Box<PlatformObject>>,
}

/// The outcome of a platform call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlatformReply {
    /// The current object.
    Found(StoredObject),
    /// The object does not exist.
    Absent,
    /// The write took effect and gave the object this version.
    Written { version: u64 },
    /// The delete took effect.
    Deleted,
    /// The condition did not hold; nothing was changed.
    Conflict,
    /// The result of a list.
    Listed {
        /// Keys with versions; a full page of 1,000 means that there may be more.
        objects: Vec<StoredObject>,
        /// The platform's revision at the time of the list.
        revision: u64,
    },
    /// The result of a watch; empty after its maximum wait.
    Changed {
        /// Changed and deleted objects, oldest first.
        objects: Vec<StoredObject>,
        /// The revision for the next watch.
        revision: u64,
    },
    /// The platform asks for a later retry; nothing was changed.
    Throttled {
        /// The delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No connection was established; nothing was changed.
    Unreachable,
    /// The reply was lost: a write may have taken effect, or may do so later.
    Unknown,
    /// The stored value cannot be decoded, or the call is malformed; a retry does not help.
    Invalid,
}
