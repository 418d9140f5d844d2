//! The `call_context` module provides one call: what was asked, what is known of it, how it ended.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptEnd, AttemptHistory, RouteRule, ServiceRule, TargetRecord, TokenBound, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::CallHead;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use super::gateway_metrics::{CauseLabel, WordLabel};
use super::gateway_state::GatewayState;
use super::refusal::RefusalCause;

/// A call that was checked against the configuration.
pub(super) struct CallContext {
    /// What all parts share.
    pub(super) state: Rc<GatewayState>,
    /// What the caller said.
    pub(super) head: CallHead,
    /// The method.
    pub(super) method: Method,
    /// The path and query.
    pub(super) uri: Uri,
    /// The caller's headers.
    pub(super) headers: HeaderMap,
    /// The whole body.
    pub(super) body: Bytes,
    /// Its route.
    pub(super) route: Arc<RouteRule>,
    /// Its service.
    pub(super) service: ServiceName,
    /// What is declared of the service.
    pub(super) rule: ServiceRule,
    /// The workspace of its key.
    pub(super) workspace: Option<Arc<WorkspaceRule>>,
    /// When the head was read.
    pub(super) arrived_at: ClockTime,
    /// When the final answer is due: the caller's deadline or the route's timeout.
    pub(super) ends_at: ClockTime,
    /// Attempts so far.
    pub(super) history: RefCell<AttemptHistory>,
    /// Targets that were tried.
    pub(super) tried: RefCell<Vec<TargetName>>,
    /// Its log line.
    pub(super) record: CallRecord,
}

impl CallContext {
    /// How long is left, in milliseconds.
    pub(super) fn left_ms(&self) -> u64 {
        self.ends_at.since(self.state.now())
    }

    /// How long is left.
    pub(super) fn left(&self) -> Duration {
        Duration::from_millis(self.left_ms())
    }

    /// The rank of the call at an engine: the workspace's, else the route's.
    pub(super) fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|rule| rule.priority);
        own.unwrap_or(self.route.priority)
    }

    /// What of a workspace's total the call may use; `None` where nothing is counted.
    pub(super) fn reservation_bound(&self) -> Option<(&WorkspaceName, TokenBound)> {
        let workspace = self.workspace.as_ref()?;
        let bound = self.head.bound?;
        workspace.prepaid.map(|_| (&workspace.name, bound))
    }

    /// Notes an attempt without a usable answer.
    pub(super) fn note_end(&self, target: &TargetRecord, end: AttemptEnd, detail: &str) {
        self.history.borrow_mut().note(end);
        self.tried.borrow_mut().push(target.name.clone());
        let fields = [
            ("id", self.head.request_id.clone()),
            ("target", target.name.to_string()),
            ("end", end.as_str().to_owned()),
            ("detail", detail.to_owned()),
            (
                "age_ms",
                self.state.now().since(self.arrived_at).to_string(),
            ),
        ];
        let report = &self.state.report;
        report.log(LogLevel::Info, "attempt_ended", fields);
    }

    /// Whether the call is sent once more after an attempt that ended so. Counts it if so.
    pub(super) fn try_repeat(&self, end: AttemptEnd) -> bool {
        let attempts_max = self.route.attempts_max;
        let allows = self
            .history
            .borrow()
            .allows_another(self.route.kind, attempts_max);
        if !allows || self.left_ms() == 0 {
            return false;
        }
        // An attempt that reached nobody is no arrival, and the next one is the first.
        let state = &self.state;
        let is_first = self.history.borrow().sent() == 0;
        let fits = is_first
            || state
                .retries
                .borrow_mut()
                .try_repeat(state.now(), &self.service);
        if !fits {
            state.metrics.repeats_denied.inc();
            self.record.note("retry_budget", "empty");
            return false;
        }
        let label = WordLabel { what: end.as_str() };
        state.metrics.repeats.get_or_create(&label).inc();
        true
    }

    /// Why the call ends without a target's answer.
    pub(super) fn final_cause(&self, last: AttemptEnd) -> RefusalCause {
        if self.history.borrow().may_have_run() {
            return match self.left_ms() {
                0 => RefusalCause::TimedOut,
                _ => RefusalCause::OutcomeUnknown,
            };
        }
        match last {
            AttemptEnd::NotRun => RefusalCause::TargetsFull,
            AttemptEnd::Unsent | AttemptEnd::Failed | AttemptEnd::Broken | AttemptEnd::Silent => {
                RefusalCause::TargetsUnreachable
            }
        }
    }
}

/// The one line that tells of a call's end. It is written when the call is dropped, so that none
/// goes without, whatever ends it.
pub(super) struct CallRecord {
    state: Rc<GatewayState>,
    arrived_at: ClockTime,
    fields: RefCell<Vec<(&'static str, String)>>,
    outcome: Cell<&'static str>,
    is_first_noted: Cell<bool>,
}

/// The outcome of a call that a target answered.
pub(super) const ANSWERED: &str = "answered";

/// The outcome of a call whose caller left.
const CALLER_GONE: &str = "caller_gone";

impl CallRecord {
    /// The record of a call that arrived now.
    pub(super) fn start(state: &Rc<GatewayState>) -> Self {
        state.open_calls.set(state.open_calls.get() + 1);
        state.metrics.open_calls.inc();
        state.metrics.calls.inc();
        CallRecord {
            state: Rc::clone(state),
            arrived_at: state.now(),
            fields: RefCell::new(Vec::with_capacity(12)),
            outcome: Cell::new(CALLER_GONE),
            is_first_noted: Cell::new(false),
        }
    }

    /// When the call arrived.
    pub(super) fn arrived_at(&self) -> ClockTime {
        self.arrived_at
    }

    /// Adds a fact.
    pub(super) fn note(&self, key: &'static str, value: impl ToString) {
        self.fields.borrow_mut().push((key, value.to_string()));
    }

    /// Notes that the first event or the whole answer goes out.
    pub(super) fn note_first(&self) {
        if self.is_first_noted.replace(true) {
            return;
        }
        let span_ms = self.state.now().since(self.arrived_at);
        self.state.metrics.first_s.observe(span_ms as f64 / 1_000.0);
        self.note("first_ms", span_ms);
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
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let state = &self.state;
        let span_ms = state.now().since(self.arrived_at);
        let outcome = self.outcome.get();
        state.metrics.whole_s.observe(span_ms as f64 / 1_000.0);
        let label = WordLabel { what: outcome };
        state.metrics.outcomes.get_or_create(&label).inc();
        state.metrics.open_calls.dec();
        state
            .open_calls
            .set(state.open_calls.get().saturating_sub(1));
        state.call_ended.notify_one();
        if outcome == ANSWERED && !state.line_budget.try_take(state.now()) {
            state.metrics.lines_sampled_out.inc();
            return;
        }
        let mut fields = self.fields.take();
        fields.push(("total_ms", span_ms.to_string()));
        fields.push(("outcome", outcome.to_owned()));
        state.report.log(LogLevel::Info, "call", fields);
    }
}
