//! The `admission_input` module provides the input of the admission decision.

use crate::catalogue::{
    EntryClass, EntryId, EntryKind, EntryLimits, ModelEntry, ServiceEntry, WorkspaceEntry,
};
use crate::clock::ClockTime;
use crate::targets::ServiceLoad;

/// The properties of a call that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInput<'a> {
    pub workspace: &'a WorkspaceEntry,
    pub service: &'a ServiceEntry,
    /// The requested model; engines only.
    pub model: Option<&'a ModelEntry>,
    /// The class, which decides how early the call is shed.
    pub class: EntryClass,
    /// The maximum number of tokens that the call can use.
    pub tokens: u64,
    /// The time at which the caller gives up.
    pub deadline: Option<ClockTime>,
    /// The load of the targets that can serve the call.
    pub load: ServiceLoad,
}

impl AdmissionInput<'_> {
    /// The entries whose limits apply to the call.
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
