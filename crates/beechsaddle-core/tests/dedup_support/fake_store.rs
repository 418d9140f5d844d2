//! The `fake_store` module provides a small object store with versions and conditional writes.

use std::collections::BTreeMap;

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject, WriteGuard};
use beechsaddle_core::prelude::*;

/// Objects, each with the revision at its last write.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    revision: u64,
    objects: BTreeMap<ObjectKey, (u64, PlatformObject)>,
}

impl FakeStore {
    /// Carries out a call.
    pub fn apply(&mut self, call: &PlatformCall) -> PlatformReply {
        match call {
            PlatformCall::Read { key } => match self.objects.get(key) {
                Some((version, object)) => PlatformReply::Found(StoredObject {
                    key: key.clone(),
                    version: *version,
                    object: Some(Box::new(object.clone())),
                }),
                None => PlatformReply::Absent,
            },
            PlatformCall::Write { key, object, guard } => self.write(key, object, *guard),
            PlatformCall::Delete { .. }
            | PlatformCall::List { .. }
            | PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    pub fn get(&self, key: &str) -> Option<&PlatformObject> {
        self.objects.get(key).map(|(_, object)| object)
    }

    /// Removes the object at `key`, as a fault.
    pub fn lose_object(&mut self, key: &str) {
        self.objects.remove(key);
    }

    fn write(
        &mut self,
        key: &ObjectKey,
        object: &PlatformObject,
        guard: WriteGuard,
    ) -> PlatformReply {
        let version = self.objects.get(key).map(|(version, _)| *version);
        let holds = match guard {
            WriteGuard::Absent => version.is_none(),
            WriteGuard::Version(expected) => version == Some(expected),
        };
        if !holds {
            return PlatformReply::Conflict;
        }
        self.revision += 1;
        self.objects
            .insert(key.clone(), (self.revision, object.clone()));
        PlatformReply::Written {
            version: self.revision,
        }
    }
}
