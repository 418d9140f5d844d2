//! The `object_bytes` module provides the measured sizes of platform objects.

use beechsaddle_core::objects::PlatformObject;
use beechsaddle_wire::{OBJECT_BYTES_MAX, encode_object};

use super::SlopeFit;
use super::sample_objects::{base_of, dedup_of, hosts_of, keys_of, ledger_of, segment_of};
use crate::key_values::KeyValues;

/// Numbers of items in the measured objects.
const COUNTS: [u64; 5] = [1, 10, 100, 300, 1_000];

/// The name of an object, the name of its items, and a constructor by number of items.
type ObjectKind = (&'static str, &'static str, fn(u64) -> PlatformObject);

const KINDS: [ObjectKind; 6] = [
    ("ledger_shard", "budget", ledger_of),
    ("ledger_shard", "billed_key", keys_of),
    ("journal_segment", "bill_and_mark", segment_of),
    ("dedup_shard", "record", dedup_of),
    ("catalogue_base", "workspace", base_of),
    ("host_list", "target", hosts_of),
];

/// Encodes objects of several sizes with the real codec and fits a line for each kind.
pub fn run(_seed: u64) -> Vec<String> {
    KINDS.into_iter().flat_map(measure_kind).collect()
}

fn measure_kind((object, item, make): ObjectKind) -> Vec<String> {
    let mut lines = Vec::new();
    let mut points = Vec::new();
    for count in COUNTS {
        let line = KeyValues::new().with("object", object).with(item, count);
        match encode_object(&make(count)) {
            Ok(bytes) => {
                points.push((count as f64, bytes.len() as f64));
                lines.push(line.with("bytes", bytes.len()).to_string());
            }
            Err(error) => lines.push(line.with("error", error).to_string()),
        }
    }
    if let Some(fit) = SlopeFit::of(&points) {
        let room = (OBJECT_BYTES_MAX as f64 - fit.intercept) / fit.slope;
        let line = KeyValues::new()
            .with("object", object)
            .joined(fit.pairs("bytes", item))
            .with("items_in_one_object", format_args!("{room:.0}"));
        lines.push(line.to_string());
    }
    lines
}
