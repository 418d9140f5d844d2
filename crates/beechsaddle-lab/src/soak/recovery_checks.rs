//! The `recovery_checks` module provides the checks of a fleet after the last fault.

use std::time::Duration;

use beechsaddle_platform_stand_in::{CallReply, CallRequest, call};
use futures::future::join_all;
use tokio::time::{Instant, sleep};

use super::call_log::{EXTRA_CALL, SoakKind};
use super::fault_plan::DOMAINS;
use super::soak_fleet::{GRACE, SoakFleet, TARGET_SLOTS, WORKSPACES};
use super::soak_target::{CRASH_MARK, EVENTS};
use super::version_watch::probe_version;

/// Time after the last fault from which all bounds must hold again.
pub const RECOVERY_BOUND: Duration = Duration::from_millis(4_000);

/// Time within which a new configuration must take effect.
const CONFIG_BOUND: Duration = Duration::from_millis(2_000);

/// How long a target may still receive calls after its entry says that it is draining.
const DRAIN_BOUND: Duration = Duration::from_millis(2_000);

/// The time between two events of the streams that are open at a shutdown.
const SLOW_EVENT_GAP: Duration = Duration::from_millis(150);

/// Number of streams that are open at a shutdown.
const OPEN_STREAMS: usize = 6;

/// Time within which all routers must have received a limit, or the report of a third crash.
const PROPAGATION_BOUND: Duration = Duration::from_millis(3_000);

/// The time over which the calls of a limited target are counted.
const LIMIT_WINDOW: Duration = Duration::from_millis(4_000);

/// Calls that a target with a limit of one per second may receive within [`LIMIT_WINDOW`].
const MAX_LIMITED_CALLS: usize = 11;

/// Calls with a sound part that must be answered while calls with a crashing one come.
const MIN_SOUND_CALLS: usize = CRASHING_CALLS / 2;

/// How often a request body may still reach targets after it has crashed three, or requests with a
/// prompt part after it has crashed five.
const MAX_LATE_ARRIVALS: usize = 3;

/// Time within which an evacuation has to be in force, as set in the routers' settings.
const EVACUATION_BOUND: Duration = Duration::from_millis(5_000);

/// How long no call may reach the targets of an evacuated domain.
const EVACUATION_SPAN: Duration = Duration::from_millis(1_500);

/// Calls with a crashing body in one round.
const CRASHING_CALLS: usize = 12;
/// The pause after each of the [`CRASHING_CALLS`].
const CRASHING_GAP: Duration = Duration::from_millis(150);

/// Checks a fleet after its faults have ended. Returns the violations of invariants.
pub async fn check_recovery(
    fleet: &mut SoakFleet,
    has_target_faults: bool,
) -> eyre::Result<Vec<String>> {
    sleep(RECOVERY_BOUND).await;
    fleet.replace_crashed_targets().await?;
    let mut violations = check_config(fleet).await;
    violations.extend(check_service(fleet).await);
    if has_target_faults {
        violations.extend(check_evacuation(fleet).await);
        violations.extend(check_limit(fleet).await);
        violations.extend(check_crashes(fleet).await?);
        violations.extend(check_crashing_part(fleet).await?);
    }
    violations.extend(check_drain(fleet).await?);
    violations.extend(check_shutdown(fleet).await?);
    Ok(violations)
}

async fn check_config(fleet: &mut SoakFleet) -> Vec<String> {
    fleet.put_config();
    sleep(CONFIG_BOUND).await;
    let version = fleet.config.version;
    let probes = fleet.routers.iter().map(|router| async move {
        let answer = probe_version(router.calls, version).await;
        (answer == Some(404)).then(|| format!("{} lacks version {version}", router.calls))
    });
    join_all(probes).await.into_iter().flatten().collect()
}

/// Checks that nine in ten calls succeed again.
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

/// Checks that the targets of an evacuated domain get no more calls of the load.
async fn check_evacuation(fleet: &SoakFleet) -> Option<String> {
    let domain = DOMAINS[0];
    fleet.store.evacuate(domain);
    sleep(EVACUATION_BOUND).await;
    let arrivals = || -> usize {
        let targets = fleet.targets.iter();
        let evacuated = targets.filter(|target| target.zone == domain);
        evacuated
            .map(|target| target.stand_in.arrivals().len())
            .sum()
    };
    let before = arrivals();
    sleep(EVACUATION_SPAN).await;
    let late = arrivals() - before;
    fleet.store.withdraw_evacuation(domain);
    sleep(PROPAGATION_BOUND).await;
    (late > 0).then(|| format!("{late} calls reached targets of the evacuated domain {domain}"))
}

/// Checks that a target which sets a rate limit receives no more calls of the load than allowed.
async fn check_limit(fleet: &SoakFleet) -> Option<String> {
    let engines = fleet.targets[..TARGET_SLOTS]
        .iter()
        .map(|target| &target.stand_in);
    let limited = engines.rev().find(|target| !target.has_crashed())?.clone();
    limited.set_limit(Some("1"));
    sleep(PROPAGATION_BOUND).await;
    let before = limited.arrivals().len();
    sleep(LIMIT_WINDOW).await;
    let count = limited.arrivals().len() - before;
    limited.set_limit(None);
    (count > MAX_LIMITED_CALLS).then(|| {
        let name = limited.name();
        format!("{name} set a limit of 1 per second and got {count} calls in {LIMIT_WINDOW:?}")
    })
}

/// Checks that a body which crashes its targets reaches few more after the third.
async fn check_crashes(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let body = [CRASH_MARK, b"-calm"].concat();
    call_crashing(fleet, &body, 0).await?;
    if fleet.arrivals(&body) < 3 {
        return Ok(Some(
            "a body that crashes targets reached fewer than three".to_owned(),
        ));
    }
    sleep(PROPAGATION_BOUND).await;
    let before = fleet.arrivals(&body);
    call_crashing(fleet, &body, 1).await?;
    let late = fleet.arrivals(&body) - before;
    // The targets that this round crashed are replaced for the checks that follow.
    for _ in 0..2 {
        sleep(RECOVERY_BOUND / 4).await;
        fleet.replace_crashed_targets().await?;
    }
    let crashed = format!("a body that crashed {before} targets was sent to {late} more");
    Ok((late > MAX_LATE_ARRIVALS).then_some(crashed))
}

/// Sends calls with a body through all routers in turn, while crashed targets are replaced.
async fn call_crashing(fleet: &mut SoakFleet, body: &[u8], round: usize) -> eyre::Result<()> {
    for number in 0..CRASHING_CALLS {
        let router = fleet.routers[number % fleet.routers.len()].calls;
        let number = round * CRASHING_CALLS + number;
        let mut request = extra_call(SoakKind::Resumable, number);
        request.id = format!("{}-crash", request.id);
        request.tokens = Some((50, 18));
        request.body = body.to_owned();
        // The response to a crashing body is not checked.
        let _ = call(router, &request).await;
        sleep(CRASHING_GAP).await;
        fleet.replace_crashed_targets().await?;
    }
    Ok(())
}

/// Checks that a prompt part which crashes its targets reaches few more after the fifth, and that calls
/// with another part of the same prompts are answered meanwhile.
async fn check_crashing_part(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let mark = [CRASH_MARK, b"-part"].concat();
    call_parts(fleet, &mark, 0).await?;
    sleep(PROPAGATION_BOUND).await;
    let before = fleet.arrivals_with(&mark);
    let answered = call_parts(fleet, &mark, 1).await?;
    let late = fleet.arrivals_with(&mark) - before;
    for _ in 0..2 {
        sleep(RECOVERY_BOUND / 4).await;
        fleet.replace_crashed_targets().await?;
    }
    if late > MAX_LATE_ARRIVALS {
        let crashed = format!("a part that crashed {before} targets was sent to {late} more");
        return Ok(Some(crashed));
    }
    let starved = format!("{answered} of {CRASHING_CALLS} calls beside a crashing part answered");
    Ok((answered < MIN_SOUND_CALLS).then_some(starved))
}

/// Sends calls with a crashing part through all routers in turn, a sound call after each. Returns how
/// many sound calls were answered.
async fn call_parts(fleet: &mut SoakFleet, mark: &[u8], round: usize) -> eyre::Result<usize> {
    let mut answered = 0;
    for number in 0..CRASHING_CALLS {
        let number = round * CRASHING_CALLS + number;
        let crashing = part_call(number, &["shared", "crashing"], mark);
        let router = fleet.routers[number % fleet.routers.len()].calls;
        // The response to a crashing call is not checked.
        let _ = call(router, &crashing).await;
        let router = fleet.routers[(number + 1) % fleet.routers.len()].calls;
        let sound = call(router, &part_call(number, &["shared"], b"sound")).await;
        answered += usize::from(sound.is_ok_and(|reply| reply.status == 200 && reply.is_complete));
        sleep(CRASHING_GAP).await;
        fleet.replace_crashed_targets().await?;
    }
    Ok(answered)
}

/// Returns a call with parts of a prompt, whose last part and body occur in no other one.
fn part_call(number: usize, parts: &[&str], mark: &[u8]) -> CallRequest {
    let mut request = extra_call(SoakKind::Resumable, number);
    request.id = format!("{}-{}", request.id, String::from_utf8_lossy(mark));
    request.tokens = Some((50, 18));
    let own = request.id.clone();
    let parts = parts.iter().copied().chain([own.as_str()]);
    request.set_prompt(&parts.collect::<Vec<_>>());
    request.body = [mark, request.id.as_bytes()].concat();
    request
}

async fn check_drain(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let leaving = fleet.targets[0].stand_in.clone();
    fleet.replace_target(0).await?;
    sleep(DRAIN_BOUND).await;
    let before = leaving.runs().len();
    sleep(Duration::from_millis(700)).await;
    let late = leaving.runs().len() - before;
    Ok((late > 0).then(|| format!("{late} calls reached drained {}", leaving.name())))
}

/// Checks that the open streams of a terminated router are completed, and that it exits in time.
async fn check_shutdown(fleet: &mut SoakFleet) -> eyre::Result<Vec<String>> {
    let router = &fleet.routers[0];
    for target in &fleet.targets {
        target.stand_in.set_events(EVENTS, SLOW_EVENT_GAP);
    }
    let streams: Vec<_> = (0..OPEN_STREAMS)
        .map(|number| {
            let (calls, request) = (router.calls, extra_call(SoakKind::Stream, number));
            tokio::spawn(async move { call(calls, &request).await })
        })
        .collect();
    sleep(2 * SLOW_EVENT_GAP).await;
    if let Some(process) = &router.process {
        process.terminate()?;
    }
    let mut violations = Vec::new();
    for stream in streams {
        let reply = stream.await?;
        if !reply.as_ref().is_ok_and(is_whole_stream) {
            violations.push(format!("a shutdown truncated a stream: {reply:?}"));
        }
    }
    violations.extend(check_exit(fleet).await?);
    Ok(violations)
}

async fn check_exit(fleet: &mut SoakFleet) -> eyre::Result<Option<String>> {
    let until = Instant::now() + GRACE;
    let Some(process) = &mut fleet.routers[0].process else {
        return Ok(Some("a router exited unexpectedly".to_owned()));
    };
    while Instant::now() < until {
        if let Some(status) = process.wait(Duration::ZERO)? {
            return Ok((!status.success()).then(|| format!("a router exited with {status}")));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(Some(format!("a router did not exit within {GRACE:?}")))
}

fn is_whole_stream(reply: &CallReply) -> bool {
    let events = reply.body.matches("data: piece").count() as u64;
    reply.status == 200 && reply.is_complete && events == EVENTS
}

fn extra_call(kind: SoakKind, number: usize) -> CallRequest {
    CallRequest::new(
        kind.request_line(),
        &format!("{EXTRA_CALL}{kind:?}-{number}"),
        WORKSPACES[0].1,
    )
}
