//! Tests of prompt parts that crash the targets that run them, whatever else a request holds.

mod crash_support;
mod gateway_support;

use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::{CallReply, CallRequest, StreamFraming, call};
use crash_support::{CrashFleet, body_request};
use tokio::time::sleep;

/// Time within which all routers must know of a crash.
const PROPAGATION_SPAN: Duration = Duration::from_millis(3_000);

/// Number of crashes under one part after which it must be refused.
const CRASHES_ALLOWED: usize = 5;

/// Maximum number of targets that requests with the part may still reach after `PROPAGATION_SPAN`.
const MAX_LATE_ARRIVALS: usize = 3;

/// Maximum time to wait for the crashes that a test begins with.
const CRASHES_LIMIT: Duration = Duration::from_secs(10);

/// Where the part that crashes targets stands in a prompt.
#[derive(Clone, Copy, Debug)]
enum PartPlace {
    First,
    Middle,
    Alone,
    /// Among parts that occur in no other request.
    AmongNew,
}

/// Returns a request whose body and last part occur in no other one.
fn part_request(id: &str, parts: &[&str], body: &str) -> CallRequest {
    let body = format!("{body} {id}");
    let mut request = body_request(id, body.as_bytes());
    let parts = parts.iter().copied().chain([id]);
    request.set_prompt(&parts.collect::<Vec<_>>());
    request
}

fn crashing_request(id: &str, place: PartPlace) -> CallRequest {
    let (before, after) = (format!("{id}-a"), format!("{id}-b"));
    let parts: &[&str] = match place {
        PartPlace::First => &["bad", "shared"],
        PartPlace::Middle => &["shared", "bad"],
        PartPlace::Alone => &["bad"],
        PartPlace::AmongNew => &[&before, "bad", &after],
    };
    part_request(id, parts, "crash")
}

fn sound_request(id: &str) -> CallRequest {
    part_request(id, &["shared"], "sound")
}

fn is_answered(reply: Option<&CallReply>) -> bool {
    reply.is_some_and(|reply| reply.status == 200 && reply.is_complete)
}

fn is_refused(reply: Option<&CallReply>) -> bool {
    reply.is_some_and(|reply| reply.body.contains("crashes_targets"))
}

/// Sends requests with the part to all routers in turn until enough targets have crashed, and waits
/// until all routers must know.
async fn crash_targets(fleet: &CrashFleet, place: PartPlace) {
    let until = Instant::now() + CRASHES_LIMIT;
    let mut number = 0;
    while fleet.engines.crash_count() < CRASHES_ALLOWED {
        assert!(Instant::now() < until, "too few crashes");
        let id = format!("first{number}");
        let router = number % fleet.routers.len();
        fleet.call(router, &crashing_request(&id, place)).await;
        number += 1;
        sleep(Duration::from_millis(50)).await;
    }
    sleep(PROPAGATION_SPAN).await;
}

/// Sends thirty requests with the part, a sound one after each, and returns how many sound ones were
/// answered and which were refused.
async fn send_mixed(fleet: &CrashFleet, place: PartPlace) -> (usize, Vec<usize>) {
    let (mut answered, mut refused) = (0, Vec::new());
    for number in 0..30 {
        let router = number % fleet.routers.len();
        let id = format!("late{number}");
        fleet.call(router, &crashing_request(&id, place)).await;
        let sound = sound_request(&format!("sound{number}"));
        let reply = fleet.call((router + 1) % fleet.routers.len(), &sound).await;
        answered += usize::from(is_answered(reply.as_ref()));
        if is_refused(reply.as_ref()) {
            refused.push(number);
        }
        sleep(Duration::from_millis(50)).await;
    }
    (answered, refused)
}

async fn assert_part_is_refused(place: PartPlace) {
    let fleet = CrashFleet::start(8).await;
    crash_targets(&fleet, place).await;
    assert_few_late_arrivals(&fleet, place).await;
}

/// Checks that few requests with the part still reach engines, and that sound ones are answered.
async fn assert_few_late_arrivals(fleet: &CrashFleet, place: PartPlace) {
    let before = fleet.engines.arrivals_with(b"crash");
    let (answered, refused) = send_mixed(fleet, place).await;
    let late = fleet.engines.arrivals_with(b"crash") - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} more arrivals at engines");
    assert!(refused.is_empty(), "sound ones refused at {refused:?}");
    assert!(answered >= 27, "{answered} of 30 sound ones answered");
}

/// Requests of which no two are alike reach few targets once a part that all of them have in the
/// middle of their prompts has crashed five.
#[tokio::test]
async fn crashing_part_in_the_middle_reaches_few_targets() {
    assert_part_is_refused(PartPlace::Middle).await;
}

/// The same where the part comes first.
#[tokio::test]
async fn crashing_part_first_reaches_few_targets() {
    assert_part_is_refused(PartPlace::First).await;
}

/// The same where prompts have no other part but their last one.
#[tokio::test]
async fn crashing_part_alone_reaches_few_targets() {
    assert_part_is_refused(PartPlace::Alone).await;
}

/// The same where all other parts occur once.
#[tokio::test]
async fn crashing_part_among_new_parts_reaches_few_targets() {
    assert_part_is_refused(PartPlace::AmongNew).await;
}

/// All routers receive requests with the part at the same moment. They must not each try one in
/// every burst.
#[tokio::test]
async fn crashing_part_in_bursts_reaches_few_targets() {
    let fleet = CrashFleet::start(8).await;
    send_burst(&fleet, 0).await;
    crash_targets(&fleet, PartPlace::Middle).await;
    let before = fleet.engines.arrivals_with(b"crash");
    for burst in 1..6 {
        send_burst(&fleet, burst).await;
        sleep(Duration::from_millis(1_000)).await;
    }
    let late = fleet.engines.arrivals_with(b"crash") - before;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} more arrivals at engines");
}

/// Calls each router four times at the same moment.
async fn send_burst(fleet: &CrashFleet, burst: usize) {
    let calls = (0..12).map(|number| {
        let id = format!("burst{burst}-{number}");
        let request = crashing_request(&id, PartPlace::Middle);
        let address = fleet.routers[number % fleet.routers.len()].address;
        tokio::spawn(async move { call(address, &request).await })
    });
    for call in calls.collect::<Vec<_>>() {
        // The responses do not matter here.
        let _ = call.await;
    }
}

/// Routers that reach each other only through the store stop sending requests with the part.
#[tokio::test]
async fn crashing_part_is_known_through_the_store() {
    let fleet = CrashFleet::start(8).await;
    fleet.isolate_routers().await;
    crash_targets(&fleet, PartPlace::Middle).await;
    assert_few_late_arrivals(&fleet, PartPlace::Middle).await;
}

/// Routers that have all been restarted still refuse requests with the part.
#[tokio::test]
async fn crashing_part_is_refused_by_restarted_routers() {
    let mut fleet = CrashFleet::start(8).await;
    crash_targets(&fleet, PartPlace::Middle).await;
    for router in &mut fleet.routers {
        router.restart();
    }
    for router in &fleet.routers {
        router.wait_ready().await;
    }
    sleep(PROPAGATION_SPAN).await;
    assert_few_late_arrivals(&fleet, PartPlace::Middle).await;
}

/// A part that has only ever been beside the one that crashes targets looks the same. Sound requests
/// with it must be able to show that it is not the cause.
#[tokio::test]
async fn sound_part_beside_crashing_part_is_not_refused() {
    let fleet = CrashFleet::start(8).await;
    crash_targets(&fleet, PartPlace::Middle).await;
    let (mut answered, mut refused) = (0, 0);
    for number in 0..30 {
        let sound = sound_request(&format!("sound{number}"));
        let reply = fleet.call(number % fleet.routers.len(), &sound).await;
        answered += usize::from(is_answered(reply.as_ref()));
        refused += usize::from(is_refused(reply.as_ref()));
        sleep(Duration::from_millis(50)).await;
    }
    assert!(
        answered >= 27,
        "{answered} of 30 answered, {refused} refused"
    );
}

/// A stream that ends with its connection between two events looks complete. If its target has
/// crashed, that counts against the part, instead of clearing it.
#[tokio::test]
async fn unframed_stream_cut_between_events_is_a_crash() {
    let fleet = CrashFleet::start(2).await;
    for engine in fleet.engines.running() {
        engine.set_framing(StreamFraming::Connection);
        engine.set_crash_events(2);
    }
    let request = crashing_request("cut", PartPlace::Alone);
    fleet.call(0, &request).await;
    let router = &fleet.routers[0];
    router.wait_log(&["target_crashed", "kind=part"]).await;
}

/// All targets are killed together several times while requests with a popular part run on them, and
/// none of these completes. The part must not be refused.
#[tokio::test]
async fn targets_killed_together_again_block_no_part() {
    let fleet = CrashFleet::start(6).await;
    for round in 0..4 {
        kill_all_targets(&fleet, round).await;
        // The engines have restarted by then.
        sleep(Duration::from_millis(900)).await;
    }
    let mut answered = 0;
    for number in 0..30 {
        let popular = part_request(&format!("after{number}"), &["popular"], "sound");
        let reply = fleet.call(number % fleet.routers.len(), &popular).await;
        answered += usize::from(is_answered(reply.as_ref()));
        sleep(Duration::from_millis(50)).await;
    }
    assert!(answered >= 28, "{answered} of 30 answered");
}

/// Kills all engines while requests with the part `popular` run on them.
async fn kill_all_targets(fleet: &CrashFleet, round: usize) {
    for engine in fleet.engines.running() {
        engine.set_response_delay(Duration::from_millis(400));
    }
    let calls = (0..18).map(|number| {
        let id = format!("popular{round}-{number}");
        let request = part_request(&id, &["popular"], "sound");
        let address = fleet.routers[number % fleet.routers.len()].address;
        tokio::spawn(async move { call(address, &request).await })
    });
    let calls: Vec<_> = calls.collect();
    sleep(Duration::from_millis(250)).await;
    for engine in fleet.engines.running() {
        engine.crash();
    }
    for call in calls {
        // The results of the interrupted calls do not matter here.
        let _ = call.await;
    }
}
