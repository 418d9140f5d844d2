//! The `calls` module provides the edge towards callers, operators and targets.
//!
//! Heads and bodies are read, checked and relayed here; every decision is the core's. Bodies never
//! pass the core. `docs/CALL-EDGE.md` tells what was found out about the libraries below.

mod admin_service;
mod answer_body;
mod answer_tail;
mod attempt;
mod attempt_failure;
mod body_memory;
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
mod connection_mark;
mod echo_book;
mod edge_phase;
mod edge_state;
mod event_ring;
mod event_scanner;
mod guarded_stream;
mod head_timer;
mod header_filter;
mod json_members;
mod listener;
mod marked_body;
mod plain_request;
mod probe;
mod probe_answer;
mod query_table;
mod ready_answer;
mod refusal_answer;
mod request_body;
mod target_client;
mod whole_answer;

pub use calls_edge::CallsEdge;
pub use calls_handle::CallsHandle;
pub use calls_options::CallsOptions;
pub(crate) use connection_mark::ConnectionMark;
pub(crate) use guarded_stream::GuardedStream;
