//! Connections of a beechsaddle router to HTTP servers.
//!
//! A link is one connection that carries one request at a time, and tells of each failure whether
//! the server may have seen the request. Nothing is ever sent twice.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod http_link;
mod link_failure;

pub use http_link::{HttpLink, LinkOptions};
pub use link_failure::LinkFailure;
