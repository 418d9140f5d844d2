//! Connections of a beechsaddle router to HTTP servers.
//!
//! A link is a connection that carries one request at a time. Each failure states whether the
//! server may have received the request. Requests are never sent twice.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod bounded_stream;
mod http_link;
mod link_failure;
mod link_stream;

pub use http_link::{HttpLink, LinkOptions, open_stream};
pub use link_failure::LinkFailure;
pub use link_stream::LinkStream;
