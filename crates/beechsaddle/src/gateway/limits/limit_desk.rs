//! The `limit_desk` module provides the answers to those that ask for places.

use std::cell::RefCell;

use beechsaddle_core::gateway::{
    IssuerRank, PermitIssuer, PermitReply, TargetIncarnation, TargetLimit,
};

use crate::gateway::gateway_state::GatewayState;

/// The places that this router gives out.
#[derive(Default)]
pub(in crate::gateway) struct LimitDesk {
    pub(super) share: RefCell<PermitIssuer>,
}

/// A question for a place at a target.
#[derive(Clone, Debug)]
pub(in crate::gateway) struct PlaceQuestion {
    /// The target.
    pub(in crate::gateway) target: TargetIncarnation,
    /// What the router that asks knows of its limit.
    pub(in crate::gateway) limit: TargetLimit,
}

/// Answers a router, or this one.
pub(in crate::gateway) fn answer_place(
    state: &GatewayState,
    question: &PlaceQuestion,
) -> PermitReply {
    let now = state.now();
    let ring = state.lending.ring.borrow();
    let rank = match ring.is_first(question.target.name.as_str()) {
        true => IssuerRank::First,
        false => IssuerRank::Substitute,
    };
    let mut share = state.limits.share.borrow_mut();
    share.try_take_permit(now, &question.target, question.limit, rank)
}
