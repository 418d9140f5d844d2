//! The `limits` module provides how large a message between routers may be.

use capnp::message::ReaderOptions;

/// The longest text, in bytes. Idempotency keys have at most 128, host names at most 253.
pub const TEXT_BYTES_MAX: usize = 512;

/// The most targets, limits or routers in one heartbeat: twenty times the targets of a domain at
/// the size planned for, which is 3,700 replicas in 19 domains.
pub const NEWS_MAX: usize = 4_096;

/// The most adapters of one engine.
pub const ADAPTERS_MAX: usize = 1_024;

/// The most calls in one report: twice the requests a second of the whole fleet, 15,000.
pub const CALLS_MAX: usize = 32_768;

/// The most changes of the catalogue in one update, and the most parts of a base.
pub const CHANGES_MAX: usize = 1_024;

/// The most messages in one delivery.
pub const BATCH_MESSAGES_MAX: usize = 1_024;

/// The largest message or delivery as it travels, in bytes.
pub const MESSAGE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// How deeply structures may nest; a settle request in a delivery needs six.
const NESTING_MAX: i32 = 16;

/// Limits for reading. A pointer may point anywhere in a message, also many times to one place, so
/// that few bytes can stand for a value of any size: reading ends with an error once it has visited
/// as many words as the largest message has.
pub fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_BYTES_MAX / 8),
        nesting_limit: NESTING_MAX,
    }
}
