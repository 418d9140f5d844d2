//! Shared types and all decisions of the beechsaddle router.
//!
//! The crate does no input or output, reads no system clock and draws no global random numbers:
//! [`CoreEvent`](event::CoreEvent)s go in, [`CoreAction`](action::CoreAction)s come out, and the
//! same events always give the same actions. The edges in the `beechsaddle` crate carry them.

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
pub mod event;
pub mod gateway;
pub mod hash;
pub mod members;
pub mod names;
pub mod objects;
pub mod once;
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
