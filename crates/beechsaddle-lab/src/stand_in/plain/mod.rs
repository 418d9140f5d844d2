//! The `plain` module provides the stand-in for a plain service.
//!
//! It answers every call with a [`PlainEcho`]. In addition it serves `GET /health`, `GET /ran`,
//! `POST /faults` ([`TargetFaults`](super::TargetFaults)) and `POST /leave`.

mod plain_echo;
mod plain_options;
mod plain_server;
mod plain_service;

pub use plain_echo::PlainEcho;
pub use plain_options::PlainOptions;
pub use plain_server::PlainServer;
