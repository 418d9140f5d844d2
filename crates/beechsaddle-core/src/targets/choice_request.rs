//! The `choice_request` module provides the input of a target choice.

use super::CallWork;
use crate::catalogue::ServiceKind;
use crate::names::{ModelName, ServiceName, TargetName};

/// The input of a target choice.
#[derive(Clone, Debug)]
pub struct ChoiceRequest<'a> {
    pub service: ServiceName,
    /// The kind of the service's targets.
    pub kind: ServiceKind,
    /// The model that must be loaded; engines only.
    pub model: Option<ModelName>,
    /// Hashes of the prompt's leading blocks; see [`crate::hash::prefix_chain`].
    pub prefix: &'a [u64],
    /// Targets of earlier attempts of the call.
    pub tried: &'a [TargetName],
    pub work: CallWork,
}
