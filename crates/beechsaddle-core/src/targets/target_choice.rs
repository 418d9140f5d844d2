//! The `target_choice` module provides the result of a target choice.

use serde::Serialize;

use crate::names::TargetName;

/// The chosen target, or the reason why there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TargetChoice {
    Chosen(ChosenTarget),
    /// No target of the service is alive.
    NoneAlive,
    /// Targets are alive, but none has the model loaded.
    NoModel,
    /// Every target that could serve the call was tried already.
    AllTried,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChosenTarget {
    pub target: TargetName,
    /// The address for calls, as `address:port`.
    pub address: String,
    /// Whether the target is in the router's own domain.
    pub domain_local: bool,
    /// The expected time to first token in milliseconds; zero for a plain service.
    pub first_token_ms: u64,
}
