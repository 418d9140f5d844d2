//! Shared types and all decisions of the beechsaddle router.
//!
//! The crate does no I/O, reads no system clock and uses no global random numbers:
//! [`CoreEvent`](event::CoreEvent)s are its inputs, [`CoreAction`](action::CoreAction)s its
//! outputs, and the same events always give the same actions. The edges in the `beechsaddle` crate
//! raise the events and carry out the actions.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod accounting;
pub mod action;
pub mod admission;
pub mod backoff;
pub mod call;
pub mod calls;
pub mod catalogue;
pub mod clock;
pub mod dedup;
pub mod event;
pub mod gateway;
pub mod hash;
pub mod members;
pub mod names;
pub mod objects;
pub mod orders;
pub mod outbox;
pub mod peer;
pub mod platform;
pub mod prelude;
pub mod random;
pub mod refusal;
pub mod report;
pub mod router;
pub mod signal;
pub mod status;
pub mod target;
pub mod targets;
