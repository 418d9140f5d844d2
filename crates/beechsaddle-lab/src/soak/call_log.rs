//! The `call_log` module provides the record of all calls and the check of the invariants on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use beechsaddle_platform_stand_in::{CallReply, RunRecord};

/// Tokens of one event, as the configuration drafts declare them.
pub const EVENT_TOKENS: u64 = 3;

/// Statuses that guarantee that a call did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// The kind of a call, which decides whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKind {
    /// A short call that may run several times.
    Idempotent,
    /// A short call that may run only once.
    Once,
    /// A stream that may run only once.
    Stream,
    /// A stream that may resume at another target.
    Resumable,
}

impl SoakKind {
    /// Returns the method and path of the request.
    pub fn request_line(self) -> &'static str {
        match self {
            SoakKind::Idempotent => "GET /get/1",
            SoakKind::Once => "POST /order/1",
            SoakKind::Stream => "POST /stream/once/1",
            SoakKind::Resumable => "POST /stream/on/1",
        }
    }

    /// Whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, SoakKind::Stream | SoakKind::Resumable)
    }

    fn runs_once(self) -> bool {
        matches!(self, SoakKind::Once | SoakKind::Stream)
    }
}

/// The stream that a caller resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumedCall {
    /// The id of the call that received the first event.
    pub began_as: String,
    /// The id of the last event that the caller has.
    pub last_event: u64,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole response was received.
    Whole,
    /// The connection ended in the middle of the response.
    BrokenOff,
    /// The connection ended before a response.
    Closed,
    /// The caller left in the middle of the response.
    Left,
    /// The caller's deadline passed.
    TimedOut,
}

/// The way of a call between its caller and a router.
#[derive(Clone, Copy, Debug)]
pub struct CallExchange {
    pub router: SocketAddr,
    /// Whether it is the first call on its connection.
    pub is_first: bool,
    /// The end of the previous call on the connection, or the time of its opening.
    pub idle_since: Instant,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: CallEnd,
}

/// A call and its response.
#[derive(Clone, Debug)]
pub struct RecordedCall {
    pub kind: SoakKind,
    pub workspace: &'static str,
    /// Prompt tokens that the request states; 0 if it states none.
    pub input: u64,
    /// The stream that the call resumes.
    pub resumed: Option<ResumedCall>,
    /// The response; `None` if the connection ended before its head.
    pub reply: Option<CallReply>,
    /// The way of the call; `None` before it was sent.
    pub exchange: Option<CallExchange>,
}

impl RecordedCall {
    /// Returns the tokens that the call spent: its prompt if any target ran it, and the events that
    /// the caller received.
    fn spent(&self, has_run: bool) -> u64 {
        let input = if has_run { self.input } else { 0 };
        input + self.events().len() as u64 * EVENT_TOKENS
    }

    /// Returns the id of the last event that the caller has if it may resume the stream now.
    pub fn resumable_after(&self) -> Option<u64> {
        let is_complete = self.reply.as_ref().is_some_and(|reply| reply.is_complete);
        let is_refused = status(self) != 200;
        if self.kind != SoakKind::Resumable || (is_complete && !is_refused) {
            return None;
        }
        let before = self.resumed.as_ref().map(|resumed| resumed.last_event);
        self.events().last().copied().or(before)
    }

    /// Returns the software versions of the targets that sent the events.
    fn versions(&self) -> BTreeSet<&str> {
        let events = self.whole_events();
        events.filter_map(|event| event.lines().nth(1)).collect()
    }

    /// Returns the received events; a truncated one does not count.
    fn whole_events(&self) -> impl Iterator<Item = &str> {
        let body = self.reply.as_ref().map_or("", |reply| reply.body.as_str());
        let events = body.split_inclusive("\n\n");
        events.filter(|event| event.ends_with("\n\n"))
    }

    /// Returns the ids of the events that the caller received.
    fn events(&self) -> Vec<u64> {
        self.whole_events()
            .filter_map(|event| event.strip_prefix("id: "))
            .filter_map(|event| event.split('\n').next()?.parse().ok())
            .collect()
    }
}

/// All calls of a soak, and the violations that were detected while it ran.
#[derive(Clone, Debug, Default)]
pub struct CallLog {
    calls: Arc<Mutex<BTreeMap<String, RecordedCall>>>,
    violations: Arc<Mutex<Vec<String>>>,
}

impl CallLog {
    /// Records a call and its response.
    pub fn record(&self, id: String, call: RecordedCall) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.insert(id, call);
    }

    /// Records a violation that was detected during the run.
    pub fn record_violation(&self, what: String) {
        let mut violations = self
            .violations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        violations.push(what);
    }

    /// Returns all calls by id.
    pub fn calls(&self) -> BTreeMap<String, RecordedCall> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }

    /// Returns the number of calls, and of those that a target answered with success.
    pub fn counts(&self) -> (usize, usize) {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let answered = calls.values().filter(|call| status(call) == 200);
        (calls.len(), answered.count())
    }

    /// Returns the number of calls that resumed a stream, and of those that continued it.
    pub fn resume_counts(&self) -> (usize, usize) {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let resumed = calls.values().filter(|call| call.resumed.is_some());
        let continued = resumed.clone().filter(|call| status(call) == 200);
        (resumed.count(), continued.count())
    }

    /// Returns all violations of invariants, each with the call that shows it.
    pub fn check(&self, evidence: &SoakEvidence) -> Vec<String> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let ran = evidence.targets_by_id();
        let mut violations = {
            let seen = self
                .violations
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            seen.clone()
        };
        for (id, call) in calls.iter() {
            let targets = ran.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            violations.extend(check_call(id, call, targets, evidence.events));
        }
        violations.extend(check_versions(&calls));
        violations.extend(ran.keys().filter_map(|id| {
            let is_known = calls.contains_key(*id) || id.starts_with(EXTRA_CALL);
            (!is_known).then(|| {
                let lines = evidence.request_lines(id);
                format!("{id:?} ran but no caller sent it: {lines:?}")
            })
        }));
        for totals in &evidence.totals {
            let own = calls
                .iter()
                .filter(|(_, call)| call.workspace == totals.workspace);
            let spent = own
                .map(|(id, call)| call.spent(ran.contains_key(id.as_str())))
                .sum();
            violations.extend(totals.check(spent));
        }
        violations
    }
}

/// Prefix of the ids of calls that are not part of the load.
pub const EXTRA_CALL: &str = "extra-";

/// The records of targets and store at the end of a soak.
#[derive(Clone, Debug)]
pub struct SoakEvidence {
    /// Number of events of a complete stream.
    pub events: u64,
    /// The requests that reached each target, by target name.
    pub runs: BTreeMap<String, Vec<RunRecord>>,
    /// When these requests arrived, in the same order.
    pub arrivals: BTreeMap<String, Vec<Instant>>,
    pub totals: Vec<WorkspaceTotals>,
}

impl SoakEvidence {
    /// Returns the targets that ran each call, by call id.
    fn targets_by_id(&self) -> BTreeMap<&str, Vec<&str>> {
        let mut ran = BTreeMap::<&str, Vec<&str>>::new();
        for (target, records) in &self.runs {
            for record in records.iter().filter(|record| record.is_run) {
                ran.entry(record.request_id()).or_default().push(target);
            }
        }
        ran
    }

    /// Returns the request lines of all runs of a call, each after the name of its target.
    fn request_lines(&self, id: &str) -> Vec<String> {
        let runs = self
            .runs
            .iter()
            .flat_map(|(target, records)| records.iter().map(move |record| (target, record)));
        runs.filter(|(_, record)| record.is_run && record.request_id() == id)
            .map(|(target, record)| format!("{target}: {}", record.first_line))
            .collect()
    }
}

/// A workspace's totals, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceTotals {
    pub workspace: &'static str,
    /// Tokens that it may spend.
    pub prepaid: u64,
    /// Tokens that routers took from its ledger.
    pub taken: u64,
}

impl WorkspaceTotals {
    fn check(&self, spent: u64) -> Option<String> {
        let holds = spent <= self.taken && self.taken <= self.prepaid;
        (!holds).then(|| format!("{self:?}, {spent} spent"))
    }
}

fn status(call: &RecordedCall) -> u16 {
    call.reply.as_ref().map_or(0, |reply| reply.status)
}

fn check_call(id: &str, call: &RecordedCall, targets: &[&str], events: u64) -> Vec<String> {
    let mut violations = Vec::new();
    if call.kind.runs_once() && targets.len() > 1 {
        violations.push(format!("{id} may run once and ran at {targets:?}"));
    }
    if call.kind.runs_once() && NOT_RUN.contains(&status(call)) && !targets.is_empty() {
        violations.push(format!("{id} got {} and ran at {targets:?}", status(call)));
    }
    if [401, 403, 404].contains(&status(call)) {
        violations.push(format!(
            "{id} got {} on a route of all versions",
            status(call)
        ));
    }
    if let Some(reply) = call.reply.as_ref().filter(|reply| reply.status == 200) {
        violations.extend(check_answer(id, call, reply, targets, events));
    }
    violations
}

fn check_answer(
    id: &str,
    call: &RecordedCall,
    reply: &CallReply,
    targets: &[&str],
    events: u64,
) -> Option<String> {
    let seal = reply.seal().strip_prefix("seal-").unwrap_or_default();
    if reply.request_id() != id || !targets.contains(&seal) {
        return Some(format!(
            "{id} got the response of another call: {reply:?}, ran at {targets:?}"
        ));
    }
    if !call.kind.is_stream() {
        let is_right = !reply.is_complete || reply.body == seal;
        return (!is_right).then(|| format!("{id} got an unexpected body: {reply:?}"));
    }
    let seen = call.events();
    let resumed = call.resumed.as_ref();
    let before = resumed.map_or(0, |resumed| resumed.last_event);
    let last = before + seen.len() as u64;
    let is_in_order = seen.iter().copied().eq(before + 1..=last);
    let has_all_events = last == events;
    (!is_in_order || (reply.is_complete && !has_all_events)).then(|| {
        format!(
            "{id} got the events {seen:?} of {events}, complete: {}",
            reply.is_complete
        )
    })
}

/// Returns the streams that hold events of several software versions, in one response or over a
/// caller's attempts.
fn check_versions(calls: &BTreeMap<String, RecordedCall>) -> Vec<String> {
    let mut streams = BTreeMap::<&str, BTreeSet<&str>>::new();
    for (id, call) in calls.iter().filter(|(_, call)| call.kind.is_stream()) {
        let resumed = call.resumed.as_ref();
        let began_as = resumed.map_or(id.as_str(), |resumed| resumed.began_as.as_str());
        let versions = streams.entry(began_as).or_default();
        versions.extend(call.versions());
    }
    let mixed = streams.iter().filter(|(_, versions)| versions.len() > 1);
    mixed
        .map(|(id, versions)| format!("{id} has events of the versions {versions:?}"))
        .collect()
}
