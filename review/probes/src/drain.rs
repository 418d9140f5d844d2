//! A replica leaves a small fleet. The store acknowledges that; later than `drain-ms` after it no request
//! may reach the replica.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft, TargetStandIn, call,
};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use crate::fleet::{Place, Router, all_ready};
use crate::record::Record;
use crate::store::Store;
use crate::{Run, Verdict};

/// `recovery-s` of the sheet that names entries of other writers, and a little; 12 s on the small sheets.
const RECOVERY: Duration = Duration::from_millis(15_500);
/// How long the replica goes on after the acknowledgement.
const SERVES_ON: Duration = Duration::from_millis(7_000);
const ZONES: [&str; 3] = ["split-hala", "rijeka-hala", "zadar-hala"];
const KEY: &str = "n2ctnfzs989anu6wsjnb";

#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// The store cuts off watches that wait; the replica's entry is removed.
    WatchesCut,
    /// The list of replicas has an entry of another writer; the replica reports `draining`.
    ForeignEntry,
}

impl Trouble {
    /// Returns `drain-ms` of the sheet that names the trouble.
    fn drain(self) -> Duration {
        match self {
            Trouble::WatchesCut => Duration::from_millis(2_000),
            Trouble::ForeignEntry => Duration::from_millis(3_000),
        }
    }
}

/// A small fleet with its store and replicas.
struct Fleet {
    store: Store,
    replicas: Vec<TargetStandIn>,
    routers: Vec<Router>,
}

/// Starts a fleet and waits until all machines are in touch; `None` if it does not start.
async fn start(run: &Run) -> Option<Fleet> {
    let store = Store::start(run.record.clone()).await;
    let mut replicas = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let replica = TargetStandIn::try_start(&format!("i-7f3a91c{index}")).await;
        let replica = replica.ok()?;
        replica.set_response_delay(Duration::from_millis(30));
        let entry = entry(&replica, zone, EntryState::Ready);
        store.put("servers", replica.name(), &entry);
        replicas.push(replica);
    }
    store.put("config", "main", &config().spec().to_string());
    let place = Place {
        root: &run.root,
        folder: &run.folder,
        store: store.address,
        extra: "",
    };
    let routers: Vec<_> = (0..7)
        .map(|index| {
            let zone = ZONES[index % ZONES.len()];
            Router::start(&place, &format!("front-{zone}-{}", index / 3 + 1), zone)
        })
        .collect();
    if !all_ready(&routers).await {
        return None;
    }
    // All machines are in touch `contact-ms` after their start.
    sleep(Duration::from_millis(4_000)).await;
    Some(Fleet {
        store,
        replicas,
        routers,
    })
}

fn start_callers(fleet: &Fleet, record: &Record) -> Vec<JoinHandle<()>> {
    let routers = fleet.routers.iter().enumerate();
    routers
        .map(|(index, router)| tokio::spawn(call_on(index, router.address, record.clone())))
        .collect()
}

/// Another writer lists the addresses of all replicas under names of its own, for a service that no
/// configuration names. Some seconds later all routers are killed and started again.
pub async fn play_addresses(run: &Run) -> Verdict {
    let Some(mut fleet) = start(run).await else {
        return Verdict::CouldNotRun;
    };
    let callers = start_callers(&fleet, &run.record);
    sleep(Duration::from_millis(6_000)).await;
    let before: usize = fleet
        .replicas
        .iter()
        .map(|replica| replica.runs().len())
        .sum();
    if run.has_trouble {
        for (index, replica) in fleet.replicas.iter().enumerate() {
            let mut copy = replica.entry("plain-old", ZONES[index], EntryState::Ready);
            copy["born"] = 1_790_000_000_000_u64.into();
            fleet
                .store
                .put("servers", &format!("j-{index}"), &copy.to_string());
        }
    }
    sleep(Duration::from_millis(3_000)).await;
    callers.iter().for_each(JoinHandle::abort);
    let during: usize = fleet
        .replicas
        .iter()
        .map(|replica| replica.runs().len())
        .sum();
    run.record.say(&format!(
        "{before} requests ran in 6 s before the entries, {} in 3 s after them",
        during - before
    ));
    let recovered = recover(run, &mut fleet.routers).await;
    log_events(run, &fleet.routers);
    match recovered {
        _ if before < 100 => Verdict::CouldNotRun,
        Some((served, asked)) if served * 4 < asked => Verdict::Broken,
        _ => Verdict::Held,
    }
}

/// Copies what the routers logged of replicas and of the store.
fn log_events(run: &Run, routers: &[Router]) {
    for router in routers {
        for words in [["target_"], ["store_"]] {
            for line in router.log_lines(&words) {
                run.record.line(&format!("log of {}: {line}", router.host));
            }
        }
    }
}

/// A replica leaves while the trouble lasts.
pub async fn play(run: &Run, trouble: Trouble) -> Verdict {
    let record = &run.record;
    let Some(mut fleet) = start(run).await else {
        return Verdict::CouldNotRun;
    };
    let (store, replicas) = (fleet.store.clone(), fleet.replicas.clone());
    if run.has_trouble {
        begin_trouble(&store, trouble);
    }
    let callers = start_callers(&fleet, record);
    sleep(Duration::from_millis(4_000)).await;
    let leaver = &replicas[1];
    match trouble {
        Trouble::WatchesCut => store.remove("servers", leaver.name()),
        Trouble::ForeignEntry => {
            store.put(
                "servers",
                leaver.name(),
                &entry(leaver, ZONES[1], EntryState::Draining),
            );
        }
    }
    let acknowledged = Instant::now();
    sleep(SERVES_ON).await;
    let before_exit = leaver.runs().len();
    leaver.crash();
    record.line(&format!(
        "replica {} exits after {before_exit} requests",
        leaver.name()
    ));
    sleep(Duration::from_millis(1_500)).await;
    callers.iter().for_each(JoinHandle::abort);
    let recovered = match trouble {
        Trouble::ForeignEntry => recover(run, &mut fleet.routers).await,
        Trouble::WatchesCut => None,
    };
    let late: Vec<_> = leaver
        .arrivals()
        .into_iter()
        .zip(leaver.runs())
        .filter(|(at, _)| at.saturating_duration_since(acknowledged) > trouble.drain())
        .collect();
    for (at, run) in &late {
        let after = at.saturating_duration_since(acknowledged).as_millis();
        let id = run.request_id();
        record.line(&format!(
            "request {id} reaches {} at {:.3}, {after} ms after the acknowledgement",
            leaver.name(),
            record.at(*at)
        ));
    }
    let reached: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    log_events(run, &fleet.routers);
    record.say(&format!(
        "{reached} requests reached replicas; {} reached the one that left later than {} ms after the \
         acknowledgement; {} watches were cut off",
        late.len(),
        trouble.drain().as_millis(),
        store.cut_watches()
    ));
    if reached < 100 {
        return Verdict::CouldNotRun;
    }
    let has_recovered = recovered.is_none_or(|(served, asked)| served * 4 >= asked);
    match late.is_empty() && has_recovered {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

/// Kills all routers and starts them again; returns how many of the requests that were sent later than
/// `recovery-s` after that were served, and how many were sent.
async fn recover(run: &Run, routers: &mut [Router]) -> Option<(usize, usize)> {
    let record = &run.record;
    record.line("all routers are killed and started again");
    routers.iter_mut().for_each(Router::restart);
    sleep(RECOVERY).await;
    let (mut served, mut asked) = (0, 0);
    for number in 0..15 {
        for (index, router) in routers.iter().enumerate() {
            let id = format!("{index:04x}ff{number:010x}");
            let reply = send(router.address, &id).await;
            record.line(&format!("request {id} answered {reply}"));
            asked += 1;
            served += usize::from(reply.starts_with("200"));
        }
        sleep(Duration::from_millis(100)).await;
    }
    record.say(&format!(
        "of {asked} requests sent later than 15 s after all routers were killed, {served} were served"
    ));
    Some((served, asked))
}

async fn send(router: SocketAddr, id: &str) -> String {
    let mut request = CallRequest::new("POST /claim/2f", id, KEY);
    request.deadline_ms = 1_000;
    match timeout(Duration::from_millis(1_500), call(router, &request)).await {
        Ok(Ok(reply)) => format!("{} {}", reply.status, reply.seal()),
        Ok(Err(error)) => format!("no answer: {error}"),
        Err(_) => "no answer in time".to_owned(),
    }
}

fn begin_trouble(store: &Store, trouble: Trouble) {
    match trouble {
        Trouble::WatchesCut => store.set_watch_limit(Some(Duration::from_millis(1_500))),
        Trouble::ForeignEntry => {
            // Any JSON text that another writer may have stored.
            let text = match std::env::var("VARIANT").as_deref() {
                Ok("number") => "{\"service\":\"plain\",\"slots\":1e400}".to_owned(),
                Ok("depth") => format!("{{\"service\":{}1{}}}", "[".repeat(200), "]".repeat(200)),
                Ok("plain") => "{\"service\":7}".to_owned(),
                _ => "{\"service\":\"plain\",\"zone\":\"\\ud800\"}".to_owned(),
            };
            store.put("servers", "j-0", &text);
        }
    }
}

fn entry(replica: &TargetStandIn, zone: &str, state: EntryState) -> String {
    let mut entry = replica.entry("plain", zone, state);
    entry["born"] = 1_790_000_000_000_u64.into();
    entry.to_string()
}

fn config() -> ConfigDraft {
    let mut claim = RouteDraft::new("claim", "/claim/", DraftKind::NotRepeatable, "plain");
    claim.timeout_ms = 1_000;
    ConfigDraft {
        version: 3,
        routes: vec![claim],
        workspaces: vec![("hule930", KEY, 1_000_000)],
        limits: LimitsDraft::default(),
    }
}

/// Sends a request every 60 ms, each on a connection of its own.
async fn call_on(index: usize, router: SocketAddr, record: Record) {
    for number in 0.. {
        let id = format!("{index:04x}{number:012x}");
        let text = send(router, &id).await;
        record.line(&format!("request {id} answered {text}"));
        sleep(Duration::from_millis(60)).await;
    }
}
