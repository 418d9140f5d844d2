//! The `engine` module provides the stand-in for a model engine.
//!
//! It takes the calls of `docs/API.md` for engines, and beside them `GET /ran`, `GET /orders` (the
//! orders taken so far), `POST /faults` ([`TargetFaults`](super::TargetFaults)) and `POST /leave`.
//! Its answers are a function of the prompt and name the attempt they are for: see [`ChatProof`].
//! Priorities and the export and import of KV cache are not there.

mod chat_answer;
mod chat_proof;
mod chat_request;
mod engine_front;
mod engine_options;
mod engine_server;
mod engine_service;
mod load_history;
mod order_desk;
mod prefix_cache;
mod token_stream;

pub use chat_proof::ChatProof;
pub use engine_options::EngineOptions;
pub use engine_server::EngineServer;
pub use order_desk::EngineOrder;
