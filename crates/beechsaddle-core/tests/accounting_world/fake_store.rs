//! The `fake_store` module provides an in-memory object store in which the test applies every call.

use std::collections::BTreeMap;

use beechsaddle_core::accounting::{BudgetLedger, JournalSegment};
use beechsaddle_core::objects::PlatformObject;
use beechsaddle_core::platform::{PlatformCall, PlatformReply, StoredObject, WriteGuard};
use beechsaddle_core::prelude::*;

#[derive(Default)]
pub struct FakeStore {
    pub objects: BTreeMap<ObjectKey, (u64, PlatformObject)>,
    pub revision: u64,
    /// Every journal segment that was ever written, including deleted ones.
    pub segments: BTreeMap<ObjectKey, JournalSegment>,
    pub calls: u64,
}

impl FakeStore {
    pub fn apply(&mut self, call: PlatformCall) -> PlatformReply {
        self.calls += 1;
        match call {
            PlatformCall::Read { key } => match self.objects.get(&key) {
                Some((version, object)) => PlatformReply::Found(StoredObject {
                    key,
                    version: *version,
                    object: Some(Box::new(object.clone())),
                }),
                None => PlatformReply::Absent,
            },
            PlatformCall::Write { key, object, guard } => self.write(key, *object, guard),
            PlatformCall::Delete { key, version } => match self.objects.get(&key) {
                Some((stored, _)) if *stored == version => {
                    self.objects.remove(&key);
                    PlatformReply::Deleted
                }
                Some(_) => PlatformReply::Conflict,
                None => PlatformReply::Absent,
            },
            PlatformCall::List { prefix, after } => PlatformReply::Listed {
                objects: self
                    .objects
                    .iter()
                    .filter(|(key, _)| key.as_str().starts_with(prefix.as_str()))
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .take(1_000)
                    .map(|(key, (version, _))| StoredObject {
                        key: key.clone(),
                        version: *version,
                        object: None,
                    })
                    .collect(),
                revision: self.revision,
            },
            PlatformCall::Watch { .. } => PlatformReply::Invalid,
        }
    }

    fn write(
        &mut self,
        key: ObjectKey,
        object: PlatformObject,
        guard: WriteGuard,
    ) -> PlatformReply {
        let stored = self.objects.get(&key).map(|(version, _)| *version);
        let holds = match guard {
            WriteGuard::Absent => stored.is_none(),
            WriteGuard::Version(version) => stored == Some(version),
        };
        if !holds {
            return PlatformReply::Conflict;
        }
        if let PlatformObject::Segment(segment) = &object {
            self.segments.insert(key.clone(), segment.clone());
        }
        self.revision += 1;
        self.objects.insert(key, (self.revision, object));
        PlatformReply::Written {
            version: self.revision,
        }
    }

    pub fn ledger(&self, shard: u32) -> Option<&BudgetLedger> {
        match self.objects.get(&BudgetLedger::object_key(shard)) {
            Some((_, PlatformObject::Ledger(ledger))) => Some(ledger),
            _ => None,
        }
    }

    pub fn put_ledger(&mut self, shard: u32, ledger: BudgetLedger) {
        self.revision += 1;
        let object = PlatformObject::Ledger(ledger);
        self.objects
            .insert(BudgetLedger::object_key(shard), (self.revision, object));
    }
}
