//! The `object_store` module provides calls on the platform that outlast short failures.

use std::future::Future;
use std::time::Duration;

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, WriteGuard};
use beechsaddle_core::prelude::*;

use super::{OperatorError, Result};

/// The edge to the platform's object API.
pub trait ObjectStore {
    /// Makes one call; it ends in exactly one reply.
    fn call(&self, call: &PlatformCall) -> impl Future<Output = PlatformReply>;
}

/// How often a call is tried before the platform counts as away.
const TRIES: u32 = 6;

/// The waiting time after the first failure, in milliseconds; it doubles after each.
const FIRST_WAIT_MS: u64 = 100;

/// The longest waiting time that the platform may ask for, in milliseconds.
const LONGEST_WAIT_MS: u64 = 5_000;

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written,
    /// Its condition did not hold.
    Conflict,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// An object with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedObject {
    /// Its version.
    pub version: u64,
    /// Its value.
    pub object: PlatformObject,
}

/// Calls the platform and tries again where that is harmless.
#[derive(Clone, Copy, Debug)]
pub struct StoreCaller<'a, S> {
    store: &'a S,
}

impl<'a, S: ObjectStore> StoreCaller<'a, S> {
    /// Calls through `store`.
    pub fn new(store: &'a S) -> Self {
        StoreCaller { store }
    }

    /// Reads an object; `None` when there is none.
    pub async fn read(&self, key: &ObjectKey) -> Result<Option<VersionedObject>> {
        let call = PlatformCall::Read { key: key.clone() };
        for attempt in 0..TRIES {
            match self.store.call(&call).await {
                PlatformReply::Found(stored) => {
                    let version = stored.version;
                    let object = stored
                        .object
                        .ok_or_else(|| OperatorError::Corrupt(key.clone()))?;
                    return Ok(Some(VersionedObject {
                        version,
                        object: *object,
                    }));
                }
                PlatformReply::Absent => return Ok(None),
                PlatformReply::Invalid => return Err(OperatorError::Corrupt(key.clone())),
                reply => wait(attempt, &reply).await,
            }
        }
        Err(OperatorError::PlatformAway(key.clone()))
    }

    /// Lists all keys under a prefix.
    pub async fn list(&self, prefix: impl Into<ObjectKey>) -> Result<Vec<ObjectKey>> {
        let prefix = prefix.into();
        let mut keys: Vec<ObjectKey> = Vec::new();
        loop {
            let page = self.list_page(&prefix, keys.last().cloned()).await?;
            if page.is_empty() {
                return Ok(keys);
            }
            keys.extend(page);
        }
    }

    /// Writes an object conditionally. Only a write that surely changed nothing is tried again.
    pub async fn write(
        &self,
        key: &ObjectKey,
        object: PlatformObject,
        guard: WriteGuard,
    ) -> Result<WriteOutcome> {
        let call = PlatformCall::Write {
            key: key.clone(),
            object: Box::new(object),
            guard,
        };
        for attempt in 0..TRIES {
            match self.store.call(&call).await {
                PlatformReply::Written { .. } => return Ok(WriteOutcome::Written),
                PlatformReply::Conflict => return Ok(WriteOutcome::Conflict),
                PlatformReply::Invalid => return Err(OperatorError::Corrupt(key.clone())),
                reply @ (PlatformReply::Throttled { .. } | PlatformReply::Unreachable) => {
                    wait(attempt, &reply).await;
                }
                PlatformReply::Unknown
                | PlatformReply::Found(_)
                | PlatformReply::Absent
                | PlatformReply::Deleted
                | PlatformReply::Listed { .. }
                | PlatformReply::Changed { .. } => return Ok(WriteOutcome::Unknown),
            }
        }
        Err(OperatorError::PlatformAway(key.clone()))
    }

    async fn list_page(
        &self,
        prefix: &ObjectKey,
        after: Option<ObjectKey>,
    ) -> Result<Vec<ObjectKey>> {
        let call = PlatformCall::List {
            prefix: prefix.clone(),
            after,
        };
        for attempt in 0..TRIES {
            match self.store.call(&call).await {
                PlatformReply::Listed { objects, .. } => {
                    return Ok(objects.into_iter().map(|stored| stored.key).collect());
                }
                PlatformReply::Invalid => return Err(OperatorError::Corrupt(prefix.clone())),
                reply => wait(attempt, &reply).await,
            }
        }
        Err(OperatorError::PlatformAway(prefix.clone()))
    }
}

async fn wait(attempt: u32, reply: &PlatformReply) {
    let waiting_ms = match reply {
        PlatformReply::Throttled { retry_after_ms } => (*retry_after_ms).min(LONGEST_WAIT_MS),
        _ => FIRST_WAIT_MS << attempt,
    };
    if attempt + 1 < TRIES {
        tokio::time::sleep(Duration::from_millis(waiting_ms)).await;
    }
}
