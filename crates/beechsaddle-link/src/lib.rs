//! Connections of a beechsaddle router to HTTP servers.
//!
//! A link is a connection that carries one request at a time. Each failure states whether the
//! server may have received the request. Requests are never sent twice. A request that is given up
//! before its answer was read whole resets its connection, so that it cannot arrive later.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod answer_state;
mod bounded_stream;
mod http_link;
mod link_body;
mod link_failure;
mod link_stream;

pub use http_link::{HttpLink, LinkOptions, open_stream};
pub use link_body::LinkBody;
pub use link_failure::LinkFailure;
pub use link_stream::LinkStream;
