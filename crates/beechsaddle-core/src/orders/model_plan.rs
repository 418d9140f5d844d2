//! The `model_plan` module provides the assignment of a service's models to its targets.
//!
//! A service with one model has it on all its targets. If several models share a service, each
//! model, in name order, first claims the free target with the highest rendezvous weight, so that
//! every model is served; every other target serves the model with the highest weight. Adding or
//! removing a target changes the model of few others, since each change loads weights.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::catalogue::ModelEntry;
use crate::hash::rendezvous_weight;
use crate::names::TargetName;
use crate::target::EngineState;

/// Returns the desired state of each target; empty without models. With fewer targets than models,
/// the models that are last by name are not served.
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

/// Whether two states are equal apart from the order of adapters.
pub(super) fn is_same_state(left: &EngineState, right: &EngineState) -> bool {
    is_same_weights(left, right) && left.role == right.role
}

/// Whether a change between the states loads nothing from the weight store.
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
