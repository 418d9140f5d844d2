//! The `text_codec` module provides names, texts and list lengths with their limits.

use super::limits::TEXT_BYTES_MAX;
use crate::error::{Result, WireError};

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> Self {
        WireError::Decode(error.to_string())
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(error: capnp::NotInSchema) -> Self {
        WireError::Decode(error.to_string())
    }
}

/// Checks a name, which has to stand for something, before it is written.
pub(super) fn check_name(name: &str) -> Result<&str> {
    if name.is_empty() {
        return Err(WireError::EmptyName);
    }
    check_text(name)
}

/// Checks a text before it is written.
pub(super) fn check_text(text: &str) -> Result<&str> {
    check_size(text.len(), TEXT_BYTES_MAX)?;
    Ok(text)
}

/// Checks the size of something in bytes.
pub(super) fn check_size(size: usize, limit: usize) -> Result<()> {
    if size > limit {
        return Err(WireError::TooLarge { size, limit });
    }
    Ok(())
}

/// Checks the length of a list and gives it as the schema wants it.
pub(super) fn check_count(count: usize, limit: usize) -> Result<u32> {
    match u32::try_from(count) {
        Ok(length) if count <= limit => Ok(length),
        Ok(_) | Err(_) => Err(WireError::TooMany { count, limit }),
    }
}

/// Reads a text.
pub(super) fn read_text(reader: capnp::text::Reader<'_>) -> Result<&str> {
    check_size(reader.len(), TEXT_BYTES_MAX)?;
    reader
        .to_str()
        .map_err(|error| WireError::Decode(error.to_string()))
}

/// Reads a name. An empty one is an error: a structure whose bytes were cut off reads as empty
/// names and zeros, and must not pass for a message about a router or budget without a name.
pub(super) fn read_name(reader: capnp::text::Reader<'_>) -> Result<&str> {
    if reader.is_empty() {
        return Err(WireError::EmptyName);
    }
    read_text(reader)
}
