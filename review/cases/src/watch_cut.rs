//! A replica's entry is removed while the store cuts off waiting watches now and then.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, StoreStandIn,
    TargetStandIn, call,
};
use tokio::time::{sleep, sleep_until};

use crate::Stage;
use crate::front::Front;
use crate::support::{DRAIN_MS, KEY, Result, Router};

const ZONE: &str = "split-hala";

/// Claims a second, over all routers.
const CLAIMS_PER_S: u64 = 30;

/// The time of one claim at each replica: they differ in speed, and the last one leaves.
const WORK_MS: [u64; 3] = [110, 110, 90];

/// When watches are cut off, counted from the removal of the entry.
const CUTS_MS: [i64; 2] = [-100, 1_500];

/// How long the replica serves after its entry was removed: `drain-ms` and a little longer.
const SERVES_MS: u64 = DRAIN_MS + 700;

pub async fn play(stage: &Stage) -> Result<bool> {
    let record = &stage.record;
    let store = StoreStandIn::try_start().await?;
    let front = Front::try_start(store.address(), 500).await?;
    let mut targets = Vec::new();
    for (number, work_ms) in WORK_MS.into_iter().enumerate() {
        let target = TargetStandIn::try_start(&format!("i-plain{number}")).await?;
        target.set_response_delay(Duration::from_millis(work_ms));
        store.put_target(&target, "plain", ZONE, EntryState::Ready);
        targets.push(target);
    }
    let mut route = RouteDraft::new("claim", "/claim/", DraftKind::NotRepeatable, "plain");
    route.attempts = 1;
    route.timeout_ms = 1_000;
    store.put_config(&ConfigDraft {
        version: 1,
        routes: vec![route],
        workspaces: vec![("acme", KEY, 1_000_000)],
        limits: LimitsDraft::default(),
    });
    let routers = [
        Router::start(&stage.folder, front.address, "front-1", ZONE)?,
        Router::start(&stage.folder, front.address, "front-2", ZONE)?,
    ];
    for router in &routers {
        router.wait_ready().await?;
        for target in &targets {
            router
                .wait_log(&["target_joined", target.name()], 1)
                .await?;
        }
    }
    // Calm for longer than `contact-ms`, so that the routers are in touch and the store is stable.
    sleep(Duration::from_millis(4_500)).await;

    let addresses = routers.each_ref().map(|router| router.address);
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU64::new(0));
    let callers = tokio::spawn(send_claims(
        addresses,
        Arc::clone(&is_over),
        Arc::clone(&lost),
        record.clone(),
    ));
    sleep(Duration::from_millis(1_500)).await;
    let removed_at = Instant::now() + Duration::from_millis(200);
    if stage.has_trouble {
        for cut_ms in CUTS_MS {
            let (front, record) = (front.clone(), record.clone());
            let at = match u64::try_from(cut_ms) {
                Ok(ms) => removed_at + Duration::from_millis(ms),
                Err(_) => removed_at - Duration::from_millis(cut_ms.unsigned_abs()),
            };
            tokio::spawn(async move {
                sleep_until(at.into()).await;
                front.cut_watches();
                record.add("store: the waiting watches are cut off");
            });
        }
    }
    let leaving = targets[2].clone();
    sleep_until(removed_at.into()).await;
    store.remove_target(leaving.name());
    let acknowledged_at = Instant::now();
    record.add(format!("store: the entry of {} is removed", leaving.name()));
    sleep_until((acknowledged_at + Duration::from_millis(SERVES_MS)).into()).await;
    leaving.crash();
    record.add(format!("{} exits", leaving.name()));
    sleep(Duration::from_millis(1_500)).await;
    is_over.store(true, Ordering::Relaxed);
    callers.await?;

    for target in &targets {
        for (run, at) in target.runs().iter().zip(target.arrivals()) {
            record.add_at(at, format!("{} got {}", target.name(), run.request_id()));
        }
    }
    let drained_at = acknowledged_at + Duration::from_millis(DRAIN_MS);
    let late = leaving.arrivals().into_iter().filter(|at| *at > drained_at);
    let late: Vec<_> = late.collect();
    let last_ms = late
        .last()
        .map_or(0, |at| at.duration_since(acknowledged_at).as_millis());
    let summary = format!(
        "{} requests reached {} later than {DRAIN_MS} ms after its removal, the last one {last_ms} ms \
         after it; {} claims ended without an answer of a replica that may have run",
        late.len(),
        leaving.name(),
        lost.load(Ordering::Relaxed)
    );
    println!("{summary}");
    record.add(summary);
    Ok(!late.is_empty())
}

/// Sends claims to the routers in turn, each on a connection of its own.
async fn send_claims(
    routers: [std::net::SocketAddr; 2],
    is_over: Arc<AtomicBool>,
    lost: Arc<AtomicU64>,
    record: crate::support::Record,
) {
    let mut claims = tokio::task::JoinSet::new();
    for number in 0_usize.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (lost, record) = (Arc::clone(&lost), record.clone());
        let router = routers[number % routers.len()];
        claims.spawn(async move {
            let id = format!("claim-{number}");
            let mut request = CallRequest::new("POST /claim/1", &id, KEY);
            request.deadline_ms = 1_000;
            record.add(format!("client sends {id} to {router}"));
            let status = match call(router, &request).await {
                Ok(reply) => reply.status,
                Err(_) => 0,
            };
            record.add(format!("client gets {status} for {id}"));
            // A refusal with 503 says that the claim has not run; all else but success leaves it open.
            if status != 200 && status != 503 {
                lost.fetch_add(1, Ordering::Relaxed);
            }
        });
        sleep(Duration::from_millis(1_000 / CLAIMS_PER_S)).await;
    }
    claims.join_all().await;
}
