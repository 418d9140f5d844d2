//! The `limits` module provides the size limits of messages between routers.

use capnp::message::ReaderOptions;

/// The maximum length of a text, in bytes. Idempotency keys have at most 128, host names 253.
pub const TEXT_BYTES_MAX: usize = 512;

/// The maximum number of targets, limits or routers in one heartbeat: twenty times the targets of a
/// domain at the planned size of 3,700 replicas in 19 domains.
pub const UPDATES_MAX: usize = 4_096;

/// The maximum number of adapters of one engine.
pub const ADAPTERS_MAX: usize = 1_024;

/// The maximum number of calls in one report: twice the 15,000 requests per second of the whole
/// fleet.
pub const CALLS_MAX: usize = 32_768;

/// The maximum number of catalogue changes in one update, and of parts of a base.
pub const CHANGES_MAX: usize = 1_024;

/// The maximum number of messages in one delivery.
pub const BATCH_MESSAGES_MAX: usize = 1_024;

/// The maximum encoded size of a message or delivery.
pub const MESSAGE_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The maximum nesting depth of structures; a settle request in a delivery needs six.
const NESTING_MAX: i32 = 16;

/// Returns the limits of the decoder. Several pointers in a message may point to the same data, so
/// that few bytes can expand to a value of any size: decoding fails after it has visited as many
/// words as the largest message has.
pub fn reader_options() -> ReaderOptions {
    ReaderOptions {
        traversal_limit_in_words: Some(MESSAGE_BYTES_MAX / 8),
        nesting_limit: NESTING_MAX,
    }
}
