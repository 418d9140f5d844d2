//! The `call_context` module provides the state of one call: the request, the rules that apply to
//! it and its attempts.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptEnd, AttemptHistory, CallUrgency, RefusedCaller, RouteRule, ServiceRule, SuspectKey,
    TokenBound, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::CallHead;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use super::buffer_memory::BufferShare;
use super::call_record::CallRecord;
use super::crashes::TrialGuard;
use super::gateway_metrics::OutcomeLabel;
use super::gateway_state::GatewayState;
use super::open_attempts::OpenAttempts;
use super::refusal::RefusalCause;
use super::target_choice::{has_candidate, no_target_cause};

/// Number of target crashes attributed to a request or a part of its prompt after which the router
/// no longer repeats it; only the caller may send it again.
const CRASHES_BEFORE_WITHHOLDING: usize = 2;

/// A call that passed the checks against the configuration.
pub(super) struct CallContext {
    /// The shared gateway state.
    pub(super) state: Rc<GatewayState>,
    /// The parsed head of the request.
    pub(super) head: CallHead,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    /// The complete request body.
    pub(super) body: Bytes,
    /// Keeps the memory of the body reserved.
    pub(super) _body_share: BufferShare<Option<WorkspaceName>>,
    /// Identifies the request independently of the id of this attempt.
    pub(super) fingerprint: SuspectKey,
    /// All that may be suspected if a target crashes: the fingerprint and the shared parts of the
    /// prompt.
    pub(super) suspects: Vec<SuspectKey>,
    pub(super) route: Arc<RouteRule>,
    pub(super) service: ServiceName,
    /// The software version that began the call's stream. Only its targets may continue it; `None`
    /// while the caller has no event.
    pub(super) version: RefCell<Option<SoftwareVersion>>,
    /// The service's declaration in the configuration.
    pub(super) rule: ServiceRule,
    /// The workspace that the caller's key belongs to; `None` on open routes and without
    /// workspaces.
    pub(super) workspace: Option<Arc<WorkspaceRule>>,
    /// When the final response is due: the caller's deadline or the route's timeout, whichever is
    /// earlier.
    pub(super) ends_at: ClockTime,
    /// The attempts that have ended.
    pub(super) history: RefCell<AttemptHistory>,
    /// The attempts that have not ended.
    pub(super) open: Rc<OpenAttempts>,
    pub(super) tried: RefCell<Vec<TargetName>>,
    /// The trials of suspects that this call is.
    pub(super) trials: RefCell<Vec<TrialGuard>>,
    /// The call's log lines and metrics.
    pub(super) record: CallRecord,
}

impl CallContext {
    /// Returns the time left until the deadline, in milliseconds.
    pub(super) fn remaining_ms(&self) -> u64 {
        self.ends_at.since(self.state.now())
    }

    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms())
    }

    /// Returns the id of the call's stream: that of the caller's attempt that received, or receives,
    /// its first event.
    pub(super) fn stream(&self) -> StreamId {
        StreamId::new(self.head.resumes.as_ref().unwrap_or(&self.head.request_id))
    }

    /// Returns the call's priority at an engine: the workspace's if it sets one, else the route's.
    pub(super) fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|rule| rule.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Returns the caller for the time of its return after a refusal.
    pub(super) fn refused_caller(&self) -> RefusedCaller {
        RefusedCaller {
            urgency: CallUrgency(self.priority()),
            left_ms: Some(self.remaining_ms()),
            spread: self.fingerprint.spread(),
        }
    }

    /// Returns the workspace and the tokens to reserve; `None` if the call's tokens are not
    /// counted.
    pub(super) fn reservation_bound(&self) -> Option<(&WorkspaceName, TokenBound)> {
        let workspace = self.workspace.as_ref()?;
        let bound = self.head.bound?;
        workspace.prepaid.map(|_| (&workspace.name, bound))
    }

    /// Returns the attempts so far; those that have not ended count as if they ended without a
    /// response.
    pub(super) fn all_attempts(&self) -> AttemptHistory {
        self.open.count_in(&self.history.borrow())
    }

    /// Whether the call may be sent to another target beside its open attempts, before the retry
    /// budget is checked. A request that may crash its target has one attempt at a time.
    pub(super) fn may_race(&self) -> bool {
        let attempts = self.all_attempts();
        attempts.allows_another(self.route.kind, self.route.attempts_max)
            && self.remaining_ms() > 0
            && self.isolation_key().is_none()
            && !self.is_withheld(AttemptEnd::Silent)
    }

    /// Records an attempt that ended without a usable response.
    pub(super) fn record_attempt_end(&self, target: &TargetName, end: AttemptEnd, detail: &str) {
        self.history.borrow_mut().record(end);
        self.tried.borrow_mut().push(target.clone());
        let fields = [
            ("target", target.to_string()),
            ("end", end.as_str().to_owned()),
            ("detail", detail.to_owned()),
        ];
        self.record.log_decision("attempt_ended", fields);
    }

    /// Returns whether the call may be retried after an attempt that ended with `end`, and charges
    /// the retry budget if so.
    pub(super) fn try_repeat(&self, end: AttemptEnd) -> bool {
        let attempts_max = self.route.attempts_max;
        let attempts = self.all_attempts();
        let allows = attempts.allows_another(self.route.kind, attempts_max);
        // Without a target, the retry budget is left for other calls.
        if !allows || self.remaining_ms() == 0 || !has_candidate(self) {
            return false;
        }
        if self.is_withheld(end) {
            let fields = [("after", end.as_str().to_owned())];
            self.record.log_decision("repeat_withheld", fields);
            return false;
        }
        // An attempt that reached no target is not an arrival, so the next one counts as the first.
        let state = &self.state;
        let is_first = attempts.arrivals() == 0;
        let fits = is_first
            || state
                .retries
                .borrow_mut()
                .try_repeat(state.now(), &self.service);
        if !fits {
            state.metrics.repeats_denied.inc();
            self.record.add_field("retry_budget", "empty");
            let fields = [("after", end.as_str().to_owned())];
            self.record.log_decision("repeat_denied", fields);
            return false;
        }
        let label = OutcomeLabel { what: end.as_str() };
        state.metrics.repeats.get_or_create(&label).inc();
        let fields = [
            ("after", end.as_str().to_owned()),
            ("sent", attempts.sent().to_string()),
            ("left_ms", self.remaining_ms().to_string()),
        ];
        self.record.log_decision("call_repeated", fields);
        true
    }

    /// Returns whether a retry is withheld because the request is suspected of crashing targets.
    ///
    /// After one crash, most requests that ran on the target are innocent and are retried. A
    /// request with two or more crashes is sent again only by its caller.
    fn is_withheld(&self, end: AttemptEnd) -> bool {
        let crashes = &self.state.crashes;
        let has_crashed_again =
            end.may_have_run() && crashes.crash_count(&self.suspects) >= CRASHES_BEFORE_WITHHOLDING;
        has_crashed_again || crashes.is_blocked(self.state.now(), &self.suspects)
    }

    /// Returns the key by which the call is kept apart from other suspects: the request's if it may
    /// have crashed a target, or that of the part whose trial it is. Other requests with suspected
    /// parts may be many, and go anywhere.
    pub(super) fn isolation_key(&self) -> Option<SuspectKey> {
        let crashes = &self.state.crashes;
        match crashes.crash_count(&[self.fingerprint]) {
            0 => self.trials.borrow().first().map(TrialGuard::key),
            _ => Some(self.fingerprint),
        }
    }

    /// Returns the cause to report when no target answered; `last` is the end of the last attempt.
    pub(super) fn final_cause(&self, last: AttemptEnd) -> RefusalCause {
        if self.history.borrow().may_have_run() {
            return match self.remaining_ms() {
                0 => RefusalCause::TimedOut,
                _ => RefusalCause::OutcomeUnknown,
            };
        }
        if !has_candidate(self) {
            return no_target_cause(self);
        }
        match last {
            AttemptEnd::NotRun => RefusalCause::TargetsFull,
            AttemptEnd::Resting => RefusalCause::TargetsResting,
            AttemptEnd::Withdrawn => RefusalCause::NoTarget,
            AttemptEnd::Unsent
            | AttemptEnd::Refused
            | AttemptEnd::NoPath
            | AttemptEnd::Misdirected
            | AttemptEnd::Failed
            | AttemptEnd::Broken
            | AttemptEnd::Silent
            | AttemptEnd::Superseded => RefusalCause::TargetsUnreachable,
        }
    }
}
