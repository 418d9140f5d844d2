//! The `text_codec` module provides the checks of names, texts and list lengths.

use std::str::Utf8Error;

use super::limits::TEXT_BYTES_MAX;
use crate::error::{Result, WireError};

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> Self {
        WireError::Decode(error.to_string())
    }
}

impl From<Utf8Error> for WireError {
    fn from(error: Utf8Error) -> Self {
        WireError::Decode(error.to_string())
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(error: capnp::NotInSchema) -> Self {
        WireError::Decode(error.to_string())
    }
}

/// Checks a name, which must not be empty, before it is encoded.
pub(super) fn check_name(name: &str) -> Result<&str> {
    if name.is_empty() {
        return Err(WireError::EmptyName);
    }
    check_text(name)
}

/// Checks the length of a text before it is encoded.
pub(super) fn check_text(text: &str) -> Result<&str> {
    check_size(text.len(), TEXT_BYTES_MAX)?;
    Ok(text)
}

/// Checks a size against a limit, in bytes.
pub(super) fn check_size(size: usize, limit: usize) -> Result<()> {
    if size > limit {
        return Err(WireError::TooLarge { size, limit });
    }
    Ok(())
}

/// Checks the length of a list and returns it in the schema's type.
pub(super) fn check_count(count: usize, limit: usize) -> Result<u32> {
    match u32::try_from(count) {
        Ok(length) if count <= limit => Ok(length),
        Ok(_) | Err(_) => Err(WireError::TooMany { count, limit }),
    }
}

/// Decodes a text.
pub(super) fn read_text(reader: capnp::text::Reader<'_>) -> Result<&str> {
    check_size(reader.len(), TEXT_BYTES_MAX)?;
    reader
        .to_str()
        .map_err(|error| WireError::Decode(error.to_string()))
}

/// Decodes a name; fails if it is empty. A structure with truncated bytes reads as empty names and
/// zeros, and must not be taken for a message about a router or budget without a name.
pub(super) fn read_name(reader: capnp::text::Reader<'_>) -> Result<&str> {
    if reader.is_empty() {
        return Err(WireError::EmptyName);
    }
    read_text(reader)
}
