//! The `engine` module provides the stand-in for a model engine.
//!
//! It serves the calls of `docs/API.md` for engines, and in addition `GET /ran`, `GET /orders` (the
//! accepted orders), `POST /faults` ([`TargetFaults`](super::TargetFaults)) and `POST /leave`.
//! Responses depend on the prompt only and name their attempt, see [`ChatProof`].
//! Priorities and the export and import of KV cache are not implemented.

mod chat_completion;
mod chat_proof;
mod chat_request;
mod engine_handler;
mod engine_options;
mod engine_server;
mod engine_service;
mod load_history;
mod order_manager;
mod prefix_cache;
mod token_stream;

pub use chat_proof::ChatProof;
pub use engine_options::EngineOptions;
pub use engine_server::EngineServer;
pub use order_manager::EngineOrder;
