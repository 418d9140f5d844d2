//! The `peers` module provides the edge between routers: Cap'n Proto calls over TCP.
//!
//! A router opens one connection to each peer that it sends to, authenticates, and delivers
//! messages in that direction only; replies arrive over the connection that the peer opened.
//! Messages may be lost and are never sent twice. `docs/PEERS.md` describes the protocol and the
//! alternatives considered.

mod accept_loop;
mod backoff_delay;
mod edge_context;
mod gate_server;
mod inbox_server;
mod link_state;
mod link_table;
mod metered_stream;
mod peer_auth;
mod peer_link;
mod peer_session;
mod peers_edge;
mod peers_handle;
mod peers_options;
mod peers_stats;
mod pending_deliveries;
mod send_queue;
mod stream_meter;

pub use peer_auth::PeerAuth;
pub use peers_edge::PeersEdge;
pub use peers_handle::PeersHandle;
pub use peers_options::PeersOptions;
pub use peers_stats::PeersCounts;
pub use stream_meter::StreamMeter;
