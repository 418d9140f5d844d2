//! The `limit_manager` module provides the permits that this router issues.

use std::cell::RefCell;

use beechsaddle_core::gateway::{
    IssuerRank, PermitIssuer, PermitReply, TargetIncarnation, TargetLimit,
};

use crate::gateway::gateway_state::GatewayState;

/// Issues permits for targets with rate limits.
#[derive(Default)]
pub(in crate::gateway) struct LimitManager {
    pub(super) issuer: RefCell<PermitIssuer>,
}

/// A request for a permit to send one call to a target.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct PermitRequest {
    pub(in crate::gateway) target: TargetIncarnation,
    /// The target's limit as known by the router that asks.
    pub(in crate::gateway) limit: TargetLimit,
}

/// Answers a permit request of this or another router.
pub(in crate::gateway) fn answer_permit_request(
    state: &GatewayState,
    request: &PermitRequest,
) -> PermitReply {
    let now = state.now();
    let ring = state.lending.ring.borrow();
    let rank = match ring.is_first(request.target.name.as_str()) {
        true => IssuerRank::First,
        false => IssuerRank::Substitute,
    };
    let mut issuer = state.limits.issuer.borrow_mut();
    issuer.try_take_permit(now, &request.target, request.limit, rank)
}
