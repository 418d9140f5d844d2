//! One tenant sends short resumable streams whose attempt ids are long, but well inside the limit on heads.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, StoreStandIn,
    TargetStandIn, call,
};
use tokio::time::{interval, sleep, timeout};

use crate::Verdict;
use crate::fleet::{MEMORY_MB, Record, Router};

const KEY: &str = "key-of-acme";
const ZONES: [&str; 3] = ["split-hala", "rijeka-hala", "zadar-hala"];
/// Bytes of each attempt id; heads may have 16,384 bytes.
const LONG_ID_BYTES: usize = 16_000;
const SHORT_ID_BYTES: usize = 16;
const STREAMS_PER_S: u64 = 130;
const SPAN: Duration = Duration::from_secs(75);

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = StoreStandIn::try_start().await.expect("a store");
    let mut targets = Vec::new();
    for (service, name, zone) in [
        ("engine", "engine-1", ZONES[0]),
        ("engine", "engine-2", ZONES[1]),
        ("engine", "engine-3", ZONES[2]),
        ("plain", "plain-1", ZONES[0]),
    ] {
        let target = TargetStandIn::try_start(name).await.expect("a target");
        let mut entry = target.entry(service, zone, EntryState::Ready);
        entry["slots"] = 64.into();
        store.put("servers", name, &entry);
        targets.push(target);
    }
    let mut resumable = RouteDraft::new("digest", "/stream/on/", DraftKind::Stream, "engine");
    resumable.is_resumable = true;
    resumable.timeout_ms = 12_000;
    let draft = ConfigDraft {
        version: 1,
        routes: vec![
            resumable,
            RouteDraft::new("offer", "/offer/", DraftKind::Idempotent, "plain"),
        ],
        workspaces: vec![("acme", KEY, 1_000_000_000)],
        limits: LimitsDraft {
            body_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            ..LimitsDraft::default()
        },
    };
    store.put_config(&draft);
    let mut routers: Vec<Router> = ZONES
        .iter()
        .map(|zone| Router::start(folder, store.address(), &format!("front-{zone}-1"), zone, ""))
        .collect();
    for router in &routers {
        if !router.wait_ready().await {
            record.say(format!("{} is not ready", router.host));
            return Verdict::CouldNotRun;
        }
    }
    sleep(Duration::from_secs(3)).await;
    let id_bytes = match trouble {
        true => LONG_ID_BYTES,
        false => SHORT_ID_BYTES,
    };
    record.say(format!("{STREAMS_PER_S} streams a second, each of three events, ids of {id_bytes} bytes"));
    let done = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(AtomicU64::new(0));
    let mut is_broken = false;
    let mut ticks = interval(Duration::from_micros(1_000_000 / STREAMS_PER_S));
    let started = Instant::now();
    let mut number = 0_u64;
    let mut sampled = Instant::now();
    while started.elapsed() < SPAN && !is_broken {
        ticks.tick().await;
        number += 1;
        let address = routers[(number % 3) as usize].address;
        let (answered, lost) = (Arc::clone(&done), Arc::clone(&failed));
        tokio::spawn(async move {
            let mut request = CallRequest::new("POST /stream/on/1", &attempt_id(number, id_bytes), KEY);
            request.tokens = Some((10, 9));
            request.body = b"digest".to_vec();
            let reply = timeout(Duration::from_secs(5), call(address, &request)).await;
            match reply {
                Ok(Ok(reply)) if reply.status == 200 && reply.is_complete => {
                    answered.fetch_add(1, Ordering::Relaxed)
                }
                _ => lost.fetch_add(1, Ordering::Relaxed),
            };
        });
        if sampled.elapsed() < Duration::from_millis(500) {
            continue;
        }
        sampled = Instant::now();
        let memory: Vec<u64> = routers.iter().map(Router::resident_kb).collect();
        record.add(format!(
            "sent {number} answered {} failed {} resident KB {memory:?}",
            done.load(Ordering::Relaxed),
            failed.load(Ordering::Relaxed)
        ));
        for router in &mut routers {
            if router.has_ended() {
                record.say(format!("{} has ended by itself", router.host));
                is_broken = true;
            } else if router.resident_kb() > MEMORY_MB * 1_024 {
                record.say(format!(
                    "{} takes {} KB of {MEMORY_MB} MB: the platform kills it",
                    router.host,
                    router.resident_kb()
                ));
                is_broken = true;
            }
        }
    }
    let memory: Vec<u64> = routers.iter().map(Router::resident_kb).collect();
    record.say(format!(
        "sent {number} answered {} failed {} resident KB {memory:?}",
        done.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    match is_broken {
        true => Verdict::Broken,
        false if done.load(Ordering::Relaxed) * 10 < number * 9 => Verdict::CouldNotRun,
        false => Verdict::Held,
    }
}

fn attempt_id(number: u64, bytes: usize) -> String {
    let number = format!("{number:016x}");
    number.repeat(bytes / number.len())
}
