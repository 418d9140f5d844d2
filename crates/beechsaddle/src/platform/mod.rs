//! The `platform` module provides the edge to the platform's object API.
//!
//! The edge has its own thread and runtime. The core sends it calls through a bounded ring and
//! receives exactly one [`PlatformReply`](beechsaddle_core::platform::PlatformReply) for each.
//!
//! Observed behaviour of the `volo-http` client, version 0.5.7, and its consequences:
//!
//! - It does not resend. A request on a pooled connection that turns out to be closed ends in an
//!   error, even if no byte was written, and its load balancing layer has no retry. The tests in
//!   `platform_lost_answers.rs` count the requests that arrive.
//! - A failed connect and a failed exchange both have the kind `Request` and differ in their
//!   source: an `io::Error` for the first, an error of `hyper` for the second. Only the first
//!   proves that nothing was sent.
//! - Its connect timeout is not passed to its connector, so a connect to a host that drops packets
//!   lasts as long as the system retries. The whole exchange has a time limit here instead. When it
//!   expires, the connection may or may not have been made, and the outcome is unknown.
//! - Its request timeout covers only the head of the response, so that a slow body could take
//!   forever, and there is one value for the whole client, too short for watches or too long for
//!   writes. It is not used: the time limit of each call covers the body.
//! - Dropping an exchange closes its connection, so that a late response cannot be read as that of
//!   the next call.

mod platform_client;
mod platform_edge;
mod platform_handle;
mod platform_options;
mod response_reader;

pub use platform_client::PlatformClient;
pub use platform_edge::PlatformEdge;
pub use platform_handle::PlatformHandle;
pub use platform_options::PlatformOptions;
