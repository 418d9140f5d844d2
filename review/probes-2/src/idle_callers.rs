//! Many callers keep their connections open after a few large requests that they sent one behind the other.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, StoreStandIn,
    TargetStandIn, call,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::Verdict;
use crate::fleet::{MEMORY_MB, Record, Router};

const KEY: &str = "key-of-acme";
const ZONES: [&str; 3] = ["split-hala", "rijeka-hala", "zadar-hala"];
/// How many of the three routers the crowd connects to.
const CROWDED: usize = 2;
/// Size of an attempt id; heads may have 16,384 bytes.
const LONG_ID_BYTES: usize = 16_000;
const SHORT_ID_BYTES: usize = 16;
/// Requests that a caller sends one behind the other before it reads the answers.
const REQUESTS: usize = 3;
/// Callers of the crowd for each of these routers.
const CALLERS: usize = 1_900;
const SPAN: Duration = Duration::from_secs(60);
/// Callers that did not get a connection.
static UNCONNECTED: AtomicU64 = AtomicU64::new(0);
/// The rule: processes that end by themselves three times in the day.
const ENDS_MAX: u64 = 3;

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = StoreStandIn::try_start().await.expect("a store");
    let mut targets = Vec::new();
    for (service, name, zone) in [
        ("engine", "engine-1", ZONES[0]),
        ("engine", "engine-2", ZONES[1]),
        ("plain", "plain-1", ZONES[0]),
        ("plain", "plain-2", ZONES[2]),
    ] {
        let target = TargetStandIn::try_start(name).await.expect("a target");
        store.put_target(&target, service, zone, EntryState::Ready);
        targets.push(target);
    }
    store.put_config(&draft());
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
    record.say(format!(
        "{CALLERS} callers at one of {CROWDED} routers after the other, with {REQUESTS} requests each and ids of {id_bytes} bytes"
    ));
    let ordinary = Ordinary::start(&routers);
    let mut crowds: Vec<Vec<AbortHandle>> =
        routers.iter().map(|_| Vec::new()).collect();
    // One crowd at a time, so that this process needs no more descriptors than a router.
    let mut crowded = 0;
    crowds[crowded] = start_crowd(&routers[crowded], id_bytes);
    let mut ends = [0_u64; ZONES.len()];
    let mut most = [0_u64; ZONES.len()];
    let started = Instant::now();
    let mut crowds_at = Instant::now();
    let limit_kb = MEMORY_MB * 1_024;
    while started.elapsed() < SPAN && ends[..CROWDED].iter().any(|ends| *ends < ENDS_MAX) {
        sleep(Duration::from_millis(50)).await;
        for (index, router) in routers.iter_mut().enumerate() {
            let resident = router.resident_kb();
            most[index] = most[index].max(resident);
            if !router.has_ended() && resident <= limit_kb {
                continue;
            }
            ends[index] += 1;
            record.say(format!(
                "{} takes {resident} KB of {limit_kb}: the platform kills it, for the {}. time",
                router.host, ends[index]
            ));
            router.restart();
            let is_ready = router.wait_ready().await;
            record.add(format!("{} is ready again: {is_ready}", router.host));
            if index == crowded {
                crowds[index].drain(..).for_each(|caller| caller.abort());
            }
        }
        if ends[crowded] >= ENDS_MAX && crowded + 1 < CROWDED {
            crowded += 1;
        }
        if crowds[crowded].is_empty() {
            crowds_at = Instant::now();
            crowds[crowded] = start_crowd(&routers[crowded], id_bytes);
        }
        // Connections that the router closed are made again, at the next router.
        if crowds_at.elapsed() > Duration::from_secs(25) {
            crowds[crowded].drain(..).for_each(|caller| caller.abort());
            crowded = (crowded + 1).min(CROWDED - 1);
        }
    }
    crowds.iter().flatten().for_each(AbortHandle::abort);
    record.say(format!("most resident KB {most:?}, ends {ends:?}"));
    let (answered, unanswered) = ordinary.finish().await;
    record.say(format!("ordinary calls: {answered} answered, {unanswered} without an answer"));
    let is_broken = ends.iter().filter(|ends| **ends >= ENDS_MAX).count() >= 2;
    match is_broken {
        true => Verdict::Broken,
        // Too few descriptors, for example.
        false if UNCONNECTED.load(Ordering::Relaxed) > CALLERS as u64 / 10 => Verdict::CouldNotRun,
        false => Verdict::Held,
    }
}

fn draft() -> ConfigDraft {
    let mut digest = RouteDraft::new("digest", "/stream/on/", DraftKind::Stream, "engine");
    digest.is_resumable = true;
    digest.timeout_ms = 12_000;
    ConfigDraft {
        version: 1,
        routes: vec![
            digest,
            RouteDraft::new("offer", "/offer/", DraftKind::Idempotent, "plain"),
        ],
        workspaces: vec![("acme", KEY, 1_000_000_000)],
        limits: LimitsDraft {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
    }
}

fn start_crowd(router: &Router, id_bytes: usize) -> Vec<AbortHandle> {
    let address = router.address;
    let callers = (0..CALLERS).map(|number| {
        let id = format!("{number:016x}").repeat(id_bytes / 16);
        let caller = tokio::spawn(async move {
            // Some hundreds of callers a second.
            sleep(Duration::from_millis(2 * number as u64)).await;
            let request = CallRequest::new("GET /offer/1", &id, KEY);
            let Ok(mut stream) = TcpStream::connect(address).await else {
                UNCONNECTED.fetch_add(1, Ordering::Relaxed);
                return;
            };
            if stream.write_all(&request.bytes().repeat(REQUESTS)).await.is_err() {
                return;
            }
            // The answers are read, and the connection stays open.
            let mut part = vec![0; 4_096];
            while stream.read(&mut part).await.is_ok_and(|count| count > 0) {}
        });
        caller.abort_handle()
    });
    callers.collect()
}

/// Ordinary callers, one call after another at each router.
struct Ordinary {
    answered: Arc<AtomicU64>,
    unanswered: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl Ordinary {
    fn start(routers: &[Router]) -> Self {
        let ordinary = Ordinary {
            answered: Arc::default(),
            unanswered: Arc::default(),
            is_over: Arc::default(),
        };
        for router in routers {
            let address = router.address;
            let answered = Arc::clone(&ordinary.answered);
            let unanswered = Arc::clone(&ordinary.unanswered);
            let is_over = Arc::clone(&ordinary.is_over);
            tokio::spawn(async move {
                while !is_over.load(Ordering::Relaxed) {
                    let request = CallRequest::new("GET /offer/1", "ordinary", KEY);
                    let reply = timeout(Duration::from_secs(5), call(address, &request)).await;
                    match reply {
                        Ok(Ok(reply)) if reply.is_complete => &answered,
                        _ => &unanswered,
                    }
                    .fetch_add(1, Ordering::Relaxed);
                    sleep(Duration::from_millis(50)).await;
                }
            });
        }
        ordinary
    }

    async fn finish(self) -> (u64, u64) {
        self.is_over.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(100)).await;
        let answered = self.answered.load(Ordering::Relaxed);
        (answered, self.unanswered.load(Ordering::Relaxed))
    }
}
