//! The `model_plan` module provides which target of a service serves which of its models.
//!
//! A service with one model has it on all its targets. Where several models share a service, each
//! model in the order of names first claims the free target that weighs most for it by rendezvous
//! hashing, so that none is left without; every other target serves the model that weighs most for
//! it. A target that comes or goes changes the model of few others, since each change is a load of
//! weights.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::catalogue::ModelEntry;
use crate::hash::rendezvous_weight;
use crate::names::TargetName;
use crate::target::EngineState;

/// The state that each of a service's targets shall reach; nothing where there is no model. With
/// fewer targets than models, the models that come last by name have none.
pub fn plan_models(
    models: &[Arc<ModelEntry>],
    targets: &BTreeSet<TargetName>,
) -> BTreeMap<TargetName, EngineState> {
    let mut plan = BTreeMap::new();
    for model in models {
        let free = targets.iter().filter(|target| !plan.contains_key(*target));
        if let Some(target) = free.max_by_key(|target| weight(target, model)) {
            plan.insert(target.clone(), declared_state(model));
        }
    }
    for target in targets {
        if plan.contains_key(target) {
            continue;
        }
        if let Some(model) = models.iter().max_by_key(|model| weight(target, model)) {
            plan.insert(target.clone(), declared_state(model));
        }
    }
    plan
}

/// Whether two states are the same but for the order of adapters.
pub(super) fn is_same_state(left: &EngineState, right: &EngineState) -> bool {
    is_same_weights(left, right) && left.role == right.role
}

/// Whether going from one state to the other takes nothing from the weight store.
pub(super) fn is_same_weights(left: &EngineState, right: &EngineState) -> bool {
    let left_adapters: BTreeSet<&String> = left.adapters.iter().collect();
    let right_adapters: BTreeSet<&String> = right.adapters.iter().collect();
    left.model == right.model && left.version == right.version && left_adapters == right_adapters
}

fn declared_state(model: &ModelEntry) -> EngineState {
    EngineState {
        model: model.name.clone(),
        version: model.version,
        adapters: model.adapters.clone(),
        role: model.role,
    }
}

fn weight(target: &TargetName, model: &ModelEntry) -> u64 {
    rendezvous_weight(target.as_str(), model.name.as_str())
}
