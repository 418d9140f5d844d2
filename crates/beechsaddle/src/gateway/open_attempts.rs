//! The `open_attempts` module provides the attempts of one call that have not ended.

use std::cell::RefCell;

use beechsaddle_core::gateway::{AttemptEnd, AttemptHistory};
use beechsaddle_core::prelude::*;

/// The targets of a call's open attempts, in the order in which the attempts began. A call has more
/// than one if its target is silent and another one is tried beside it.
#[derive(Debug, Default)]
pub(super) struct OpenAttempts {
    targets: RefCell<Vec<TargetName>>,
}

impl OpenAttempts {
    /// Adds the target of an attempt that begins.
    pub(super) fn add(&self, target: &TargetName) {
        self.targets.borrow_mut().push(target.clone());
    }

    /// Removes the target of an attempt that ended.
    pub(super) fn remove(&self, target: &TargetName) {
        let mut targets = self.targets.borrow_mut();
        let index = targets.iter().position(|name| name == target);
        if let Some(index) = index {
            targets.remove(index);
        }
    }

    /// Returns the targets.
    pub(super) fn targets(&self) -> Vec<TargetName> {
        self.targets.borrow().clone()
    }

    /// Returns a history that counts the open attempts as if they ended without a response.
    pub(super) fn count_in(&self, history: &AttemptHistory) -> AttemptHistory {
        let mut history = history.clone();
        let targets = self.targets.borrow();
        targets
            .iter()
            .for_each(|_| history.record(AttemptEnd::Silent));
        history
    }
}
