//! The `call_record` module provides the log lines and metrics of one call.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use beechsaddle_core::gateway::RouteRule;
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::{LogLevel, LogLine};

use super::caller_connection::RequestArrival;
use super::gateway_metrics::{CauseLabel, OutcomeLabel, ResumeLabel};
use super::gateway_state::GatewayState;
use super::origins::{ResumeActor, ResumeVersion};
use super::refusal::RefusalCause;

/// The outcome of a call that a target answered.
pub(super) const ANSWERED: &str = "answered";

/// The outcome of a call whose caller disconnected.
const CALLER_GONE: &str = "caller_gone";

/// The log lines of one call: one for each decision, and a summary that is written on drop, so that
/// every call has one however it ends.
///
/// Under load, the lines of most answered calls are not logged. A call is sampled for logging on
/// arrival, so that its lines are either all present or all absent. Lines of a sampled call are
/// written immediately, so that they survive a crash of the process. Lines of other calls are
/// deferred to the end and written only if the call failed.
pub(super) struct CallRecord {
    state: Rc<GatewayState>,
    arrived_at: ClockTime,
    arrival: RequestArrival,
    attempt_started_at: Cell<ClockTime>,
    id: RefCell<String>,
    fields: RefCell<Vec<(&'static str, String)>>,
    outcome: Cell<&'static str>,
    first_ms: Cell<Option<u64>>,
    last_event_at: Cell<Option<ClockTime>>,
    longest_pause_ms: Cell<u64>,
    is_sampled: bool,
    deferred: RefCell<Vec<LogLine>>,
}

impl CallRecord {
    /// Starts the record of a call that has just arrived.
    pub(super) fn start(state: &Rc<GatewayState>, arrival: RequestArrival) -> Self {
        state.open_calls.set(state.open_calls.get() + 1);
        state.metrics.open_calls.inc();
        state.metrics.calls.inc();
        let now = state.now();
        CallRecord {
            state: Rc::clone(state),
            arrived_at: now,
            arrival,
            attempt_started_at: Cell::new(now),
            id: RefCell::default(),
            fields: RefCell::new(Vec::with_capacity(12)),
            outcome: Cell::new(CALLER_GONE),
            first_ms: Cell::new(None),
            last_event_at: Cell::new(None),
            longest_pause_ms: Cell::new(0),
            is_sampled: state.log_sampler.try_sample_call(now),
            deferred: RefCell::default(),
        }
    }

    pub(super) fn arrived_at(&self) -> ClockTime {
        self.arrived_at
    }

    /// Returns how the request arrived.
    pub(super) fn arrival(&self) -> RequestArrival {
        self.arrival
    }

    /// Sets the caller's request id, which every later line carries.
    pub(super) fn set_id(&self, id: &str) {
        id.clone_into(&mut self.id.borrow_mut());
    }

    /// Adds a field to the summary line.
    pub(super) fn add_field(&self, key: &'static str, value: impl ToString) {
        self.fields.borrow_mut().push((key, value.to_string()));
    }

    /// Logs a decision together with its inputs.
    pub(super) fn log_decision(
        &self,
        event: &'static str,
        fields: impl IntoIterator<Item = (&'static str, String)>,
    ) {
        let age_ms = self.state.now().since(self.arrived_at);
        let mut all = vec![("id", self.id.borrow().clone())];
        all.extend(fields);
        all.push(("age_ms", age_ms.to_string()));
        if self.is_sampled {
            self.state.report.log(LogLevel::Info, event, all);
            return;
        }
        self.deferred.borrow_mut().push(LogLine {
            level: LogLevel::Info,
            event,
            fields: all,
        });
    }

    /// Records when the attempt started that answers, as far as is known.
    pub(super) fn record_attempt_start(&self, started_at: ClockTime) {
        self.attempt_started_at.set(started_at);
    }

    /// Records that the first event or the complete response is being sent.
    pub(super) fn record_first_event(&self) {
        if self.first_ms.get().is_some() {
            return;
        }
        let elapsed_ms = self.state.now().since(self.arrived_at);
        self.first_ms.set(Some(elapsed_ms));
        let added_ms = self.attempt_started_at.get().since(self.arrived_at);
        let metrics = &self.state.metrics;
        metrics.first_s.observe(elapsed_ms as f64 / 1_000.0);
        metrics.added_s.observe(added_ms as f64 / 1_000.0);
        self.add_field("added_ms", added_ms);
        self.add_field("first_ms", elapsed_ms);
    }

    /// Records that events are being sent; the time since the previous ones counts as a pause.
    pub(super) fn record_event(&self) {
        self.record_first_event();
        let now = self.state.now();
        if let Some(before) = self.last_event_at.replace(Some(now)) {
            let pause_ms = now.since(before).max(self.longest_pause_ms.get());
            self.longest_pause_ms.set(pause_ms);
        }
    }

    /// Records a stream's events, tokens spent and longest pause, however it ended. To a caller
    /// that waits for the next event, a pause is as noticeable as a late first event.
    pub(super) fn record_stream(&self, events: u64, spent: Option<u64>) {
        self.add_field("events", events);
        if let Some(spent) = spent {
            self.add_field("spent", spent);
        }
        if self.last_event_at.get().is_some() {
            let pause_ms = self.longest_pause_ms.get();
            self.state
                .metrics
                .pause_s
                .observe(pause_ms as f64 / 1_000.0);
            self.add_field("pause_ms", pause_ms);
        }
    }

    /// Records that a stream was resumed, who resumed it, and at which version in relation to the one
    /// that began it.
    pub(super) fn record_resume(&self, by: ResumeActor, what: ResumeVersion) {
        let versions = &self.state.metrics.resume_versions;
        versions.get_or_create(&ResumeLabel::new(by, what)).inc();
        self.add_field("resumed_version", what.as_str());
    }

    /// Records whether the response missed the route's objectives, and which one.
    pub(super) fn record_lateness(&self, route: &RouteRule) {
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
        let label = OutcomeLabel { what };
        self.state.metrics.late.get_or_create(&label).inc();
        self.add_field("late", what);
    }

    /// Sets the call's outcome; without it, the caller counts as disconnected.
    pub(super) fn set_outcome(&self, outcome: &'static str) {
        self.outcome.set(outcome);
    }

    /// Records that the router itself answers with a refusal.
    pub(super) fn record_refusal(&self, cause: RefusalCause) {
        self.state
            .metrics
            .refusals
            .get_or_create(&CauseLabel { cause })
            .inc();
        self.set_outcome(cause.as_str());
    }

    fn measure_end(&self, elapsed_ms: u64) {
        let state = &self.state;
        state.metrics.whole_s.observe(elapsed_ms as f64 / 1_000.0);
        let label = OutcomeLabel {
            what: self.outcome.get(),
        };
        state.metrics.outcomes.get_or_create(&label).inc();
        state.metrics.open_calls.dec();
        let open = state.open_calls.get().saturating_sub(1);
        state.open_calls.set(open);
        state.work_ended.notify_one();
    }

    fn log_end(&self, elapsed_ms: u64) {
        let state = &self.state;
        let outcome = self.outcome.get();
        let is_logged = self.is_sampled
            || (outcome != ANSWERED && state.log_sampler.try_sample_failure(state.now()));
        let deferred = self.deferred.take();
        if !is_logged {
            state
                .metrics
                .lines_sampled_out
                .inc_by(deferred.len() as u64 + 1);
            return;
        }
        for line in deferred {
            state.report.log(line.level, line.event, line.fields);
        }
        let mut fields = vec![("id", self.id.take())];
        fields.append(&mut self.fields.take());
        fields.push(("total_ms", elapsed_ms.to_string()));
        fields.push(("outcome", outcome.to_owned()));
        state.report.log(LogLevel::Info, "call", fields);
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let elapsed_ms = self.state.now().since(self.arrived_at);
        self.measure_end(elapsed_ms);
        self.log_end(elapsed_ms);
    }
}
