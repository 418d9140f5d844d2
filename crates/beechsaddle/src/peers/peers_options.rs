//! The `peers_options` module provides the bounds and time limits of the edge between routers.

use std::net::SocketAddr;

use super::PeerAuth;

/// Bounds and time limits of the edge between routers.
///
/// What a queue may hold bounds the memory that peers without an answer can take: with 30 peers, all
/// of them frozen, 30 times `queue_bytes` and `flight_bytes`, about 10 MB.
#[derive(Clone, Debug)]
pub struct PeersOptions {
    /// What the edge's thread is called; several edges in one process are told apart by it.
    pub thread_name: String,
    /// Where peers reach this router.
    pub listen: SocketAddr,
    /// How routers prove that they belong to the fleet.
    pub auth: PeerAuth,
    /// How many messages may wait between the core and this edge.
    pub ring_size: usize,
    /// How many messages may wait for one peer.
    pub queue_messages: usize,
    /// About how many bytes may wait for one peer.
    pub queue_bytes: usize,
    /// About how many bytes may be on their way to one peer.
    pub flight_bytes: usize,
    /// How many deliveries may be on their way to one peer.
    pub flight_calls: usize,
    /// How many messages go into one delivery.
    pub batch_messages: usize,
    /// About how many bytes go into one delivery.
    pub batch_bytes: usize,
    /// How many peers this router sends to.
    pub links_max: usize,
    /// How many connections of proven peers it takes.
    pub accepted_max: usize,
    /// How many connections it takes that have not proven themselves yet.
    pub unproven_max: usize,
    /// How long connecting and the handshake may take, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long a delivery may take, in milliseconds, before the connection is given up.
    pub delivery_timeout_ms: u64,
    /// How long a message may wait, in milliseconds; an older one would be of no use any more.
    pub message_age_ms: u64,
    /// After how many milliseconds without a message a connection is closed.
    pub idle_ms: u64,
    /// How long to wait before the first attempt to reconnect, in milliseconds.
    pub backoff_min_ms: u64,
    /// How long to wait at most between attempts to reconnect, in milliseconds.
    pub backoff_max_ms: u64,
    /// How long a router that exits waits for its last messages to be delivered, in milliseconds.
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
            flight_bytes: 64 * 1024,
            flight_calls: 4,
            batch_messages: 256,
            batch_bytes: 32 * 1024,
            links_max: 256,
            accepted_max: 256,
            unproven_max: 32,
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
