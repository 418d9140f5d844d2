//! The `call_book` module provides what callers asked and saw, and whether the promises were kept.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use beechsaddle_platform_stand_in::{CallReply, RunRecord};

/// Tokens of one event, as the drafts declare them.
pub const EVENT_TOKENS: u64 = 3;

/// Statuses that promise that a call did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What may be repeated of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakKind {
    /// A short call that may run several times.
    Idempotent,
    /// A short call that may run once.
    Once,
    /// A stream that may run once.
    Stream,
    /// A stream that may go on at another target.
    Resumable,
}

impl SoakKind {
    /// Its method and path.
    pub fn line(self) -> &'static str {
        match self {
            SoakKind::Idempotent => "GET /get/1",
            SoakKind::Once => "POST /order/1",
            SoakKind::Stream => "POST /stream/once/1",
            SoakKind::Resumable => "POST /stream/on/1",
        }
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, SoakKind::Stream | SoakKind::Resumable)
    }

    fn runs_once(self) -> bool {
        matches!(self, SoakKind::Once | SoakKind::Stream)
    }
}

/// One call.
#[derive(Clone, Debug)]
pub struct BookedCall {
    /// What may be repeated.
    pub kind: SoakKind,
    /// Its workspace.
    pub workspace: &'static str,
    /// Prompt tokens that it named; 0 for none.
    pub input: u64,
    /// The answer; `None` when the connection ended before its head.
    pub reply: Option<CallReply>,
}

impl BookedCall {
    /// Tokens that it spent: its prompt if any target ran it, and the events that came.
    fn spent(&self, has_run: bool) -> u64 {
        let input = if has_run { self.input } else { 0 };
        input + self.events().len() as u64 * EVENT_TOKENS
    }

    /// The ids of the events that came.
    fn events(&self) -> Vec<u64> {
        let body = self.reply.as_ref().map_or("", |reply| reply.body.as_str());
        // An event counts when all of it came.
        let events = body.split_inclusive("\n\n");
        let events = events.filter(|event| event.ends_with("\n\n"));
        events
            .filter_map(|event| event.strip_prefix("id: "))
            .filter_map(|event| event.split('\n').next()?.parse().ok())
            .collect()
    }
}

/// All calls of a soak.
#[derive(Clone, Debug, Default)]
pub struct CallBook {
    calls: Arc<Mutex<BTreeMap<String, BookedCall>>>,
    broken: Arc<Mutex<Vec<String>>>,
}

impl CallBook {
    /// Writes down a call and its answer.
    pub fn note(&self, id: String, call: BookedCall) {
        let mut calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.insert(id, call);
    }

    /// Writes down a broken promise that was seen at once.
    pub fn note_broken(&self, what: String) {
        let mut broken = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
        broken.push(what);
    }

    /// How many calls there were, and how many of them were answered by a target.
    pub fn counts(&self) -> (usize, usize) {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let answered = calls.values().filter(|call| status(call) == 200);
        (calls.len(), answered.count())
    }

    /// The promises that were broken, with the calls that show it.
    pub fn check(&self, evidence: &SoakEvidence) -> Vec<String> {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        let ran = evidence.targets_by_id();
        let mut broken = {
            let seen = self.broken.lock().unwrap_or_else(PoisonError::into_inner);
            seen.clone()
        };
        for (id, call) in calls.iter() {
            let targets = ran.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            broken.extend(check_call(id, call, targets, evidence.events));
        }
        broken.extend(ran.keys().filter_map(|id| {
            let is_known = calls.contains_key(*id) || id.starts_with(EXTRA_CALL);
            (!is_known).then(|| format!("{id} ran and nobody sent it"))
        }));
        for totals in &evidence.totals {
            let own = calls
                .iter()
                .filter(|(_, call)| call.workspace == totals.workspace);
            let spent = own
                .map(|(id, call)| call.spent(ran.contains_key(id.as_str())))
                .sum();
            broken.extend(totals.check(spent));
        }
        broken
    }
}

/// What the ids of calls begin with that are made beside the load.
pub const EXTRA_CALL: &str = "extra-";

/// What targets and store know at the end.
#[derive(Clone, Debug)]
pub struct SoakEvidence {
    /// Events of a whole stream.
    pub events: u64,
    /// What reached each target, by its name.
    pub runs: BTreeMap<String, Vec<RunRecord>>,
    /// The totals of each workspace.
    pub totals: Vec<WorkspaceTotals>,
}

impl SoakEvidence {
    /// The targets that ran each call, by its id.
    fn targets_by_id(&self) -> BTreeMap<&str, Vec<&str>> {
        let mut ran = BTreeMap::<&str, Vec<&str>>::new();
        for (target, records) in &self.runs {
            for record in records.iter().filter(|record| record.is_run) {
                ran.entry(record.request_id()).or_default().push(target);
            }
        }
        ran
    }
}

/// A workspace's totals, in tokens.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceTotals {
    /// The workspace.
    pub workspace: &'static str,
    /// What it may spend.
    pub prepaid: u64,
    /// What routers took from its ledger.
    pub taken: u64,
}

impl WorkspaceTotals {
    fn check(&self, spent: u64) -> Option<String> {
        let holds = spent <= self.taken && self.taken <= self.prepaid;
        (!holds).then(|| format!("{self:?}, {spent} spent"))
    }
}

fn status(call: &BookedCall) -> u16 {
    call.reply.as_ref().map_or(0, |reply| reply.status)
}

fn check_call(id: &str, call: &BookedCall, targets: &[&str], events: u64) -> Vec<String> {
    let mut broken = Vec::new();
    if call.kind.runs_once() && targets.len() > 1 {
        broken.push(format!("{id} may run once and ran at {targets:?}"));
    }
    if call.kind.runs_once() && NOT_RUN.contains(&status(call)) && !targets.is_empty() {
        broken.push(format!("{id} got {} and ran at {targets:?}", status(call)));
    }
    if [401, 403, 404].contains(&status(call)) {
        broken.push(format!(
            "{id} got {} on a route of all versions",
            status(call)
        ));
    }
    if let Some(reply) = call.reply.as_ref().filter(|reply| reply.status == 200) {
        broken.extend(check_answer(id, call, reply, targets, events));
    }
    broken
}

fn check_answer(
    id: &str,
    call: &BookedCall,
    reply: &CallReply,
    targets: &[&str],
    events: u64,
) -> Option<String> {
    let seal = reply.seal().strip_prefix("seal-").unwrap_or_default();
    if reply.request_id() != id || !targets.contains(&seal) {
        return Some(format!(
            "{id} got another's answer: {reply:?}, ran at {targets:?}"
        ));
    }
    if !call.kind.is_stream() {
        let is_right = !reply.is_complete || reply.body == seal;
        return (!is_right).then(|| format!("{id} got a wrong body: {reply:?}"));
    }
    let seen = call.events();
    let is_in_order = seen.iter().copied().eq(1..=seen.len() as u64);
    let is_complete = seen.len() as u64 == events;
    (!is_in_order || (reply.is_complete && !is_complete)).then(|| {
        format!(
            "{id} got the events {seen:?} of {events}, whole: {}",
            reply.is_complete
        )
    })
}
