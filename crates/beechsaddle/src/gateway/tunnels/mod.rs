//! The `tunnels` module provides connections to targets by way of other routers, for routers that are
//! partitioned from the targets.
//!
//! A router that does not reach the targets keeps all decisions: rules, tokens, choice of target and
//! retries. Another router only connects to the target and copies bytes. How the target's connection
//! ended is a message of that router: its own end, in whatever way, is never that of a response.

mod tunnel_client;
mod tunnel_codec;
mod tunnel_copy;
mod tunnel_directory;
mod tunnel_frame;
mod tunnel_server;
mod tunnel_stream;
mod tunnel_watch;

pub(super) use tunnel_client::{OpenTunnel, TunnelFailure, open_tunnel};
pub(super) use tunnel_codec::TUNNEL_PREFACE;
pub(super) use tunnel_directory::TunnelDirectory;
pub(super) use tunnel_server::serve_tunnel;
