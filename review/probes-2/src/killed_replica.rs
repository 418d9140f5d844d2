//! Replicas are killed while they stream; one in twenty of their answers has no length.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, LimitsDraft, RouteDraft, StoreStandIn, call,
};
use serde_json::json;
use tokio::time::{interval, sleep, timeout};

use crate::Verdict;
use crate::fleet::{Record, Router};
use crate::replica::EVENTS;

const KEY: &str = "key-of-acme";
const ZONES: [&str; 2] = ["split-hala", "rijeka-hala"];
/// One of them is killed at a time: a share of 0.25.
const REPLICAS: usize = 4;
const STREAMS_PER_S: u64 = 40;
const SPAN: Duration = Duration::from_secs(60);
const KILL_EACH: Duration = Duration::from_secs(8);
/// Three heartbeats: an entry is removed after so long.
const ENTRY_LIFE: Duration = Duration::from_millis(3_600);

struct Replica {
    child: Child,
    name: String,
    address: SocketAddr,
}

impl Replica {
    fn start(number: usize) -> Self {
        let name = format!("i-{number:04}");
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["replica", &name])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a replica");
        let mut line = String::new();
        let output = child.stdout.take().expect("its output");
        BufReader::new(output).read_line(&mut line).expect("its address");
        let address = line.trim().parse().expect("an address");
        Replica { child, name, address }
    }

    fn register(&self, store: &StoreStandIn, zone: &str) {
        let entry = json!({
            "service": "engine", "address": self.address.to_string(), "zone": zone, "version": "v1",
            "slots": 64, "state": "ready", "seq": 1, "cold-remaining-ms": 0,
        });
        store.put("servers", &self.name, &entry);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[derive(Default)]
struct Outcomes {
    whole: u64,
    broken: u64,
    refused: u64,
    /// Streams that ended as complete without their last piece.
    short: u64,
}

pub async fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = StoreStandIn::try_start().await.expect("a store");
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(Replica::start).collect();
    for (index, replica) in replicas.iter().enumerate() {
        replica.register(&store, ZONES[index % ZONES.len()]);
    }
    let mut route = RouteDraft::new("digest", "/digest/", DraftKind::Stream, "engine");
    route.is_resumable = true;
    route.timeout_ms = 12_000;
    store.put_config(&ConfigDraft {
        version: 1,
        routes: vec![route],
        workspaces: vec![("acme", KEY, 1_000_000_000)],
        limits: LimitsDraft::default(),
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
    let outcomes = Arc::new(Mutex::new(Outcomes::default()));
    let mut ticks = interval(Duration::from_micros(1_000_000 / STREAMS_PER_S));
    let started = Instant::now();
    let mut killed_at = Instant::now();
    let mut gone: Vec<(String, Instant)> = Vec::new();
    let mut number = 0_u64;
    let mut next_replica = REPLICAS;
    while started.elapsed() < SPAN {
        ticks.tick().await;
        number += 1;
        let address = routers[(number % 2) as usize].address;
        let (outcomes, said) = (Arc::clone(&outcomes), Arc::clone(record));
        tokio::spawn(async move {
            let id = format!("stream-{number}");
            let mut request = CallRequest::new("POST /digest/1", &id, KEY);
            request.tokens = Some((1_110, 3 * EVENTS));
            request.deadline_ms = 12_000;
            request.body = id.clone().into_bytes();
            let reply = timeout(Duration::from_secs(13), call(address, &request)).await;
            let mut outcomes = outcomes.lock().expect("outcomes");
            let Ok(Ok(reply)) = reply else {
                outcomes.broken += 1;
                return;
            };
            let pieces = reply.body.matches("data: piece ").count() as u64;
            let has_last = reply.body.contains(&format!("data: piece {EVENTS}\n"));
            match (reply.status, reply.is_complete) {
                (200, true) if has_last && pieces == EVENTS => outcomes.whole += 1,
                (200, true) => {
                    outcomes.short += 1;
                    said.say(format!(
                        "{id}: status 200 of {}, complete, with {pieces} of {EVENTS} pieces",
                        reply.seal()
                    ));
                }
                (200, false) => outcomes.broken += 1,
                _ => outcomes.refused += 1,
            }
        });
        gone.retain(|(name, at)| {
            let is_over = at.elapsed() >= ENTRY_LIFE;
            if is_over {
                store.remove_target(name);
            }
            !is_over
        });
        if trouble && killed_at.elapsed() >= KILL_EACH {
            killed_at = Instant::now();
            let index = next_replica % REPLICAS;
            let fresh = Replica::start(next_replica);
            next_replica += 1;
            let name = replicas[index].name.clone();
            record.add(format!("{name} is killed (SIGKILL), {} starts", fresh.name));
            // Its drop kills it.
            replicas[index] = fresh;
            replicas[index].register(&store, ZONES[index % ZONES.len()]);
            gone.push((name, Instant::now()));
        }
    }
    sleep(Duration::from_secs(6)).await;
    let outcomes = outcomes.lock().expect("outcomes");
    record.say(format!(
        "{number} streams: {} whole, {} broken off, {} refused, {} ended as complete before their last piece",
        outcomes.whole, outcomes.broken, outcomes.refused, outcomes.short
    ));
    match outcomes.short {
        0 if outcomes.whole * 10 < number * 8 => Verdict::CouldNotRun,
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
