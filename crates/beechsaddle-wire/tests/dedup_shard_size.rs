//! Tests of the stored size of dedup shards.

use beechsaddle_core::dedup::{DedupRecord, DedupShard};
use beechsaddle_core::names::{
    CallId, KeyOrigin, KeyText, RequestKey, RouterIncarnation, WorkspaceName,
};
use beechsaddle_core::objects::PlatformObject;

/// Returns the encoded size of a shard of equal records with names of the given lengths and maximal
/// numbers.
fn shard_bytes(count: usize, workspace: usize, key: usize, host: usize, released: bool) -> usize {
    let record = DedupRecord {
        key: RequestKey {
            workspace: WorkspaceName::new("w".repeat(workspace)),
            text: KeyText::new("k".repeat(key)),
            origin: KeyOrigin::Caller,
        },
        call: CallId {
            router: RouterIncarnation::new("h".repeat(host).as_str(), u64::MAX),
            number: u64::MAX,
        },
        age_ms: u64::MAX,
        released,
    };
    let object = PlatformObject::Dedup(DedupShard {
        write_id: "host@1700000000000/1".to_owned(),
        records: vec![record; count],
    });
    let mut bytes = Vec::new();
    ciborium::into_writer(&object, &mut bytes).expect("the shard can be encoded");
    bytes.len()
}

// The core estimates 140 bytes per record besides its names and adds no key to a shard of 700,000
// bytes or more. If records were larger, a shard could exceed the platform's limit on values, and
// none of its keys could be written any more.
#[test]
fn shard_bytes_within_estimate() {
    for (workspace, key, host) in [(10, 36, 12), (64, 128, 64), (1, 1, 1)] {
        for released in [false, true] {
            let count = 1_000;
            let estimated = count * (140 + workspace + key + host);
            let stored = shard_bytes(count, workspace, key, host, released);
            println!(
                "dedup_shard workspace={workspace} key={key} host={host} released={released} \
                 bytes_a_record={}",
                stored / count
            );
            assert!(
                stored <= estimated,
                "{stored} bytes stored, {estimated} estimated"
            );
        }
    }
}

#[test]
fn shard_bytes_full() {
    let stored = shard_bytes(3_000, 16, 64, 16, false);
    println!("dedup_shard records=3000 bytes={stored}");
    assert!(stored < 1_000_000);
}
