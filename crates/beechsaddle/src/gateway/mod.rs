//! The `gateway` module provides a router that serves the platform's routes.
//!
//! One thread forwards calls, follows the store and manages the escrow: it waits for the network nearly all
//! of the time, and passing each call between threads would cost more than the call. A second thread writes
//! logs. Decisions are made in `beechsaddle-core`; wire names are defined in `beechsaddle-platform`.

mod answer_body;
mod attempt_guard;
mod attempt_race;
mod board;
mod body_parts;
mod buffer_memory;
mod buffered_body;
mod cached_ledger;
mod call_checks;
mod call_context;
mod call_exchange;
mod call_record;
mod caller_connection;
mod caller_listener;
mod caller_slots;
mod changes;
mod clock_manager;
mod connection_ring;
mod crashes;
mod event_splitter;
mod gateway_metrics;
mod gateway_process;
mod gateway_settings;
mod gateway_shutdown;
mod gateway_state;
mod host_listener;
mod known_refusals;
mod ledger_store;
mod ledger_sync;
mod ledger_updates;
mod ledger_wait;
mod limits;
mod log_sampler;
mod loop_lag;
mod open_attempts;
mod opening_turn;
mod origins;
mod peer_codec;
mod peer_link;
mod peer_server;
mod plain_exchange;
mod refusal;
mod request_body;
mod settings_watch;
mod speed_steps;
mod stall_watch;
mod status_view;
mod store_call;
mod store_tally;
mod stream_attempt;
mod stream_exchange;
mod stream_relay;
mod stream_takeover;
mod target_choice;
mod target_notice;
mod target_path;
mod target_pool;
mod target_send;
mod token_borrow;
mod token_lender;
mod token_lending;
mod token_reservation;
mod token_return;
mod tunnels;
mod unproven_reader;
mod urgency_gate;

pub use gateway_process::run;
pub use gateway_settings::{GatewaySettings, is_gateway_file};
