//! The `calls_options` module provides the limits of the call edge.

use std::net::{Ipv4Addr, SocketAddr};

/// Addresses and limits of the call edge.
#[derive(Clone, Debug)]
pub struct CallsOptions {
    /// Where callers connect; port 0 picks a free one.
    pub call_address: SocketAddr,
    /// Where operators connect; port 0 picks a free one.
    pub admin_address: SocketAddr,
    /// Worker threads of the edge's runtime.
    pub worker_threads: usize,
    /// The largest number of open connections of callers.
    pub max_connections: usize,
    /// The largest request head in bytes, at least 8,192.
    pub head_bytes: usize,
    /// The largest number of request headers.
    pub max_headers: usize,
    /// How long a request head may take from its first byte to its end, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may wait for its next request, in milliseconds; longer than the
    /// balancer keeps idle connections, so that the balancer closes first. A head that is begun in
    /// time may still take `head_timeout_ms`.
    pub idle_timeout_ms: u64,
    /// The largest request body in bytes.
    pub body_bytes: usize,
    /// How long a request body may take in all, in milliseconds.
    pub body_timeout_ms: u64,
    /// What all request bodies together may take, in bytes.
    pub body_memory_bytes: usize,
    /// How long a caller may take to accept the next bytes of its answer, in milliseconds.
    pub write_stall_ms: u64,
    /// How long a target may take to accept a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long an idle connection to a target is kept, in milliseconds; shorter than the
    /// keep-alive time of common model engines (5 s), so that the router closes first.
    pub target_idle_ms: u64,
    /// How long a target may pause within an answer, in milliseconds.
    pub answer_idle_ms: u64,
    /// The largest answer that is read whole before it is relayed, in bytes.
    pub answer_bytes: usize,
    /// Answers of plain services up to this many bytes are read whole before they are relayed, so
    /// that a broken one can still be tried again.
    pub plain_whole_bytes: usize,
    /// How long a probe or an order may take, in milliseconds.
    pub probe_timeout_ms: u64,
    /// How long idle connections stay open after the edge stopped accepting, in milliseconds, so
    /// that a call in flight on one of them still gets its refusal.
    pub drain_grace_ms: u64,
}

impl Default for CallsOptions {
    fn default() -> Self {
        CallsOptions {
            call_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            admin_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            worker_threads: 1,
            max_connections: 10_000,
            head_bytes: 32 * 1024,
            max_headers: 64,
            head_timeout_ms: 10_000,
            idle_timeout_ms: 60_000,
            body_bytes: 4 * 1024 * 1024,
            body_timeout_ms: 30_000,
            body_memory_bytes: 128 * 1024 * 1024,
            write_stall_ms: 60_000,
            connect_timeout_ms: 1_000,
            target_idle_ms: 4_000,
            answer_idle_ms: 120_000,
            answer_bytes: 4 * 1024 * 1024,
            plain_whole_bytes: 64 * 1024,
            probe_timeout_ms: 1_000,
            drain_grace_ms: 2_000,
        }
    }
}
