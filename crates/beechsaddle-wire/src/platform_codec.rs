//! The `platform_codec` module provides the CBOR encoding of the objects on the platform.

use beechsaddle_core::objects::PlatformObject;

use crate::error::{Result, WireError};

/// The maximum size of a value on the platform, in bytes (`docs/API.md`).
pub const OBJECT_BYTES_MAX: usize = 1_000_000;

/// The maximum nesting depth. The deepest object, a catalogue base, needs less than a third of it.
const NESTING_MAX: usize = 48;

/// Encodes an object; fails if it is larger than [`OBJECT_BYTES_MAX`].
pub fn encode_object(object: &PlatformObject) -> Result<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(object, &mut bytes)
        .map_err(|error| WireError::Encode(error.to_string()))?;
    check_size(bytes.len())?;
    Ok(bytes)
}

/// Decodes an object. The bytes have to hold exactly one object.
pub fn decode_object(bytes: &[u8]) -> Result<PlatformObject> {
    check_size(bytes.len())?;
    let mut remaining = bytes;
    // Without the limit, a value of nothing but nested arrays would overflow the stack and abort
    // every router that reads it, again after each restart.
    let object = ciborium::de::from_reader_with_recursion_limit(&mut remaining, NESTING_MAX)
        .map_err(|error| WireError::Decode(error.to_string()))?;
    if !remaining.is_empty() {
        return Err(WireError::TrailingBytes(remaining.len()));
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
