//! The `target_choice` module provides the answer which target gets a call.

use serde::Serialize;

use crate::names::TargetName;

/// A chosen target, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum TargetChoice {
    /// The call goes here.
    Chosen(ChosenTarget),
    /// No target of the service is alive.
    NoneAlive,
    /// Targets are alive, but none has the model loaded.
    NoModel,
    /// Every target that could serve the call was tried already.
    AllTried,
}

/// A chosen target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ChosenTarget {
    /// The target.
    pub target: TargetName,
    /// Where it listens, as `address:port`.
    pub address: String,
    /// Whether it is in the router's own domain.
    pub domain_local: bool,
    /// The expected time to the first token in milliseconds; zero for a plain service.
    pub first_token_ms: u64,
}
