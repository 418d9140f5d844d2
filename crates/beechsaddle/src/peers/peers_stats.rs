//! The `peers_stats` module provides the counters of the edge between routers.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! peers_stats {
    ($($(#[$meta:meta])* $name:ident,)*) => {
        /// Running counters of the edge.
        #[derive(Debug, Default)]
        pub(super) struct PeersStats {
            $(pub(super) $name: AtomicU64,)*
        }

        /// Counters of the edge at one moment, since it was started.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct PeersCounts {
            $($(#[$meta])* pub $name: u64,)*
        }

        impl PeersStats {
            /// Returns the current values.
            pub(super) fn counts(&self) -> PeersCounts {
                PeersCounts {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

peers_stats! {
    /// Messages whose delivery was confirmed.
    delivered,
    /// Messages in flight when the connection broke; they may have been delivered.
    lost,
    /// Messages dropped before they were sent: queue full, too old, too large, or a wrong peer.
    dropped,
    /// Messages dropped because the ring between the core and this edge was full.
    ring_full,
    /// Deliveries sent; each has one message or more.
    deliveries,
    /// Messages received and handed to the core.
    received,
    /// Messages received that could not be decoded.
    invalid,
    /// Connections refused: wrong secret, wrong incarnation, no proof in time, or too many.
    refused,
    /// Connections opened and authenticated.
    connected,
    /// Bytes written to peers, without TCP and IP headers.
    bytes_out,
    /// Bytes read from peers, without TCP and IP headers.
    bytes_in,
    /// Writes to sockets, about one packet each.
    writes,
}

pub(super) fn add(count: &AtomicU64, amount: u64) {
    count.fetch_add(amount, Ordering::Relaxed);
}
