//! The `call_facts` module provides what admission has to know of a call.

use crate::catalogue::{
    EntryClass, EntryId, EntryKind, EntryLimits, ModelEntry, ServiceEntry, WorkspaceEntry,
};
use crate::clock::ClockTime;
use crate::targets::ServiceLoad;

/// A call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct CallFacts<'a> {
    /// The workspace that calls.
    pub workspace: &'a WorkspaceEntry,
    /// The service that is called.
    pub service: &'a ServiceEntry,
    /// The model that is asked for, for engines.
    pub model: Option<&'a ModelEntry>,
    /// How early the call is shed.
    pub class: EntryClass,
    /// The largest number of tokens that it can use.
    pub tokens: u64,
    /// When the caller gives up.
    pub deadline: Option<ClockTime>,
    /// How busy the targets are that may serve it.
    pub load: ServiceLoad,
}

impl CallFacts<'_> {
    /// The entries that limit the call.
    pub fn limits(&self) -> Vec<(EntryId, EntryLimits)> {
        let mut limits = vec![
            (
                entry_id(EntryKind::Workspace, self.workspace.name.as_str()),
                self.workspace.header.limits,
            ),
            (
                entry_id(EntryKind::Service, self.service.name.as_str()),
                self.service.header.limits,
            ),
        ];
        if let Some(model) = self.model {
            let id = entry_id(EntryKind::Model, model.name.as_str());
            limits.push((id, model.header.limits));
        }
        limits.retain(|(_, limits)| *limits != EntryLimits::default());
        limits
    }
}

fn entry_id(kind: EntryKind, name: &str) -> EntryId {
    EntryId {
        kind,
        name: name.to_owned(),
    }
}
