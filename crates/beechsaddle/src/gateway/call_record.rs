//! The `call_record` module provides what is logged and measured of one call.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use beechsaddle_core::gateway::RouteRule;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::{LogLevel, LogLine};

use super::gateway_metrics::{CauseLabel, WordLabel};
use super::gateway_state::GatewayState;
use super::refusal::RefusalCause;

/// The outcome of a call that a target answered.
pub(super) const ANSWERED: &str = "answered";

/// The outcome of a call whose caller left.
const CALLER_GONE: &str = "caller_gone";

/// The lines of one call: one for each decision, and one at its end, which sums them up and is written
/// when the call is dropped, so that none goes without, whatever ends it.
///
/// Under load the lines of most answered calls are left out. Which calls these are is settled when a
/// call arrives, so that the lines of a call are there as a whole or not at all. The lines of a call
/// that was picked are written at once, so that a process that dies has told of the calls that it had.
/// Those of other calls are held back until the end, and written then if the call failed.
pub(super) struct CallRecord {
    state: Rc<GatewayState>,
    arrived_at: ClockTime,
    sent_at: Cell<ClockTime>,
    id: RefCell<String>,
    fields: RefCell<Vec<(&'static str, String)>>,
    outcome: Cell<&'static str>,
    first_ms: Cell<Option<u64>>,
    event_at: Cell<Option<ClockTime>>,
    longest_pause_ms: Cell<u64>,
    is_picked: bool,
    held: RefCell<Vec<LogLine>>,
}

impl CallRecord {
    /// The record of a call that arrived now.
    pub(super) fn start(state: &Rc<GatewayState>) -> Self {
        state.open_calls.set(state.open_calls.get() + 1);
        state.metrics.open_calls.inc();
        state.metrics.calls.inc();
        let now = state.now();
        CallRecord {
            state: Rc::clone(state),
            arrived_at: now,
            sent_at: Cell::new(now),
            id: RefCell::default(),
            fields: RefCell::new(Vec::with_capacity(12)),
            outcome: Cell::new(CALLER_GONE),
            first_ms: Cell::new(None),
            event_at: Cell::new(None),
            longest_pause_ms: Cell::new(0),
            is_picked: state.line_budget.try_take_call(now),
            held: RefCell::default(),
        }
    }

    /// When the call arrived.
    pub(super) fn arrived_at(&self) -> ClockTime {
        self.arrived_at
    }

    /// Notes the id that the caller gave; it stands in each line from here on.
    pub(super) fn set_id(&self, id: &str) {
        id.clone_into(&mut self.id.borrow_mut());
    }

    /// Adds a fact to the last line.
    pub(super) fn note(&self, key: &'static str, value: impl ToString) {
        self.fields.borrow_mut().push((key, value.to_string()));
    }

    /// Logs a decision with the inputs that led to it.
    pub(super) fn decide(
        &self,
        event: &'static str,
        fields: impl IntoIterator<Item = (&'static str, String)>,
    ) {
        let age_ms = self.state.now().since(self.arrived_at);
        let mut all = vec![("id", self.id.borrow().clone())];
        all.extend(fields);
        all.push(("age_ms", age_ms.to_string()));
        if self.is_picked {
            self.state.report.log(LogLevel::Info, event, all);
            return;
        }
        self.held.borrow_mut().push(LogLine {
            level: LogLevel::Info,
            event,
            fields: all,
        });
    }

    /// Notes that an attempt begins.
    pub(super) fn note_sent(&self) {
        self.sent_at.set(self.state.now());
    }

    /// Notes that the first event or the whole answer goes out.
    pub(super) fn record_first(&self) {
        if self.first_ms.get().is_some() {
            return;
        }
        let span_ms = self.state.now().since(self.arrived_at);
        self.first_ms.set(Some(span_ms));
        let added_ms = self.sent_at.get().since(self.arrived_at);
        let metrics = &self.state.metrics;
        metrics.first_s.observe(span_ms as f64 / 1_000.0);
        metrics.added_s.observe(added_ms as f64 / 1_000.0);
        self.note("added_ms", added_ms);
        self.note("first_ms", span_ms);
    }

    /// Notes that events of a stream go out: the time since those before them was a pause.
    pub(super) fn note_event(&self) {
        self.record_first();
        let now = self.state.now();
        if let Some(before) = self.event_at.replace(Some(now)) {
            let pause_ms = now.since(before).max(self.longest_pause_ms.get());
            self.longest_pause_ms.set(pause_ms);
        }
    }

    /// Notes how a stream went, whoever ended it: its events, the tokens that it spent, and its longest
    /// pause. A caller that waits for the next event feels a pause as much as a late first one.
    pub(super) fn note_stream(&self, events: u64, spent: Option<u64>) {
        self.note("events", events);
        if let Some(spent) = spent {
            self.note("spent", spent);
        }
        if self.event_at.get().is_some() {
            let pause_ms = self.longest_pause_ms.get();
            self.state
                .metrics
                .pause_s
                .observe(pause_ms as f64 / 1_000.0);
            self.note("pause_ms", pause_ms);
        }
    }

    /// Notes whether an answer was late by the route's objectives, and what made it so.
    pub(super) fn note_lateness(&self, route: &RouteRule) {
        let is_late_first = self
            .first_ms
            .get()
            .is_some_and(|first_ms| route.objective_ms > 0 && first_ms > route.objective_ms);
        let has_paused = route
            .pause_ms
            .is_some_and(|allowed_ms| self.longest_pause_ms.get() > allowed_ms);
        let what = match (is_late_first, has_paused) {
            (true, _) => "first",
            (false, true) => "pause",
            (false, false) => return,
        };
        let label = WordLabel { what };
        self.state.metrics.late.get_or_create(&label).inc();
        self.note("late", what);
    }

    /// Notes how the call ended; what is not noted is a caller who left.
    pub(super) fn end(&self, outcome: &'static str) {
        self.outcome.set(outcome);
    }

    /// Notes that the router answers by itself.
    pub(super) fn refuse(&self, cause: RefusalCause) {
        self.state
            .metrics
            .refusals
            .get_or_create(&CauseLabel { cause })
            .inc();
        self.end(cause.as_str());
    }

    fn measure_end(&self, span_ms: u64) {
        let state = &self.state;
        state.metrics.whole_s.observe(span_ms as f64 / 1_000.0);
        let label = WordLabel {
            what: self.outcome.get(),
        };
        state.metrics.outcomes.get_or_create(&label).inc();
        state.metrics.open_calls.dec();
        let open = state.open_calls.get().saturating_sub(1);
        state.open_calls.set(open);
        state.call_ended.notify_one();
    }

    fn log_end(&self, span_ms: u64) {
        let state = &self.state;
        let outcome = self.outcome.get();
        let is_logged = self.is_picked
            || (outcome != ANSWERED && state.line_budget.try_take_failure(state.now()));
        let held = self.held.take();
        if !is_logged {
            state
                .metrics
                .lines_sampled_out
                .inc_by(held.len() as u64 + 1);
            return;
        }
        for line in held {
            state.report.log(line.level, line.event, line.fields);
        }
        let mut fields = vec![("id", self.id.take())];
        fields.append(&mut self.fields.take());
        fields.push(("total_ms", span_ms.to_string()));
        fields.push(("outcome", outcome.to_owned()));
        state.report.log(LogLevel::Info, "call", fields);
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let span_ms = self.state.now().since(self.arrived_at);
        self.measure_end(span_ms);
        self.log_end(span_ms);
    }
}
