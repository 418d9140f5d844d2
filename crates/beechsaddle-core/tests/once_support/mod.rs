//! The `once_support` module provides a bench of routers around a fake store.

#![allow(dead_code, unused_imports)]

mod bench_faults;
mod fake_store;
mod once_bench;
mod parcel;
mod router_node;

use beechsaddle_core::platform::PlatformCall;
use beechsaddle_core::prelude::*;

pub use fake_store::FakeStore;
pub use once_bench::OnceBench;
pub use parcel::{NOBODY, Parcel};

/// The key that tests send.
pub fn key(text: &str) -> RequestKey {
    RequestKey {
        workspace: WorkspaceName::new("marktplatz"),
        text: KeyText::new(text),
        origin: KeyOrigin::Caller,
    }
}

/// Whether a parcel is a write on its way to the store.
pub fn is_write(parcel: &Parcel) -> bool {
    matches!(
        parcel,
        Parcel::Call {
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
