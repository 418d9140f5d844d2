//! The open connections of all machines go silent. `contact-ms` later the machines are in touch again; a
//! version that is acknowledged then must be in force `config-apply-ms` after it.

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, TargetStandIn, call,
};
use tokio::time::{sleep, timeout};

use crate::fleet::{Place, Router, all_ready};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::{Run, Verdict};

const CONTACT: Duration = Duration::from_millis(3_000);
const APPLY: Duration = Duration::from_millis(2_000);
const ZONES: [&str; 3] = ["split-hala", "rijeka-hala", "zadar-hala"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub async fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let store = Store::start(record.clone()).await;
    let proxy = Proxy::start(store.address).await;
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let Ok(replica) = TargetStandIn::try_start(&format!("i-7f3a91c{index}")).await else {
            return Verdict::CouldNotRun;
        };
        let entry = replica.entry("plain", zone, EntryState::Ready);
        store.put("servers", replica.name(), &entry.to_string());
        replicas.push(replica);
    }
    store.put("config", "main", &config(3, true).spec().to_string());
    let place = Place {
        root: &run.root,
        folder: &run.folder,
        store: proxy.address,
        extra: "",
    };
    let routers: Vec<_> = (0..7)
        .map(|index| {
            let zone = ZONES[index % ZONES.len()];
            Router::start(&place, &format!("front-{zone}-{}", index / 3 + 1), zone)
        })
        .collect();
    if !all_ready(&routers).await {
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_millis(8_000)).await;
    let opened = proxy.opened();
    if run.has_trouble {
        proxy.silence_open();
        record.line("the open connections to the store go silent");
    }
    let wait_ms = std::env::var("ACK_AT_MS")
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or(3_000);
    sleep(Duration::from_millis(wait_ms)).await;
    let _ = CONTACT;
    store.put("config", "main", &config(9, false).spec().to_string());
    let acknowledged = Instant::now();
    sleep(APPLY).await;
    let mut old = 0;
    let mut asked = 0;
    let mut last = Duration::ZERO;
    while acknowledged.elapsed() < Duration::from_millis(9_000) {
        for (index, router) in routers.iter().enumerate() {
            let sent_after = acknowledged.elapsed();
            let id = format!("{index:04x}{asked:012x}");
            let mut request = CallRequest::new("POST /claim/2f", &id, KEY);
            request.deadline_ms = 1_000;
            let reply = timeout(Duration::from_millis(1_500), call(router.address, &request)).await;
            let status = reply
                .ok()
                .and_then(Result::ok)
                .map_or(0, |reply| reply.status);
            asked += 1;
            if status == 200 {
                old += 1;
                last = sent_after;
            }
            record.line(&format!(
                "request {id} sent to {} {} ms after the acknowledgement, answered {status}",
                router.host,
                sent_after.as_millis()
            ));
        }
        sleep(Duration::from_millis(100)).await;
    }
    for router in &routers {
        for line in router
            .log_lines(&["store_"])
            .into_iter()
            .chain(router.log_lines(&["config_in_force"]))
        {
            record.line(&format!("log of {}: {line}", router.host));
        }
    }
    record.say(&format!(
        "{asked} requests on the dropped route were sent later than 2000 ms after the acknowledgement, \
         {old} of them ran, the last one sent {} ms after it; {opened} connections had been opened",
        last.as_millis()
    ));
    if old > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn config(version: u64, has_claim: bool) -> ConfigDraft {
    let mut routes = vec![RouteDraft::new(
        "donate",
        "/donate/",
        DraftKind::Idempotent,
        "plain",
    )];
    if has_claim {
        routes.push(RouteDraft::new(
            "claim",
            "/claim/",
            DraftKind::NotRepeatable,
            "plain",
        ));
    }
    ConfigDraft {
        version,
        routes,
        workspaces: vec![("hule930", KEY, 1_000_000)],
        limits: LimitsDraft::default(),
    }
}
