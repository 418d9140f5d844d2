//! A router is restarted, and a replica reports that it drains while the router reads the list of
//! replicas page by page.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, StoreStandIn,
    TargetStandIn, call,
};
use serde_json::json;
use tokio::time::{sleep, sleep_until};

use crate::Stage;
use crate::front::Front;
use crate::support::{DRAIN_MS, KEY, Result, Router};

const ZONE: &str = "split-hala";

/// Entries in one page, as in the site files (`page` under `discovery`); the store has "about 500 or 1 MB
/// at most".
const PAGE_ITEMS: usize = 50;

/// Replicas of the other service, as on the sheet of the grown deployment.
const ENGINES: u16 = 140;

/// Claims a second, over both routers.
const CLAIMS_PER_S: u64 = 30;

/// The time of one claim at each replica: they differ in speed, and the last one leaves.
const WORK_MS: [u64; 3] = [110, 110, 90];

/// After which time of its processes' run a router is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);

/// How long the replica serves after its report: `drain-ms` and longer, "at times many seconds".
const SERVES: Duration = Duration::from_millis(DRAIN_MS + 4_000);

pub async fn play(stage: &Stage) -> Result<bool> {
    let record = &stage.record;
    let store = StoreStandIn::try_start().await?;
    let front = Front::try_start(store.address(), PAGE_ITEMS).await?;
    let mut targets = Vec::new();
    for (number, work_ms) in WORK_MS.into_iter().enumerate() {
        // Its name is on the first page.
        let target = TargetStandIn::try_start(&format!("i-0{number}")).await?;
        target.set_response_delay(Duration::from_millis(work_ms));
        store.put_target(&target, "plain", ZONE, EntryState::Ready);
        targets.push(target);
    }
    for number in 0..ENGINES {
        // No client asks for this service.
        let entry = json!({
            "service": "engine", "address": format!("127.0.77.{}:9", number + 1), "zone": ZONE,
            "version": "v1", "slots": 24, "state": "ready", "seq": 1, "cold-remaining-ms": 0,
        });
        store.put("servers", &format!("i-engine{number:03}"), &entry);
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
    let mut routers = [
        Router::start(&stage.folder, front.address, "front-1", ZONE)?,
        Router::start(&stage.folder, front.address, "front-2", ZONE)?,
    ];
    for router in &routers {
        router.wait_ready().await?;
    }
    sleep(Duration::from_millis(4_500)).await;

    let leaving = targets[2].clone();
    let drained: Arc<Mutex<Option<Instant>>> = Arc::default();
    let report = {
        let (store, leaving, record) = (store.clone(), leaving.clone(), record.clone());
        let drained = Arc::clone(&drained);
        move || {
            store.put_target(&leaving, "plain", ZONE, EntryState::Draining);
            let mut at = drained.lock().unwrap_or_else(PoisonError::into_inner);
            *at = Some(Instant::now());
            record.add(format!("store: {} drains", leaving.name()));
        }
    };
    routers[0].kill()?;
    sleep(Duration::from_millis(200)).await;
    if stage.has_trouble {
        front.after_first_page(report);
        routers[0].start_again()?;
        record.add(
            "front-1 starts again; the replica reports between two pages of its first listing",
        );
        routers[0].wait_ready().await?;
    } else {
        routers[0].start_again()?;
        record.add("front-1 starts again; the replica reports after its first listing");
        routers[0].wait_ready().await?;
        sleep(Duration::from_millis(500)).await;
        report();
    }
    let ready_at = Instant::now();
    sleep_until((ready_at + CONTACT).into()).await;
    let in_touch_at = Instant::now();
    let acknowledged_at = *drained.lock().unwrap_or_else(PoisonError::into_inner);
    let acknowledged_at = acknowledged_at.ok_or("the listing had one page only")?;

    let mut claims = tokio::task::JoinSet::new();
    let mut has_exited = false;
    for number in 0_usize.. {
        let now = Instant::now();
        if now > acknowledged_at + SERVES + Duration::from_millis(1_000) {
            break;
        }
        if !has_exited && now > acknowledged_at + SERVES {
            has_exited = true;
            leaving.crash();
            record.add(format!("{} exits", leaving.name()));
        }
        let router = routers[number % routers.len()].address;
        let record = record.clone();
        claims.spawn(async move {
            let id = format!("claim-{number}");
            let mut request = CallRequest::new("POST /claim/1", &id, KEY);
            request.deadline_ms = 1_000;
            record.add(format!("client sends {id} to {router}"));
            let status = call(router, &request).await.map_or(0, |reply| reply.status);
            record.add(format!("client gets {status} for {id}"));
            status
        });
        sleep(Duration::from_millis(1_000 / CLAIMS_PER_S)).await;
    }
    let statuses = claims.join_all().await;
    let lost = statuses
        .iter()
        .filter(|status| !matches!(**status, 200 | 503))
        .count();
    for target in &targets {
        for (run, at) in target.runs().iter().zip(target.arrivals()) {
            record.add_at(at, format!("{} got {}", target.name(), run.request_id()));
        }
    }
    let from = in_touch_at.max(acknowledged_at + Duration::from_millis(DRAIN_MS));
    let late = leaving.arrivals().into_iter().filter(|at| *at > from);
    let late: Vec<_> = late.collect();
    let last_ms = late
        .last()
        .map_or(0, |at| at.duration_since(acknowledged_at).as_millis());
    let summary = format!(
        "{} requests reached {} later than {DRAIN_MS} ms after its report, the last one {last_ms} ms \
         after it; {lost} claims ended without an answer of a replica that may have run",
        late.len(),
        leaving.name(),
    );
    println!("{summary}");
    record.add(summary);
    Ok(!late.is_empty())
}
