//! The `model_store` module provides the simulated platform of the grant model.

use std::collections::BTreeMap;

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject, WriteGuard};
use beechsaddle_core::prelude::*;

/// An in-memory object store that counts calls.
#[derive(Debug, Default)]
pub struct ModelStore {
    objects: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    revision: u64,
    /// Number of reads.
    pub reads: u64,
    /// Number of writes, deletes and lists.
    pub writes: u64,
}

impl ModelStore {
    /// Returns the object of a key.
    pub fn get(&self, key: &ObjectKey) -> Option<&PlatformObject> {
        self.objects.get(key).map(|(_, object)| object)
    }

    /// Writes an object unconditionally.
    pub fn put(&mut self, key: ObjectKey, object: PlatformObject) {
        self.revision += 1;
        self.objects.insert(key, (self.revision, object));
    }

    /// Executes a call and returns its reply.
    pub fn apply(&mut self, call: PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read { key } => self.read(key),
            PlatformCall::Write { key, object, guard } => self.write(key, *object, guard),
            PlatformCall::Delete { key, .. } => {
                self.writes += 1;
                self.objects.remove(&key);
                PlatformReply::Deleted
            }
            PlatformCall::List { prefix, after } => self.list(&prefix, after.as_ref()),
            PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    fn read(&mut self, key: ObjectKey) -> PlatformReply {
        self.reads += 1;
        match self.objects.get(&key) {
            Some((version, object)) => PlatformReply::Found(StoredObject {
                key,
                version: *version,
                object: Some(Box::new(object.clone())),
            }),
            None => PlatformReply::Absent,
        }
    }

    fn write(
        &mut self,
        key: ObjectKey,
        object: PlatformObject,
        guard: WriteGuard,
    ) -> PlatformReply {
        self.writes += 1;
        let stored = self.objects.get(&key).map(|(version, _)| *version);
        let holds = match guard {
            WriteGuard::Absent => stored.is_none(),
            WriteGuard::Version(version) => stored == Some(version),
        };
        if !holds {
            return PlatformReply::Conflict;
        }
        self.put(key, object);
        PlatformReply::Written {
            version: self.revision,
        }
    }

    fn list(&mut self, prefix: &ObjectKey, after: Option<&ObjectKey>) -> PlatformReply {
        self.writes += 1;
        let objects = self
            .objects
            .iter()
            .filter(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .filter(|(key, _)| after.is_none_or(|after| *key > after))
            .map(|(key, (version, _))| StoredObject {
                key: key.clone(),
                version: *version,
                object: None,
            })
            .collect();
        PlatformReply::Listed {
            objects,
            revision: self.revision,
        }
    }
}
