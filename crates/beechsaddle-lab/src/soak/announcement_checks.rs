//! The `announcement_checks` module provides the checks of what routers do about announcements: idle
//! times of configurations, and targets that fall silent, leave or ask for rest.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle_platform_stand_in::RunRecord;

use super::call_load::DEADLINE_MS;
use super::call_log::{CallEnd, CallExchange, RecordedCall, SoakEvidence};
use super::excuse_log::{ExcuseLog, ExcuseSubject};

/// How late a router may still send calls to a target after it passed on a response that says that
/// the target leaves.
const LEAVE_BOUND: Duration = Duration::from_millis(2_000);

/// Time after a request for rest in which calls that were already on their way may arrive.
const REST_DELAY: Duration = Duration::from_millis(500);

/// Calls that may reach a target during its rest, from each router.
const MAX_RESTING_CALLS: usize = 2;

/// Time before its deadline from which a call may end without an answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// A time without other faults than announcements.
#[derive(Clone, Copy, Debug)]
pub struct CalmSpan {
    pub from: Instant,
    pub until: Instant,
}

/// A call that reached a target.
struct TargetArrival<'a> {
    at: Instant,
    run: &'a RunRecord,
    call: &'a RecordedCall,
    exchange: CallExchange,
}

/// Returns the violations of all promises about announcements.
pub fn check_announcements(
    calls: &BTreeMap<String, RecordedCall>,
    evidence: &SoakEvidence,
    excuses: &ExcuseLog,
    calm: CalmSpan,
) -> Vec<String> {
    let mut violations = check_lost(calls, calm);
    for (target, runs) in &evidence.runs {
        let times = evidence.arrivals.get(target).map_or(&[][..], Vec::as_slice);
        for (router, arrivals) in arrivals_by_router(calls, runs, times) {
            violations.extend(check_leaving(target, router, &arrivals, excuses));
            violations.extend(check_rests(target, router, &arrivals, excuses));
        }
    }
    violations
}

/// Checks that no call of the calm span ends without an answer.
fn check_lost(calls: &BTreeMap<String, RecordedCall>, calm: CalmSpan) -> Vec<String> {
    let mut lost = Vec::new();
    for (id, call) in calls {
        let Some(exchange) = call.exchange else {
            continue;
        };
        // Earlier faults may have ended a connection that was idle at the time.
        let is_calm = exchange.idle_since >= calm.from && exchange.sent_at <= calm.until;
        let lasted = exchange.ended_at.duration_since(exchange.sent_at);
        if is_calm && is_cut_early(&exchange) {
            let router = exchange.router;
            let idle = exchange.sent_at.duration_since(exchange.idle_since);
            lost.push(format!(
                "{id} was lost at {router} after {lasted:?}: {:?}, {:?}, idle for {idle:?} before",
                exchange.end, call.kind
            ));
        }
    }
    lost
}

/// Whether a call ended without an answer before its deadline.
pub fn is_cut_early(exchange: &CallExchange) -> bool {
    let deadline = Duration::from_millis(DEADLINE_MS) - DEADLINE_MARGIN;
    let is_cut = matches!(exchange.end, CallEnd::BrokenOff | CallEnd::Closed);
    is_cut && exchange.ended_at.duration_since(exchange.sent_at) < deadline
}

/// Returns the calls of the load that reached a target, by the router that callers sent them to.
fn arrivals_by_router<'a>(
    calls: &'a BTreeMap<String, RecordedCall>,
    runs: &'a [RunRecord],
    times: &[Instant],
) -> BTreeMap<SocketAddr, Vec<TargetArrival<'a>>> {
    let mut arrivals = BTreeMap::<_, Vec<_>>::new();
    for (run, at) in runs.iter().zip(times) {
        let call = calls.get(run.request_id());
        let Some((call, exchange)) = call.and_then(|call| Some((call, call.exchange?))) else {
            continue;
        };
        let arrival = TargetArrival {
            at: *at,
            run,
            call,
            exchange,
        };
        arrivals.entry(exchange.router).or_default().push(arrival);
    }
    arrivals
}

/// Checks that a router sends no calls to a target that it knows to leave.
fn check_leaving(
    target: &str,
    router: SocketAddr,
    arrivals: &[TargetArrival<'_>],
    excuses: &ExcuseLog,
) -> Option<String> {
    let mut told: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.passes_on_leave(target))
        .map(|arrival| arrival.exchange.ended_at)
        .collect();
    told.sort();
    let late: Vec<_> = arrivals
        .iter()
        .filter_map(|arrival| {
            let known = told.partition_point(|at| *at + LEAVE_BOUND < arrival.exchange.sent_at);
            // The last one has the fewest excuses.
            let told_at = *told[..known].last()?;
            let subject = ExcuseSubject::Router(router);
            let is_excused = excuses.covers(&subject, told_at, arrival.at);
            (!is_excused).then(|| arrival.at.duration_since(told[0]))
        })
        .collect();
    let last = late.last()?;
    Some(format!(
        "{} calls reached {target} through {router} after it passed on that the target leaves, the last one {last:?} after",
        late.len()
    ))
}

impl TargetArrival<'_> {
    /// Whether the caller received a response of the target that says that the target leaves.
    fn passes_on_leave(&self, target: &str) -> bool {
        let seal = self.call.reply.as_ref().map_or("", |reply| reply.seal());
        let is_own = seal.strip_prefix("seal-") == Some(target);
        is_own
            && self
                .run
                .notice
                .as_ref()
                .is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the rest that the target asked for, from its response on.
    fn rest(&self) -> Option<(Instant, Duration)> {
        let notice = self.run.notice.as_ref()?;
        let seconds = notice.rest.as_ref()?.parse().ok()?;
        Some((notice.at, Duration::from_secs_f64(seconds)))
    }
}

/// Checks that a router leaves a target alone for the rest that it asked for.
fn check_rests(
    target: &str,
    router: SocketAddr,
    arrivals: &[TargetArrival<'_>],
    excuses: &ExcuseLog,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut reported_until = None;
    for (asked_at, rest) in arrivals.iter().filter_map(TargetArrival::rest) {
        let (from, until) = (asked_at + REST_DELAY, asked_at + rest);
        let within = |arrival: &&TargetArrival<'_>| arrival.at > from && arrival.at < until;
        let count = arrivals.iter().filter(within).count();
        let is_reported = reported_until.is_some_and(|reported| asked_at < reported);
        let subjects = [
            ExcuseSubject::Router(router),
            ExcuseSubject::Path(target.to_owned()),
        ];
        let is_excused = subjects
            .iter()
            .any(|subject| excuses.covers(subject, asked_at, until));
        if count > MAX_RESTING_CALLS && !is_reported && !is_excused {
            reported_until = Some(until);
            violations.push(format!(
                "{count} calls reached {target} through {router} in {rest:?} of rest that it asked for"
            ));
        }
    }
    violations
}
