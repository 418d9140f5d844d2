//! The `catalogue_options` module provides the settings for following the catalogue.

/// The settings for following the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogueOptions {
    /// How many routers of a domain watch the platform; the others receive changes from them.
    pub watchers: usize,
    /// How often a router that does not watch polls the platform, in milliseconds. Changes must be
    /// in effect within 12 s even if all watchers of the domain are dead or cut off from the
    /// platform.
    pub poll_ms: u64,
    /// How long a router does not watch after its start, in milliseconds. Before it has received
    /// heartbeats it would rank itself first and watch; after a start of the whole fleet every
    /// router would hold a watch until that ends.
    pub watch_delay_ms: u64,
    /// The shortest time between two requests to peers, in milliseconds.
    pub request_ms: u64,
    /// How many changes are retained for peers with an older revision.
    pub retained_changes: usize,
    /// The maximum number of changes in one reply to a peer.
    pub sent_changes: usize,
}

impl Default for CatalogueOptions {
    fn default() -> Self {
        CatalogueOptions {
            watchers: 2,
            poll_ms: 8_000,
            watch_delay_ms: 3_000,
            request_ms: 500,
            retained_changes: 256,
            sent_changes: 64,
        }
    }
}
