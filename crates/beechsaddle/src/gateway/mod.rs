//! The `gateway` module provides a router that serves the platform's routes.
//!
//! One thread forwards calls, follows the store and keeps the escrow: it waits for the network
//! nearly all of the time, and handing each call between threads would cost more than the call. A
//! second thread writes logs. Decisions are `beechsaddle-core`'s, wire names `beechsaddle-platform`'s.

mod answer_body;
mod attempt_guard;
mod call_context;
mod call_exchange;
mod call_record;
mod caller_listener;
mod changes;
mod clock_desk;
mod crashes;
mod escrow_keeper;
mod event_splitter;
mod gateway_metrics;
mod gateway_process;
mod gateway_settings;
mod gateway_state;
mod host_listener;
mod kept_ledger;
mod ledger_notes;
mod ledger_store;
mod ledger_wait;
mod limits;
mod line_budget;
mod peer_codec;
mod peer_link;
mod peer_server;
mod plain_exchange;
mod refusal;
mod settings_watch;
mod status_view;
mod store_call;
mod store_tally;
mod stream_exchange;
mod stream_relay;
mod target_choice;
mod target_pool;
mod target_send;
mod token_borrow;
mod token_lender;
mod token_lending;
mod token_reservation;
mod token_return;

pub use gateway_process::run;
pub use gateway_settings::{GatewaySettings, is_gateway_file};
