//! The `calls_options` module provides the addresses and limits of the call edge.

use std::net::{Ipv4Addr, SocketAddr};

/// Addresses and limits of the call edge.
#[derive(Clone, Debug)]
pub struct CallsOptions {
    /// Listen address for callers; port 0 picks a free port.
    pub call_address: SocketAddr,
    /// Listen address for operators; port 0 picks a free port.
    pub admin_address: SocketAddr,
    /// Worker threads of the edge's runtime.
    pub worker_threads: usize,
    /// Maximum number of open connections of callers.
    pub max_connections: usize,
    /// Maximum size of a request head in bytes, at least 8,192.
    pub head_bytes: usize,
    /// Maximum number of request headers.
    pub max_headers: usize,
    /// Time limit for a request head from its first byte to its end, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time limit for a connection to wait for its next request, in milliseconds; longer than the
    /// load balancer's keep-alive time, so that the load balancer closes first. A head that begins
    /// in time may still take `head_timeout_ms`.
    pub idle_timeout_ms: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time limit for a whole request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum memory of all request bodies together, in bytes.
    pub body_memory_bytes: usize,
    /// Time limit for a caller to accept the next bytes of its answer, in milliseconds.
    pub write_stall_ms: u64,
    /// Time limit for connecting to a target, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Keep-alive time of an idle connection to a target, in milliseconds; shorter than that of
    /// common model engines (5 s), so that the router closes first.
    pub target_idle_ms: u64,
    /// Maximum pause of a target within an answer, in milliseconds.
    pub answer_idle_ms: u64,
    /// Maximum size in bytes of an answer that is buffered before it is relayed.
    pub answer_bytes: usize,
    /// Answers of plain services up to this many bytes are buffered before they are relayed, so
    /// that the call can still be retried if the answer is truncated.
    pub plain_whole_bytes: usize,
    /// Time limit for a probe or an order, in milliseconds.
    pub probe_timeout_ms: u64,
    /// How long idle connections stay open after the edge stopped accepting, in milliseconds, so
    /// that a call in flight on one of them still receives its refusal.
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
