//! The `choice_request` module provides the question which target gets a call.

use super::CallWork;
use crate::catalogue::ServiceKind;
use crate::names::{ModelName, ServiceName, TargetName};

/// Asks for a target.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    /// The service that is called.
    pub service: ServiceName,
    /// What kind of targets it has.
    pub kind: ServiceKind,
    /// The model that has to be loaded, for engines.
    pub model: Option<ModelName>,
    /// Hashes of the prompt's leading blocks; see [`crate::hash::prefix_chain`].
    pub prefix: &'a [u64],
    /// Targets that earlier attempts of the call went to.
    pub tried: &'a [TargetName],
    /// How much work the call is expected to be.
    pub work: CallWork,
}
