//! Callers leave before the first event of their streams, and have sent the begin of a further request behind.

use std::path::Path;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, StoreStandIn,
    TargetStandIn, call,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

use crate::Verdict;
use crate::fleet::{Record, Router};

const KEY: &str = "key-of-acme";
const ZONES: [&str; 3] = ["split-hala", "rijeka-hala", "zadar-hala"];
const CALLERS: usize = 430;
/// When the callers leave.
const LEAVE_AFTER: Duration = Duration::from_millis(1_500);
/// How long the engines take to the first event: they read the prompts of all callers before.
const FIRST_EVENT: Duration = Duration::from_secs(6);
/// The rule: replicas that are still at work half a second after the close.
const GRACE: Duration = Duration::from_millis(500);

pub async fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = StoreStandIn::try_start().await.expect("a store");
    let mut engines = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let engine = TargetStandIn::try_start(&format!("engine-{index}")).await.expect("an engine");
        engine.set_response_delay(FIRST_EVENT);
        let mut entry = engine.entry("engine", zone, EntryState::Ready);
        entry["slots"] = 64.into();
        store.put("servers", engine.name(), &entry);
        engines.push(engine);
    }
    let plain = TargetStandIn::try_start("plain-0").await.expect("a target");
    store.put_target(&plain, "plain", ZONES[0], EntryState::Ready);
    let mut digest = RouteDraft::new("digest", "/stream/on/", DraftKind::Stream, "engine");
    digest.is_resumable = true;
    digest.attempts = 1;
    digest.timeout_ms = 12_000;
    store.put_config(&ConfigDraft {
        version: 1,
        routes: vec![
            digest,
            RouteDraft::new("offer", "/offer/", DraftKind::Idempotent, "plain"),
        ],
        workspaces: vec![("acme", KEY, 1_000_000_000)],
        limits: LimitsDraft {
            body_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
            ..LimitsDraft::default()
        },
    });
    let routers: Vec<Router> = ZONES
        .iter()
        .map(|zone| Router::start(folder, store.address(), &format!("front-{zone}-1"), zone, ""))
        .collect();
    for router in &routers {
        if !router.wait_ready().await {
            return Verdict::CouldNotRun;
        }
    }
    sleep(Duration::from_secs(3)).await;
    let address = routers[0].address;
    let what = match trouble {
        true => "and send the begin of a further request",
        false => "and send nothing more",
    };
    record.say(format!("{CALLERS} callers send a request at one router {what}, and leave after 1.5 s"));
    let leave_at = tokio::time::Instant::now() + LEAVE_AFTER;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let mut request = CallRequest::new("POST /stream/on/1", &format!("left-{number}"), KEY);
        request.tokens = Some((17_020, 120));
        request.deadline_ms = 12_000;
        request.body = b"digest".to_vec();
        let mut bytes = request.bytes();
        if trouble {
            bytes.extend_from_slice(b"POST /stream/on/2 HTTP/1.1\r\n");
        }
        callers.push(tokio::spawn(async move {
            let Ok(mut stream) = TcpStream::connect(address).await else {
                return false;
            };
            let is_sent = stream.write_all(&bytes).await.is_ok();
            sleep_until(leave_at).await;
            // The connection is closed here, in the usual way.
            is_sent
        }));
    }
    let mut sent = 0;
    for caller in callers {
        sent += usize::from(caller.await.unwrap_or(false));
    }
    let left_at = Instant::now();
    record.say(format!("{sent} callers have sent their requests and left"));
    let mut ordinary = Vec::new();
    while left_at.elapsed() < FIRST_EVENT + Duration::from_secs(2) {
        let request = CallRequest::new("GET /offer/1", "ordinary", KEY);
        let reply = timeout(Duration::from_secs(2), call(address, &request)).await;
        let status = reply.ok().and_then(Result::ok).map_or(0, |reply| reply.status);
        let at_ms = left_at.elapsed().as_millis();
        record.add(format!("{at_ms} ms after the close an ordinary call is answered {status}"));
        ordinary.push((at_ms, status));
        sleep(Duration::from_millis(100)).await;
    }
    let soon = ordinary.iter().filter(|(at_ms, _)| (500..4_000).contains(at_ms));
    let (served, refused): (Vec<&(u128, u16)>, Vec<&(u128, u16)>) = soon.partition(|(_, status)| *status == 200);
    let runs: Vec<_> = engines.iter().flat_map(TargetStandIn::runs).filter(|run| run.is_run).collect();
    let late = runs.iter().filter(|run| {
        run.cancelled_at.is_none_or(|at| at.saturating_duration_since(left_at) > GRACE)
    });
    let late = late.count();
    record.say(format!(
        "{late} of {} runs went on for more than half a second after their callers had left",
        runs.len()
    ));
    record.say(format!(
        "ordinary calls at this router, 0.5 to 4 s after the close: {} served, {} not",
        served.len(),
        refused.len()
    ));
    match runs.len() {
        0..=50 => Verdict::CouldNotRun,
        count if late * 4 > count => Verdict::Broken,
        _ => Verdict::Held,
    }
}
