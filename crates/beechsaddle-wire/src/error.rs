//! The `error` module provides the errors of all codecs.

use std::fmt;

/// What a codec cannot do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The encoded value is larger than the limit, in bytes.
    TooLarge {
        /// How large it is.
        size: usize,
        /// How large it may be.
        limit: usize,
    },
    /// A list has more items than the limit.
    TooMany {
        /// How many it has.
        count: usize,
        /// How many it may have.
        limit: usize,
    },
    /// A name that stands for something is empty.
    EmptyName,
    /// The value cannot be encoded.
    Encode(String),
    /// The bytes are not the encoding of a value.
    Decode(String),
    /// Bytes follow the value.
    TrailingBytes(usize),
}

/// The outcome of a codec.
pub type Result<T> = std::result::Result<T, WireError>;

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::TooLarge { size, limit } => {
                write!(formatter, "{size} bytes are more than the limit of {limit}")
            }
            WireError::TooMany { count, limit } => {
                write!(
                    formatter,
                    "{count} items are more than the limit of {limit}"
                )
            }
            WireError::EmptyName => formatter.write_str("a name is empty"),
            WireError::Encode(reason) => write!(formatter, "cannot encode: {reason}"),
            WireError::Decode(reason) => write!(formatter, "cannot decode: {reason}"),
            WireError::TrailingBytes(count) => {
                write!(formatter, "{count} bytes follow the encoded value")
            }
        }
    }
}

impl std::error::Error for WireError {}
