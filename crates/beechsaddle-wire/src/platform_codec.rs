//! The `platform_codec` module provides the CBOR form of the objects at the platform.

use beechsaddle_core::objects::PlatformObject;

use crate::error::{Result, WireError};

/// The platform holds values up to a megabyte (`docs/API.md`).
pub const OBJECT_BYTES_MAX: usize = 1_000_000;

/// How deeply values may nest. The deepest object, a catalogue base, needs less than a third of it.
const NESTING_MAX: usize = 48;

/// Encodes an object, unless it is larger than [`OBJECT_BYTES_MAX`].
pub fn encode_object(object: &PlatformObject) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(object, &mut bytes)
        .map_err(|error| WireError::Encode(error.to_string()))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes an object. Bytes that hold anything else than exactly one object are an error.
pub fn decode_object(bytes: &[u8]) -> Result<PlatformObject> {
    check_size(bytes.len())?;
    let mut rest = bytes;
    // A value of nothing but opened arrays would recurse until the stack ends and abort the router,
    // and every router that reads it after a restart. The limit makes such a value an error.
    let object = ciborium::de::from_reader_with_recursion_limit(&mut rest, NESTING_MAX)
        .map_err(|error| WireError::Decode(error.to_string()))?;
    if !rest.is_empty() {
        return Err(WireError::TrailingBytes(rest.len()));
    }
    Ok(object)
}

fn check_size(size: usize) -> Result<()> {
    if size > OBJECT_BYTES_MAX {
        return Err(WireError::TooLarge {
            size,
            limit: OBJECT_BYTES_MAX,
        });
    }
    Ok(())
}
