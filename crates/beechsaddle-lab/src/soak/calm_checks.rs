//! The `calm_checks` module provides what must hold some seconds after the last fault.

use std::time::Duration;

use beechsaddle_platform_stand_in::{CallReply, CallRequest, call};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::call_book::{EXTRA_CALL, SoakKind};
use super::soak_fleet::{EVENTS, GRACE, SoakFleet, WORKSPACES};
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

/// Checks a fleet whose faults are over; gives the promises that were broken.
pub async fn check_calm(fleet: &mut SoakFleet) -> eyre::Result<Vec<String>> {
    sleep(CONTACT).await;
    let mut broken = check_config(fleet).await;
    broken.extend(check_service(fleet).await);
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
    reply.status == 200 && reply.is_whole && events == EVENTS
}

fn extra_call(kind: SoakKind, number: usize) -> CallRequest {
    CallRequest::new(
        kind.line(),
        &format!("{EXTRA_CALL}{kind:?}-{number}"),
        WORKSPACES[0].1,
    )
}
