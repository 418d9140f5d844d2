//! A router that is partitioned from all engines goes by way of another router, which is killed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{
    CallReply, CallRequest, ConfigDraft, DraftKind, EntryState, LimitsDraft, RouteDraft,
    StoreStandIn, StreamFraming, TargetStandIn, call,
};
use tokio::time::{sleep, sleep_until};

use crate::Stage;
use crate::front::Front;
use crate::path::TargetPath;
use crate::support::{KEY, Result, Router};

const ZONE: &str = "split-hala";

const ENGINES: usize = 12;

/// Engines some of whose answers have no length: the half of them that gets the first streams.
const UNFRAMED_ENGINES: usize = 6;

/// How many answers without a length each of these engines begins at most, or one or two more.
const UNFRAMED_ANSWERS: usize = 4;

/// Framed answers of each engine before the others: those without a length are one in twenty of an engine's
/// answers at most.
const FRAMED_ANSWERS: usize = 120;

/// Streams that begin before the other router is killed: less than a second of the sheet's traffic.
const STREAMS: usize = 40;

/// The events of a stream, as on the sheet, and the gap between them.
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(50);

/// When the other router is killed, after the first of these streams: they take two seconds.
const KILL_AFTER: Duration = Duration::from_millis(1_300);

/// The length of the cut.
const CUT: Duration = Duration::from_millis(5_500);

pub async fn play(stage: &Stage) -> Result<bool> {
    let record = &stage.record;
    let store = StoreStandIn::try_start().await?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let engine = TargetStandIn::try_start(&format!("i-engine{number:02}")).await?;
        store.put_target(&engine, "engine", ZONE, EntryState::Ready);
        engines.push(engine);
    }
    let mut route = RouteDraft::new("digest", "/stream/", DraftKind::Stream, "engine");
    route.is_resumable = true;
    route.timeout_ms = 12_000;
    store.put_config(&ConfigDraft {
        version: 1,
        routes: vec![route],
        workspaces: vec![("acme", KEY, 100_000_000)],
        limits: LimitsDraft::default(),
    });
    let mut paths = Vec::new();
    for engine in &engines {
        paths.push(TargetPath::try_start(engine.address())?);
    }
    let renamed = paths.iter().zip(&engines);
    let renamed = renamed.map(|(path, engine)| (engine.address(), path.address));
    let open = Front::try_start(store.address(), 500).await?;
    let cut = Front::try_start_with_paths(store.address(), 500, renamed.collect()).await?;
    let mut helper = Router::start(&stage.folder, open.address, "front-1", ZONE)?;
    let router = Router::start(&stage.folder, cut.address, "front-2", ZONE)?;
    for router in [&helper, &router] {
        router.wait_ready().await?;
        for engine in &engines {
            router
                .wait_log(&["target_joined", engine.name()], 1)
                .await?;
        }
        router.wait_log(&["routers_listed", "routers=2"], 1).await?;
    }
    sleep(Duration::from_millis(4_500)).await;

    for engine in &engines {
        engine.set_events(2, Duration::from_millis(20));
    }
    let mut number = 0;
    while engines
        .iter()
        .any(|engine| engine.runs().len() < FRAMED_ANSWERS)
        && number < 4_000
    {
        start_short(router.address, &mut number);
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(300)).await;
    let cut_at = Instant::now();
    if stage.has_trouble {
        paths.iter().for_each(TargetPath::cut);
        record.add("front-2 is partitioned from all engines");
    }
    while cut_at.elapsed() < Duration::from_millis(2_500) {
        start_short(router.address, &mut number);
        sleep(Duration::from_millis(10)).await;
    }
    let answers: Vec<usize> = engines.iter().map(|engine| engine.runs().len()).collect();
    record.add(format!("the engines have given {answers:?} framed answers"));
    for engine in &engines {
        engine.set_framing(StreamFraming::Connection);
    }
    engines
        .iter()
        .for_each(|engine| engine.set_events(EVENTS, GAP));
    let begun_at = Instant::now();
    let mut streams = tokio::task::JoinSet::new();
    for number in 0..STREAMS {
        let (address, id, record) = (router.address, format!("long-{number}"), record.clone());
        streams.spawn(async move {
            record.add(format!("client sends {id}"));
            let reply = stream(address, &id).await;
            record.add(format!("client gets {}", describe(&id, &reply)));
            (id, reply)
        });
        sleep(Duration::from_millis(10)).await;
        end_unframed(&engines, &answers);
    }
    sleep_until((begun_at + KILL_AFTER).into()).await;
    if stage.has_trouble {
        helper.kill()?;
        record.add("front-1 is killed");
        sleep(Duration::from_millis(500)).await;
        helper.start_again()?;
        record.add("front-1 starts again");
    }
    let replies = streams.join_all().await;
    sleep_until((cut_at + CUT).into()).await;
    paths.iter().for_each(TargetPath::heal);

    for engine in &engines {
        for (run, at) in engine.runs().iter().zip(engine.arrivals()) {
            if run.request_id().starts_with("long-") {
                let cancelled = if run.is_cancelled { ", cut off" } else { "" };
                let line = format!("{} ran {}{cancelled}", engine.name(), run.request_id());
                record.add_at(at, line);
            }
        }
    }
    let is_short =
        |reply: &CallReply| reply.status == 200 && reply.is_complete && events(reply) < EVENTS;
    let short = replies.iter().filter(|(_, reply)| is_short(reply)).count();
    let whole = replies
        .iter()
        .filter(|(_, reply)| reply.is_complete && events(reply) == EVENTS);
    let whole = whole.count();
    let tunnels = router.log_lines(&["event=call", "through=front-1"]).len();
    let summary = format!(
        "of {} streams of {EVENTS} events {whole} came whole, {short} ended as complete before their \
         last event; {tunnels} calls went by way of front-1",
        replies.len()
    );
    println!("{summary}");
    record.add(summary);
    if stage.has_trouble && tunnels == 0 {
        return Err("no call went by way of another router".into());
    }
    Ok(short > 0)
}

/// Has engines mark the end of their further streams: those that have begun enough streams without a length,
/// and all others once enough engines have begun one.
fn end_unframed(engines: &[TargetStandIn], answers: &[usize]) {
    let begun = engines.iter().zip(answers);
    let begun = begun.map(|(engine, answers)| (engine, engine.runs().len() - answers));
    let begun: Vec<_> = begun.collect();
    let has_all = begun.iter().filter(|(_, begun)| *begun > 0).count() >= UNFRAMED_ENGINES;
    for (engine, begun) in begun {
        if begun >= UNFRAMED_ANSWERS || (has_all && begun == 0) {
            engine.set_framing(StreamFraming::Chunked);
        }
    }
}

/// Sends a short stream whose answer does not matter.
fn start_short(router: SocketAddr, number: &mut usize) {
    let id = format!("short-{number}");
    *number += 1;
    tokio::spawn(async move { stream(router, &id).await });
}

async fn stream(router: SocketAddr, id: &str) -> CallReply {
    let mut request = CallRequest::new("POST /stream/1", id, KEY);
    request.deadline_ms = 12_000;
    request.tokens = Some((1_000, 3 * EVENTS));
    request.body = id.as_bytes().to_vec();
    call(router, &request).await.unwrap_or_default()
}

fn events(reply: &CallReply) -> u64 {
    reply.body.matches("\n\n").count() as u64
}

fn describe(id: &str, reply: &CallReply) -> String {
    let end = match reply.is_complete {
        true => "complete",
        false => "not complete",
    };
    format!(
        "{} with {} events for {id}, {end}",
        reply.status,
        events(reply)
    )
}
