//! The `discovery_fault` module provides the faults of what routers read in the store.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

/// The kinds of objects among which another writer leaves odd entries.
const KINDS: [&str; 6] = [
    "servers",
    "routers",
    "evacuations",
    "config",
    "crashes",
    "budgets",
];

/// The depth of a nested content. JSON libraries commonly give up below 128.
const NESTED_DEPTH: usize = 2_000;

/// A fault of what routers read in the store, while it answers all other calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFault {
    /// Another writer leaves an entry of a kind, which is removed at the end of the fault.
    OddEntry(&'static str, OddContent),
    /// Another writer leaves an entry of a service that no configuration names, with the address of a
    /// target, which is removed at the end of the fault.
    SharedAddress(usize),
    /// The store cuts off each watch that waits longer.
    CutWatches(Duration),
}

/// A content that is no entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OddContent {
    /// A text with half a surrogate pair.
    LoneSurrogate,
    /// A number that no type holds.
    LargeNumber,
    /// Lists in lists.
    Nested,
    /// A target's entry with a port out of range.
    InvalidPort,
}

impl OddContent {
    const ALL: [OddContent; 4] = [
        OddContent::LoneSurrogate,
        OddContent::LargeNumber,
        OddContent::Nested,
        OddContent::InvalidPort,
    ];

    /// Returns the content as JSON. `entry` is that of a target.
    pub fn text(self, entry: &Value) -> String {
        match self {
            OddContent::LoneSurrogate => r#"{"zone":"\ud800"}"#.to_owned(),
            OddContent::LargeNumber => r#"{"slots":1e400}"#.to_owned(),
            OddContent::Nested => ["[".repeat(NESTED_DEPTH), "]".repeat(NESTED_DEPTH)].concat(),
            OddContent::InvalidPort => {
                let mut entry = entry.clone();
                entry["address"] = "127.0.0.1:70000".into();
                entry.to_string()
            }
        }
    }

    /// Returns the name of its entry. Some names come before those of sound entries, some after.
    pub fn entry_name(self) -> &'static str {
        match self {
            OddContent::LoneSurrogate => "a-lone-surrogate",
            OddContent::LargeNumber => "z-large-number",
            OddContent::Nested => "a-nested",
            OddContent::InvalidPort => "z-invalid-port",
        }
    }
}

/// Draws a fault of a fleet with this many targets in service.
pub(super) fn draw_discovery(random: &mut ChaCha8Rng, targets: usize) -> DiscoveryFault {
    match random.random_range(0..4) {
        0 | 1 => {
            let kind = KINDS[random.random_range(0..KINDS.len())];
            let content = OddContent::ALL[random.random_range(0..OddContent::ALL.len())];
            DiscoveryFault::OddEntry(kind, content)
        }
        2 => DiscoveryFault::SharedAddress(random.random_range(0..targets)),
        _ => DiscoveryFault::CutWatches(Duration::from_millis(random.random_range(100..1_900))),
    }
}
