//! The `object_store` module provides platform calls with retries.

use std::future::Future;
use std::time::Duration;

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, WriteGuard};
use beechsaddle_core::prelude::*;

use super::{OperatorError, Result};

/// Access to the platform's object API.
pub trait ObjectStore {
    /// Makes one call, which ends in exactly one reply.
    fn call(&self, call: &PlatformCall) -> impl Future<Output = PlatformReply>;
}

/// The number of attempts before the platform counts as unreachable.
const ATTEMPTS_MAX: u32 = 6;

/// The delay after the first failure, in milliseconds. It doubles after each further one.
const FIRST_DELAY_MS: u64 = 100;

/// The longest delay that the platform may request, in milliseconds.
const DELAY_MAX_MS: u64 = 5_000;

/// The outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    Written,
    /// The write's condition did not hold.
    Conflict,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// An object and its version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedObject {
    pub version: u64,
    pub object: PlatformObject,
}

/// Calls the platform and retries calls that can be repeated safely.
#[derive(Clone, Copy, Debug)]
pub struct StoreCaller<'a, S> {
    store: &'a S,
}

impl<'a, S: ObjectStore> StoreCaller<'a, S> {
    pub fn new(store: &'a S) -> Self {
        StoreCaller { store }
    }

    /// Reads an object, `None` if there is none.
    pub async fn read(&self, key: &ObjectKey) -> Result<Option<VersionedObject>> {
        let call = PlatformCall::Read { key: key.clone() };
        for attempt in 0..ATTEMPTS_MAX {
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
        Err(OperatorError::PlatformUnreachable(key.clone()))
    }

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

    /// Writes an object conditionally. Only a write that certainly changed nothing is retried.
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
        for attempt in 0..ATTEMPTS_MAX {
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
        Err(OperatorError::PlatformUnreachable(key.clone()))
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
        for attempt in 0..ATTEMPTS_MAX {
            match self.store.call(&call).await {
                PlatformReply::Listed { objects, .. } => {
                    return Ok(objects.into_iter().map(|stored| stored.key).collect());
                }
                PlatformReply::Invalid => return Err(OperatorError::Corrupt(prefix.clone())),
                reply => wait(attempt, &reply).await,
            }
        }
        Err(OperatorError::PlatformUnreachable(prefix.clone()))
    }
}

async fn wait(attempt: u32, reply: &PlatformReply) {
    let delay_ms = match reply {
        PlatformReply::Throttled { retry_after_ms } => (*retry_after_ms).min(DELAY_MAX_MS),
        _ => FIRST_DELAY_MS << attempt,
    };
    if attempt + 1 < ATTEMPTS_MAX {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}
