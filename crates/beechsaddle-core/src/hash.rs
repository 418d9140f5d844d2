//! The `hash` module provides the one hash that placement and sharding use.

use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hashes text the same way on every router and in every version.
pub fn stable_hash(text: impl AsRef<[u8]>) -> u64 {
    xxh3_64(text.as_ref())
}

/// A hash of 128 bits over several parts, the same on every router and in every version.
#[derive(Default)]
pub struct WideHash {
    state: Xxh3,
}

impl WideHash {
    /// Adds a part. Its length counts too, so that parts do not run into each other.
    pub fn add(&mut self, part: &[u8]) {
        self.state.update(&(part.len() as u64).to_le_bytes());
        self.state.update(part);
    }

    /// The hash of all parts.
    pub fn finish(&self) -> u128 {
        self.state.digest128()
    }
}

/// The shard of `shard_count` that `name` belongs to; zero shards count as one.
pub fn shard_of(name: impl AsRef<str>, shard_count: u32) -> u32 {
    let count = u64::from(shard_count.max(1));
    (stable_hash(name.as_ref()) % count) as u32
}

/// The weight of `member` for `name` in rendezvous hashing; the highest weight is picked.
pub fn rendezvous_weight(name: &str, member: &str) -> u64 {
    let mut text = Vec::with_capacity(name.len() + member.len() + 1);
    text.extend_from_slice(name.as_bytes());
    text.push(0);
    text.extend_from_slice(member.as_bytes());
    stable_hash(text)
}

/// How many bytes of a prompt one prefix block covers.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes of the full leading blocks of a prompt, each covering all blocks before it, so that equal
/// hashes mean equal prefixes.
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
