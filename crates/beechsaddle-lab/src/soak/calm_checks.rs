//! The `calm_checks` module provides what must hold some seconds after the last fault.

use std::time::Duration;

use beechsaddle_platform_stand_in::{CallReply, CallRequest, call};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::call_book::{EXTRA_CALL, SoakKind};
use super::soak_fleet::{GRACE, PLACES, SoakFleet, WORKSPACES};
use super::soak_target::{CRASH_MARK, EVENTS};
use super::version_watch::ask_version;

/// How long after the last fault the bounds hold again.
const CONTACT: Duration = Duration::from_millis(4_000);

/// How long a new configuration may take.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

/// How long after its entry says that it leaves a target may get calls.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// The pause between two events of the streams that are open at a shutdown.
const SLOW_GAP: Duration = Duration::from_millis(150);

/// Streams that are open at a shutdown.
const OPEN_STREAMS: usize = 6;

/// Within this all routers have heard of a limit, or of a third crash.
const HEARD_SPAN: Duration = Duration::from_millis(3_000);

/// The span over which a limit is held.
const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);

/// Calls that a target may get in it that names a limit of one a second.
const LIMIT_ALLOWED: usize = 11;

/// How often a body may reach targets after the third crash under it.
const CRASHES_ALLOWED: usize = 3;

/// Calls of a round with a body that crashes targets, and the pause between two.
const CRASHING_CALLS: usize = 12;
/// See [`CRASHING_CALLS`].
const CRASHING_GAP: Duration = Duration::from_millis(150);

/// Checks a fleet whose faults are over; gives the promises that were broken.
pub async fn check_calm(
    fleet: &mut SoakFleet,
    has_target_faults: bool,
) -> eyre::Result<Vec<String>> {
    sleep(CONTACT).await;
    fleet.revive().await?;
    let mut broken = check_config(fleet).await;
    broken.extend(check_service(fleet).await);
    if has_target_faults {
        broken.extend(check_limit(fleet).await);
        broken.extend(check_crashes(fleet).await?);
    }
    broken.extend(check_drain(fleet).await?);
    broken.extend(check_shutdown(fleet).await?);
    Ok(broken)
}

async fn check_config(fleet: &mut SoakFleet) -> Vec<String> {
    fleet.put_config();
    sleep(CONFIG_BOUND).await;
    let version = fleet.config.version;
    let asked = fleet.routers.iter().map(|router| async move {
        let answer = ask_version(router.calls, version).await;
        (answer == Some(404)).then(|| format!("{} lacks version {version}", router.calls))
    });
    join_all(asked).await.into_iter().flatten().collect()
}

/// Nine in ten calls are answered again.
async fn check_service(fleet: &SoakFleet) -> Option<String> {
    let mut answered = 0;
    for number in 0..20 {
        let router = &fleet.routers[number % fleet.routers.len()];
        let request = extra_call(SoakKind::Idempotent, number);
        let reply = call(router.calls, &request).await;
        answered += usize::from(reply.is_ok_and(|reply| reply.status == 200));
    }
    (answered < 18).then(|| format!("{answered} of 20 calls were answered after all faults"))
}

/// A target that names a limit gets no more than the platform allows from the load.
async fn check_limit(fleet: &SoakFleet) -> Option<String> {
    let engines = fleet.targets[..PLACES]
        .iter()
        .map(|target| &target.stand_in);
    let limited = engines.rev().find(|target| !target.has_crashed())?.clone();
    limited.set_limit(Some("1"));
    sleep(HEARD_SPAN).await;
    let before = limited.arrivals().len();
    sleep(LIMIT_WINDOW).await;
    let count = limited.arrivals().len() - before;
    limited.set_limit(None);
    (count > LIMIT_ALLOWED).then(|| {
        let name = limited.name();
        format!("{name} named a limit of 1 a second and got {count} calls in {LIMIT_WINDOW:?}")
    })
}

/// A body that crashes its targets reaches few of them after the third.
async fn check_crashes(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let body = [CRASH_MARK, b"-calm"].concat();
    call_crashing(fleet, &body, 0).await?;
    if fleet.arrivals(&body) < 3 {
        return Ok(Some(
            "a body that crashes targets reached fewer than three".to_owned(),
        ));
    }
    sleep(HEARD_SPAN).await;
    let before = fleet.arrivals(&body);
    call_crashing(fleet, &body, 1).await?;
    let late = fleet.arrivals(&body) - before;
    // Targets that it still crashed come back, for what is checked next.
    for _ in 0..2 {
        sleep(CONTACT / 4).await;
        fleet.revive().await?;
    }
    let crashed = format!("a body that crashed {before} targets was sent to {late} more");
    Ok((late > CRASHES_ALLOWED).then_some(crashed))
}

/// Has each router called some times with a body, while targets that crash come back.
async fn call_crashing(fleet: &mut SoakFleet, body: &[u8], round: usize) -> eyre::Result<()> {
    for number in 0..CRASHING_CALLS {
        let router = fleet.routers[number % fleet.routers.len()].calls;
        let number = round * CRASHING_CALLS + number;
        let mut request = extra_call(SoakKind::Resumable, number);
        request.id = format!("{}-crash", request.id);
        request.tokens = Some((50, 18));
        request.body = body.to_owned();
        // What a caller of such a body gets does not matter.
        let _ = call(router, &request).await;
        sleep(CRASHING_GAP).await;
        fleet.revive().await?;
    }
    Ok(())
}

async fn check_drain(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let leaving = fleet.targets[0].stand_in.clone();
    fleet.replace_target(0).await?;
    sleep(DRAIN_BOUND).await;
    let before = leaving.runs().len();
    sleep(Duration::from_millis(700)).await;
    let late = leaving.runs().len() - before;
    Ok((late > 0).then(|| format!("{late} calls reached {} too late", leaving.name())))
}

/// Streams that are open when a router is told to end come to their end, and it ends in time.
async fn check_shutdown(fleet: &mut SoakFleet) -> eyre::Result<Vec<String>> {
    let router = &fleet.routers[0];
    for target in &fleet.targets {
        target.stand_in.set_events(EVENTS, SLOW_GAP);
    }
    let streams: Vec<_> = (0..OPEN_STREAMS)
        .map(|number| {
            let (calls, request) = (router.calls, extra_call(SoakKind::Stream, number));
            tokio::spawn(async move { call(calls, &request).await })
        })
        .collect();
    sleep(2 * SLOW_GAP).await;
    if let Some(process) = &router.process {
        process.terminate()?;
    }
    let mut broken = Vec::new();
    for stream in streams {
        let reply = stream.await?;
        if !reply.as_ref().is_ok_and(is_whole_stream) {
            broken.push(format!("a shutdown cut a stream: {reply:?}"));
        }
    }
    broken.extend(check_exit(fleet).await?);
    Ok(broken)
}

async fn check_exit(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let until = Instant::now() + GRACE;
    let Some(process) = &mut fleet.routers[0].process else {
        return Ok(Some("a router ended by itself".to_owned()));
    };
    while Instant::now() < until {
        if let Some(status) = process.wait(Duration::ZERO)? {
            return Ok((!status.success()).then(|| format!("a router ended with {status}")));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(Some(format!("a router did not end within {GRACE:?}")))
}

fn is_whole_stream(reply: &CallReply) -> bool {
    let events = reply.body.matches("data: piece").count() as u64;
    reply.status == 200 && reply.is_complete && events == EVENTS
}

fn extra_call(kind: SoakKind, number: usize) -> CallRequest {
    CallRequest::new(
        kind.line(),
        &format!("{EXTRA_CALL}{kind:?}-{number}"),
        WORKSPACES[0].1,
    )
}
