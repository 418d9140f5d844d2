//! The `platform` module provides the edge towards the platform's object API.
//!
//! The edge has a thread and a runtime of its own. The core hands it calls through a bounded ring
//! and gets exactly one [`PlatformReply`](beechsaddle_core::platform::PlatformReply) for each.
//!
//! What was found out about the `volo-http` client, version 0.5.7, and what follows from it:
//!
//! - It does not resend. A request on a pooled connection that turns out to be closed ends in an
//!   error, also where not a byte was written; its load balancing layer has no retry. The tests in
//!   `platform_lost_answers.rs` count what arrives.
//! - A failed connect and a failed exchange both have the kind `Request`. They differ in their
//!   source: the first is an `io::Error`, the second an error of `hyper`. Only the first proves that
//!   nothing was sent.
//! - Its connect timeout is not passed on to its connector, so that a connect to a host that drops
//!   packets lasts as long as the system tries. The whole exchange is timed here instead; when that
//!   time is up, it is not known whether a connection was made, and the outcome is unknown.
//! - Its request timeout ends with the head of the answer and would let a body trickle for ever, and
//!   there is one for the whole client, too short for watches or too long for writes. It is not
//!   used: the time of each call covers the body.
//! - Dropping an exchange closes its connection, so that a late answer can't meet the next call.

mod answer_reader;
mod platform_client;
mod platform_edge;
mod platform_handle;
mod platform_options;

pub use platform_client::PlatformClient;
pub use platform_edge::PlatformEdge;
pub use platform_handle::PlatformHandle;
pub use platform_options::PlatformOptions;
