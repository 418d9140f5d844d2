//! Tests of the interpretation of the platform's responses.

mod platform_support;

use std::time::{Duration, Instant};

use beechsaddle_core::platform::{PlatformCall, PlatformReply, WriteGuard};
use beechsaddle_core::prelude::*;
use beechsaddle_lab::stand_in::platform::{PlatformFault, PlatformFaults, RateLimits};
use beechsaddle_lab::stand_in::{PlatformOptions as ServerOptions, PlatformServer};
use beechsaddle_wire::OBJECT_BYTES_MAX;
use platform_support::*;

fn server() -> PlatformServer {
    PlatformServer::try_start(ServerOptions::default()).unwrap()
}

#[tokio::test]
async fn write_absent_then_versions() {
    let server = server();
    let client = client(&options(&server));
    assert_eq!(client.read("fleet/layout").await, PlatformReply::Absent);

    let written = client
        .write("fleet/layout", layout(4), WriteGuard::Absent)
        .await;
    assert_eq!(written, PlatformReply::Written { version: 1 });
    let read = client.read("fleet/layout").await;
    assert_eq!(found_version(&read), 1);

    let raced = client
        .write("fleet/layout", layout(5), WriteGuard::Absent)
        .await;
    assert_eq!(raced, PlatformReply::Conflict);
    let next = client
        .write("fleet/layout", layout(6), WriteGuard::Version(1))
        .await;
    assert_eq!(next, PlatformReply::Written { version: 2 });
    let stale = client
        .write("fleet/layout", layout(7), WriteGuard::Version(1))
        .await;
    assert_eq!(stale, PlatformReply::Conflict);
}

#[tokio::test]
async fn write_version_of_missing_object() {
    let server = server();
    let client = client(&options(&server));
    let reply = client
        .write("fleet/layout", layout(1), WriteGuard::Version(3))
        .await;
    assert_eq!(reply, PlatformReply::Conflict);
}

#[tokio::test]
async fn delete_by_version() {
    let server = server();
    let client = client(&options(&server));
    server.put("a/1", &layout(1)).unwrap();
    assert_eq!(client.delete("a/1", 9).await, PlatformReply::Conflict);
    assert_eq!(client.delete("a/1", 1).await, PlatformReply::Deleted);
    assert_eq!(client.delete("a/1", 1).await, PlatformReply::Absent);
    assert_eq!(client.read("a/1").await, PlatformReply::Absent);
}

#[tokio::test]
async fn list_pages_in_key_order() {
    let server = server();
    let client = client(&options(&server));
    for number in 0..1001 {
        server
            .put_bytes(&format!("a/{number:04}"), Vec::new())
            .unwrap();
    }
    server.put("b/1", &layout(1)).unwrap();

    let PlatformReply::Listed { objects, revision } = client.list("a/", None).await else {
        panic!("no list");
    };
    assert_eq!((objects.len(), revision), (1000, 1002));
    let last = objects.last().map(|object| object.key.clone());
    assert_eq!(last.as_ref().map(ObjectKey::as_str), Some("a/0999"));

    let PlatformReply::Listed { objects, .. } = client.list("a/", last).await else {
        panic!("no list");
    };
    let keys: Vec<&str> = objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(keys, ["a/1000"]);
}

#[tokio::test]
async fn watch_change_and_delete() {
    let server = server();
    let client = client(&options(&server));
    server.put("hosts/rijeka", &layout(1)).unwrap();
    server.put("other/x", &layout(2)).unwrap();
    let watch = |after| PlatformCall::Watch {
        prefix: ObjectKey::new("hosts/"),
        after,
    };

    let PlatformReply::Changed { objects, revision } = client.call(&watch(0)).await else {
        panic!("no change");
    };
    assert_eq!((objects.len(), revision), (1, 2));
    assert_eq!(objects[0].object.as_deref(), Some(&layout(1)));

    let call = watch(2);
    let waiting = client.call(&call);
    let deleting = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        client.delete("hosts/rijeka", 1).await
    };
    let (changed, deleted) = tokio::join!(waiting, deleting);
    assert_eq!(deleted, PlatformReply::Deleted);
    let PlatformReply::Changed { objects, revision } = changed else {
        panic!("no change");
    };
    assert_eq!((objects.len(), revision), (1, 3));
    assert_eq!(objects[0].object, None);
}

// A watch lasts longer than other calls may. With one time limit for all calls it would be cut off
// before every response, and changes would never be seen.
#[tokio::test]
async fn watch_outlasts_timeout() {
    let server = PlatformServer::try_start(ServerOptions {
        watch_wait_ms: 700,
        ..ServerOptions::default()
    })
    .unwrap();
    let client = client(&options(&server));
    let started = Instant::now();
    let reply = client
        .call(&PlatformCall::Watch {
            prefix: ObjectKey::new("hosts/"),
            after: 0,
        })
        .await;
    let nothing = PlatformReply::Changed {
        objects: Vec::new(),
        revision: 0,
    };
    assert_eq!(reply, nothing);
    assert!(started.elapsed() >= Duration::from_millis(700));
}

// One object under a watched prefix is damaged. If that invalidated the page, the watch would
// receive the same page forever, and no later change would take effect.
#[tokio::test]
async fn watch_skips_damaged_object() {
    let server = server();
    let client = client(&options(&server));
    server.put_bytes("hosts/a", b"damaged".to_vec()).unwrap();
    server.put("hosts/b", &layout(1)).unwrap();
    let reply = client
        .call(&PlatformCall::Watch {
            prefix: ObjectKey::new("hosts/"),
            after: 0,
        })
        .await;
    let PlatformReply::Changed { objects, revision } = reply else {
        panic!("no change");
    };
    let keys: Vec<&str> = objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!((keys, revision), (vec!["hosts/b"], 2));
    assert_eq!(client.read("hosts/a").await, PlatformReply::Invalid);
}

#[tokio::test]
async fn read_garbage_answer() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(faults(PlatformFault::Garbage));
    assert_eq!(client.read("a/1").await, PlatformReply::Invalid);
    assert_eq!(client.list("a/", None).await, PlatformReply::Invalid);
    // A write whose response has no version may have taken effect.
    let write = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(write, PlatformReply::Unknown);
}

#[tokio::test]
async fn read_malformed_key() {
    let server = server();
    let client = client(&options(&server));
    for key in ["a b", "a?x=1", "a%2fb", "a\r\nx: y", "straße"] {
        assert_eq!(client.read(key).await, PlatformReply::Invalid, "{key:?}");
    }
    assert_eq!(server.counters().reads, 0);
}

#[tokio::test]
async fn write_too_large() {
    let server = server();
    let client = client(&options(&server));
    let segment = beechsaddle_core::accounting::JournalSegment {
        write_id: "w".repeat(OBJECT_BYTES_MAX),
        ..Default::default()
    };
    let object = beechsaddle_core::objects::PlatformObject::Segment(segment);
    let reply = client.write("a/1", object, WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Invalid);
    assert_eq!(server.counters().writes, 0);
}

#[tokio::test]
async fn write_rate_limit() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(PlatformFaults {
        limits: RateLimits {
            writes_per_second: Some(2),
            reads_per_second: None,
        },
        ..PlatformFaults::default()
    });
    for key in ["a/1", "a/2"] {
        let reply = client.write(key, layout(1), WriteGuard::Absent).await;
        assert!(matches!(reply, PlatformReply::Written { .. }));
    }
    let reply = client.write("a/3", layout(1), WriteGuard::Absent).await;
    let PlatformReply::Throttled { retry_after_ms } = reply else {
        panic!("not throttled: {reply:?}");
    };
    assert!((1..=500).contains(&retry_after_ms));
    assert_eq!(client.read("a/3").await, PlatformReply::Absent);
}

#[tokio::test]
async fn write_unavailable() {
    let server = server();
    let client = client(&options(&server));
    server.set_faults(faults(PlatformFault::Unavailable { retry_after_ms: 40 }));
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    assert_eq!(reply, PlatformReply::Throttled { retry_after_ms: 40 });
}

// A faulty platform requests a retry delay of centuries. Without a limit the journal would never be
// written again, so the delay is capped at one minute.
#[tokio::test]
async fn write_unavailable_delay_is_capped() {
    let server = server();
    let client = client(&options(&server));
    let retry_after_ms = u64::MAX / 2;
    server.set_faults(faults(PlatformFault::Unavailable { retry_after_ms }));
    let reply = client.write("a/1", layout(1), WriteGuard::Absent).await;
    let retry_after_ms = 60_000;
    assert_eq!(reply, PlatformReply::Throttled { retry_after_ms });
}
