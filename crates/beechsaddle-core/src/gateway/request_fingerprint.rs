//! The `request_fingerprint` module provides the identity of a request over all its attempts and all routers.

use std::fmt;

use crate::hash::WideHash;

/// Which request an attempt carries: its path with query, its caller and its body, hashed to 128 bits.
///
/// Callers give each attempt an id of its own, and send it to any router. What stays the same is what they ask for.
/// Neither the body nor a key can be read from it, so that it may stand in logs and in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(u128);

impl RequestFingerprint {
    /// The fingerprint of a request; `caller` is its workspace, or empty where none is known.
    pub fn new(path: &str, caller: &str, body: &[u8]) -> Self {
        let mut hash = WideHash::default();
        hash.add(path.as_bytes());
        hash.add(caller.as_bytes());
        hash.add(body);
        RequestFingerprint(hash.finish())
    }

    /// Reads what [`to_bytes`](Self::to_bytes) gave; `None` for another length.
    pub fn try_from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.try_into().ok()?;
        Some(RequestFingerprint(u128::from_be_bytes(bytes)))
    }

    /// The fingerprint as bytes, the highest first.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Reads the hexadecimal form; `None` where it is none.
    pub fn try_parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        is_hex.then_some(RequestFingerprint(number))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
