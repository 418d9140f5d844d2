//! The `calls` module provides the edge towards callers, operators and targets.
//!
//! The edge reads, validates and relays heads and bodies; every decision is made by the core, which
//! bodies never pass through. `docs/CALL-EDGE.md` describes the behaviour of the libraries that it
//! relies on.

mod admin_service;
mod answer_body;
mod answer_tail;
mod attempt;
mod attempt_failure;
mod body_memory;
mod buffered_answer;
mod call_fault;
mod call_guard;
mod call_head;
mod call_run;
mod call_service;
mod call_table;
mod calls_edge;
mod calls_handle;
mod calls_options;
mod chat_message;
mod chat_request;
mod connection;
mod connection_limits;
mod connection_tracker;
mod echo_table;
mod edge_phase;
mod edge_state;
mod event_ring;
mod event_scanner;
mod guarded_stream;
mod head_timer;
mod header_filter;
mod idle_timer;
mod json_members;
mod linger;
mod listener;
mod plain_request;
mod probe;
mod probe_answer;
mod query_table;
mod ready_answer;
mod refusal_answer;
mod request_body;
mod stream_limits;
mod target_client;
mod tracked_body;

pub use calls_edge::CallsEdge;
pub use calls_handle::CallsHandle;
pub use calls_options::CallsOptions;
pub(crate) use connection_tracker::ConnectionTracker;
pub(crate) use guarded_stream::GuardedStream;
pub(crate) use linger::{LingerBytes, LingerPool, linger};
pub(crate) use stream_limits::{StreamCut, StreamLimits};
