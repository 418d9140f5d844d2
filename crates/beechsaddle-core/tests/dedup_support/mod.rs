//! The `dedup_support` module provides a bench of routers with a fake store.

#![allow(dead_code, unused_imports)]

mod bench_faults;
mod dedup_bench;
mod envelope;
mod fake_store;
mod router_node;

use beechsaddle_core::platform::PlatformCall;
use beechsaddle_core::prelude::*;

pub use dedup_bench::DedupBench;
pub use envelope::{Envelope, NO_ROUTER};
pub use fake_store::FakeStore;

/// Returns a caller's key of the test workspace.
pub fn key(text: &str) -> RequestKey {
    RequestKey {
        workspace: WorkspaceName::new("marktplatz"),
        text: KeyText::new(text),
        origin: KeyOrigin::Caller,
    }
}

/// Whether an envelope is a write to the store.
pub fn is_write(envelope: &Envelope) -> bool {
    matches!(
        envelope,
        Envelope::Call {
            call: PlatformCall::Write { .. },
            ..
        }
    )
}

/// Compares a session with its golden file, or writes the file when `UPDATE_GOLDEN` is set.
pub fn check_golden(name: &str, transcript: &[String]) {
    let path = format!("{}/tests/golden/{name}.jsonl", env!("CARGO_MANIFEST_DIR"));
    let text = transcript.join("\n") + "\n";
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        std::fs::write(&path, text).expect("the golden file can be written");
        return;
    }
    let golden = std::fs::read_to_string(&path).expect("the golden file can be read");
    for (number, (left, right)) in golden.lines().zip(text.lines()).enumerate() {
        assert_eq!(left, right, "{name} line {}", number + 1);
    }
    assert_eq!(golden.lines().count(), text.lines().count(), "{name}");
}
