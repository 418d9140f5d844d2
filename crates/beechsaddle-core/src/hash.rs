//! The `hash` module provides the hash functions for placement and sharding.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hashes text identically on every router and in every version.
pub fn stable_hash(text: impl AsRef<[u8]>) -> u64 {
    xxh3_64(text.as_ref())
}

/// A 128-bit hash over several parts, identical on every router and in every version.
#[derive(Default)]
pub struct WideHash {
    state: Xxh3,
}

impl WideHash {
    /// Adds a part. Its length is hashed too, so that parts have distinct boundaries.
    pub fn add(&mut self, part: &[u8]) {
        self.state.update(&(part.len() as u64).to_le_bytes());
        self.state.update(part);
    }

    /// Returns the hash of all parts.
    pub fn finish(&self) -> u128 {
        self.state.digest128()
    }
}

/// Returns the shard of `name` among `shard_count`; zero shards count as one.
pub fn shard_of(name: impl AsRef<str>, shard_count: u32) -> u32 {
    let count = u64::from(shard_count.max(1));
    (stable_hash(name.as_ref()) % count) as u32
}

/// Returns the rendezvous-hashing weight of `member` for `name`; the highest weight wins.
pub fn rendezvous_weight(name: &str, member: &str) -> u64 {
    let mut text = Vec::with_capacity(name.len() + member.len() + 1);
    text.extend_from_slice(name.as_bytes());
    text.push(0);
    text.extend_from_slice(member.as_bytes());
    stable_hash(text)
}

/// The number of prompt bytes in one prefix block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Returns hashes of the full leading blocks of a prompt, each covering all blocks before it, so
/// that equal hashes mean equal prefixes.
pub fn prefix_chain(prompt: impl AsRef<[u8]>) -> Vec<u64> {
    let mut chain = Vec::new();
    let mut previous = 0_u64;
    for block in prompt.as_ref().chunks_exact(PREFIX_BLOCK_BYTES) {
        let mut covered = Vec::with_capacity(PREFIX_BLOCK_BYTES + 8);
        covered.extend_from_slice(&previous.to_le_bytes());
        covered.extend_from_slice(block);
        previous = stable_hash(covered);
        chain.push(previous);
    }
    chain
}
