//! The `suspect_key` module provides the identity of what may crash targets: a request, or a part of
//! prompts, across attempts and routers.

use std::collections::BTreeSet;
use std::fmt;

use super::PromptShape;
use crate::hash::WideHash;

/// The first four bytes of the keys of prompt parts. Reports of crashes need no field for the kind,
/// so that routers of earlier versions pass those of parts on. One request in four billion has a hash
/// that begins so, and is counted as a part.
const PART_TAG: u32 = u32::from_be_bytes(*b"part");

/// Number of bits that follow the tag in the key of a prompt part.
const PART_HASH_BITS: u32 = 96;

/// The largest number of parts of one prompt that may be suspected. Prompts have a few; a caller
/// may send hundreds.
const PARTS_MAX: usize = 64;

/// What a key stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKind {
    /// All requests with the same path, caller and body.
    Request,
    /// All requests with this part in their prompts.
    Part,
}

impl SuspectKind {
    /// Returns the name of the kind in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            SuspectKind::Request => "request",
            SuspectKind::Part => "part",
        }
    }
}

/// A 128-bit hash of what may crash targets.
///
/// Callers give each attempt its own id and may send it to any router; only the content stays the
/// same. Neither a body nor a key can be recovered from the hash, so it may appear in logs and in
/// the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey(u128);

impl SuspectKey {
    /// Returns the key of a request: a hash of its path with query, its caller and its body. `caller`
    /// is its workspace, or empty if unknown.
    pub fn for_request(path: &str, caller: &str, body: &[u8]) -> Self {
        let mut hash = WideHash::default();
        hash.add(path.as_bytes());
        hash.add(caller.as_bytes());
        hash.add(body);
        SuspectKey(hash.finish())
    }

    /// Returns a number that spreads requests evenly, the same for each attempt.
    pub fn spread(&self) -> u64 {
        self.0 as u64
    }

    /// Returns the key of a prompt part. Parts with equal ids have equal text, so the key is the same
    /// for all callers and services.
    pub fn for_part(id: &str) -> Self {
        let mut hash = WideHash::default();
        hash.add(id.as_bytes());
        let tag = u128::from(PART_TAG) << PART_HASH_BITS;
        SuspectKey(tag | (hash.finish() >> (u128::BITS - PART_HASH_BITS)))
    }

    /// Returns the keys of the parts of a prompt that other requests may share: all but the last.
    pub fn for_shared_parts(prompt: &PromptShape) -> Vec<Self> {
        let shared = prompt.parts.len().saturating_sub(1).min(PARTS_MAX);
        let parts = prompt.parts[..shared].iter();
        let keys: BTreeSet<_> = parts.map(|part| SuspectKey::for_part(&part.id)).collect();
        keys.into_iter().collect()
    }

    /// Returns what the key stands for.
    pub fn kind(self) -> SuspectKind {
        match self.0 >> PART_HASH_BITS == u128::from(PART_TAG) {
            true => SuspectKind::Part,
            false => SuspectKind::Request,
        }
    }

    /// Decodes the output of [`to_bytes`](Self::to_bytes); `None` if the length differs.
    pub fn try_from_bytes(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.try_into().ok()?;
        Some(SuspectKey(u128::from_be_bytes(bytes)))
    }

    /// Returns the key in big-endian byte order.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Parses the hexadecimal form; `None` if it is malformed.
    pub fn try_parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok()?;
        is_hex.then_some(SuspectKey(number))
    }
}

impl fmt::Display for SuspectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}
