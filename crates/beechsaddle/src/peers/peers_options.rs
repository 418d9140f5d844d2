//! The `peers_options` module provides the limits and time-outs of the edge between routers.

use std::net::SocketAddr;

use super::PeerAuth;

/// Limits and timeouts of the edge between routers.
///
/// The limits of a queue bound the memory used by peers that do not answer: with 30 peers, all of
/// them frozen, 30 times `queue_bytes` and `in_flight_bytes`, about 10 MB.
#[derive(Clone, Debug)]
pub struct PeersOptions {
    /// Name of the edge's thread; distinguishes several edges in one process.
    pub thread_name: String,
    /// Listen address for peers.
    pub listen: SocketAddr,
    /// Authentication of the fleet's routers.
    pub auth: PeerAuth,
    /// Capacity of the ring from the core to this edge, in messages.
    pub ring_size: usize,
    /// Maximum number of messages queued for one peer.
    pub queue_messages: usize,
    /// Approximate maximum of bytes queued for one peer.
    pub queue_bytes: usize,
    /// Approximate maximum of bytes in flight to one peer.
    pub in_flight_bytes: usize,
    /// Maximum number of deliveries in flight to one peer.
    pub in_flight_deliveries: usize,
    /// Maximum number of messages in one delivery.
    pub batch_messages: usize,
    /// Approximate maximum of bytes in one delivery.
    pub batch_bytes: usize,
    /// Maximum number of peers that this router sends to.
    pub links_max: usize,
    /// Maximum number of accepted connections of authenticated peers.
    pub accepted_max: usize,
    /// Maximum number of accepted connections that are not authenticated yet.
    pub unauthenticated_max: usize,
    /// Time limit for connecting and the handshake, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time limit for a delivery, in milliseconds; the connection is closed when it is exceeded.
    pub delivery_timeout_ms: u64,
    /// Maximum age of a queued message, in milliseconds; its sender no longer waits for older ones.
    pub message_age_ms: u64,
    /// Idle time after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Minimum delay before an attempt to reconnect, in milliseconds.
    pub backoff_min_ms: u64,
    /// Maximum delay between attempts to reconnect, in milliseconds.
    pub backoff_max_ms: u64,
    /// Time limit for delivering the last messages of a router that exits, in milliseconds.
    pub drain_ms: u64,
}

impl PeersOptions {
    /// Defaults for a fleet with heartbeats every second.
    pub fn new(listen: SocketAddr, auth: PeerAuth) -> Self {
        PeersOptions {
            thread_name: "peers".to_owned(),
            listen,
            auth,
            ring_size: 4_096,
            queue_messages: 1_024,
            queue_bytes: 256 * 1024,
            in_flight_bytes: 64 * 1024,
            in_flight_deliveries: 4,
            batch_messages: 256,
            batch_bytes: 32 * 1024,
            links_max: 256,
            accepted_max: 256,
            unauthenticated_max: 32,
            connect_timeout_ms: 1_000,
            delivery_timeout_ms: 2_000,
            message_age_ms: 5_000,
            idle_ms: 60_000,
            backoff_min_ms: 20,
            backoff_max_ms: 1_000,
            drain_ms: 500,
        }
    }
}
