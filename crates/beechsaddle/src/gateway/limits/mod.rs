//! The `limits` module provides the keeping of limits that targets name for all routers together.
//!
//! One router of the fleet gives out the places of such a target, by rendezvous hashing over the list of routers.
//! Whoever has a request for the target asks it for a place first, and turns to other targets while there is none.

mod limit_ask;
mod limit_desk;

pub(super) use limit_ask::{ask_place, note_limit};
pub(super) use limit_desk::{LimitDesk, PlaceQuestion, answer_place};
