//! The `board` module provides the exchange of what routers measure of targets.
//!
//! Each router tells a relay of its domain, and the relays of the domains tell each other. Nothing
//! waits for an exchange: without one, a router decides by what it has measured itself.

mod board_exchange;
mod board_link;
mod board_manager;
mod board_server;

pub(super) use board_exchange::run_board_exchange;
pub(super) use board_manager::BoardManager;
