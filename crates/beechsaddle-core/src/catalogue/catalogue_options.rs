//! The `catalogue_options` module provides the settings of following the catalogue.

/// The settings of following the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CatalogueOptions {
    /// How many routers of a domain watch the platform; the others learn from them.
    pub watchers: usize,
    /// How often a router that does not watch looks at the platform, in milliseconds: changes must
    /// be in force within 12 s also when all watchers of the domain are cut off from the platform
    /// or dead.
    pub poll_ms: u64,
    /// How long a router does not watch after its start, in milliseconds. Before it has heard the
    /// others it would take itself for the only one and watch; after a start of the whole fleet
    /// every router would hold a watch until it ends.
    pub settle_ms: u64,
    /// The shortest time between two requests to peers, in milliseconds.
    pub request_ms: u64,
    /// How many changes are kept for peers that are behind.
    pub kept_changes: usize,
    /// The most changes in one answer to a peer.
    pub sent_changes: usize,
}

impl Default for CatalogueOptions {
    fn default() -> Self {
        CatalogueOptions {
            watchers: 2,
            poll_ms: 8_000,
            settle_ms: 3_000,
            request_ms: 500,
            kept_changes: 256,
            sent_changes: 64,
        }
    }
}
