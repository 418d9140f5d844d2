//! The `error` module provides the error type of all codecs.

use std::fmt;

/// Why a value cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The encoded value exceeds the limit, in bytes.
    TooLarge {
        /// The size of the value.
        size: usize,
        /// The maximum size.
        limit: usize,
    },
    /// A list exceeds the limit on its number of items.
    TooMany {
        /// The number of items.
        count: usize,
        /// The maximum number of items.
        limit: usize,
    },
    /// A required name is empty.
    EmptyName,
    /// The value cannot be encoded.
    Encode(String),
    /// The bytes are not the encoding of a value.
    Decode(String),
    /// This many bytes follow the encoded value.
    TrailingBytes(usize),
}

/// The result type of all codecs.
pub type Result<T> = std::result::Result<T, WireError>;

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLarge { size, limit } => {
                write!(formatter, "{size} bytes exceed the limit of {limit}")
            }
            WireError::TooMany { count, limit } => {
                write!(formatter, "{count} items exceed the limit of {limit}")
            }
            WireError::EmptyName => formatter.write_str("a required name is empty"),
            WireError::Encode(reason) => write!(formatter, "cannot encode: {reason}"),
            WireError::Decode(reason) => write!(formatter, "cannot decode: {reason}"),
            WireError::TrailingBytes(count) => {
                write!(formatter, "{count} bytes follow the encoded value")
            }
        }
    }
}

impl std::error::Error for WireError {}
