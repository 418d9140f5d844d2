//! Tests of the assignment of models to targets.

mod dedup_support;
mod orders_support;

use std::collections::BTreeSet;
use std::sync::Arc;

use beechsaddle_core::catalogue::ModelEntry;
use beechsaddle_core::names::TargetName;
use beechsaddle_core::orders::plan_models;
use orders_support::{model, state};
use quickcheck::quickcheck;

fn targets(count: u8) -> BTreeSet<TargetName> {
    (0..count)
        .map(|number| TargetName::new(format!("motor-{number}")))
        .collect()
}

fn models(count: u8) -> Vec<Arc<ModelEntry>> {
    (0..count)
        .map(|number| Arc::new(model(&format!("model-{number}"), 1)))
        .collect()
}

#[test]
fn plan_models_one_model() {
    let plan = plan_models(&models(1), &targets(12));
    assert_eq!(plan.len(), 12);
    assert!(plan.values().all(|planned| *planned == state("model-0", 1)));
}

#[test]
fn plan_models_none() {
    assert!(plan_models(&[], &targets(3)).is_empty());
    assert!(plan_models(&models(3), &targets(0)).is_empty());
}

quickcheck! {
    fn plan_models_serves_every_model(model_count: u8, target_count: u8) -> bool {
        let (model_count, target_count) = (model_count % 14, target_count % 40);
        let plan = plan_models(&models(model_count), &targets(target_count));
        let served: BTreeSet<_> = plan.values().map(|planned| planned.model.clone()).collect();
        served.len() == usize::from(model_count.min(target_count))
    }

    fn plan_models_changes_few_targets(model_count: u8, target_count: u8, removed: u8) -> bool {
        let (model_count, target_count) = (model_count % 6 + 1, target_count % 40 + 8);
        let all = targets(target_count);
        let mut remaining = all.clone();
        remaining.remove(&TargetName::new(format!("motor-{}", removed % target_count)));
        let before = plan_models(&models(model_count), &all);
        let after = plan_models(&models(model_count), &remaining);
        let changed = after.iter().filter(|(target, planned)| before[*target] != **planned);
        changed.count() <= usize::from(model_count)
    }
}
