//! A router that reaches two engines only by way of another router, which is killed.

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

/// Engines that one router loses the way to: within a share of 0.15 of the servers.
const CUT_ENGINES: usize = 2;

/// Framed answers of each of these engines before the others: those without a length are one in twenty
/// of its answers at most.
const FRAMED_ANSWERS: usize = 120;

/// Streams that are open when the other router is killed: a second of the sheet's traffic, and so few
/// that each engine runs some five of them.
const STREAMS: usize = 60;

/// The events of a stream, as on the sheet, and the gap between them.
const EVENTS: u64 = 40;
const GAP: Duration = Duration::from_millis(50);

/// How often the way is cut, until the router goes by way of the other one.
const ROUNDS: usize = 6;

/// The length of a cut.
const CUT: Duration = Duration::from_millis(5_000);

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
    for engine in &engines[..CUT_ENGINES] {
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
    let mut cut_at = Instant::now();
    for _ in 0..ROUNDS {
        let ran = runs(&engines[..CUT_ENGINES]);
        cut_at = Instant::now();
        if stage.has_trouble {
            paths.iter().for_each(TargetPath::cut);
            record.add("front-2 loses the way to i-engine00 and i-engine01");
        }
        // Idle connections to the engines are closed after 0.4 s.
        sleep(Duration::from_millis(600)).await;
        while cut_at.elapsed() < Duration::from_millis(2_600) {
            start_short(router.address, &mut number);
            sleep(Duration::from_millis(5)).await;
        }
        if !stage.has_trouble || runs(&engines[..CUT_ENGINES]) > ran + 4 {
            break;
        }
        sleep_until((cut_at + CUT).into()).await;
        paths.iter().for_each(TargetPath::heal);
        record.add("the way is open again; no stream had gone by way of front-1");
        for _ in 0..600 {
            start_short(router.address, &mut number);
            sleep(Duration::from_millis(5)).await;
        }
    }
    for engine in &engines[..CUT_ENGINES] {
        let answers = engine.runs().len();
        record.add(format!(
            "{} has given {answers} framed answers",
            engine.name()
        ));
        engine.set_framing(StreamFraming::Connection);
    }
    engines
        .iter()
        .for_each(|engine| engine.set_events(EVENTS, GAP));
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
    }
    sleep(Duration::from_millis(400)).await;
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
        return Err("no call went by way of the other router".into());
    }
    Ok(short > 0)
}

fn runs(engines: &[TargetStandIn]) -> usize {
    engines.iter().map(|engine| engine.runs().len()).sum()
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
