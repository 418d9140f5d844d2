//! The `call_context` module provides one call: what was asked, what is known of it, how it ended.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use beechsaddle_core::gateway::{
    AttemptEnd, AttemptHistory, RequestFingerprint, RouteRule, ServiceRule, TargetRecord,
    TokenBound, WorkspaceRule,
};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::CallHead;
use bytes::Bytes;
use http::{HeaderMap, Method, Uri};

use super::call_record::CallRecord;
use super::crashes::TrialGuard;
use super::gateway_metrics::WordLabel;
use super::gateway_state::GatewayState;
use super::refusal::RefusalCause;

/// Crashes of targets under a request after which it is sent again by its caller only.
const CRASHES_BEFORE_CALLER: usize = 2;

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
    /// Which request it is, whatever the id of this attempt.
    pub(super) fingerprint: RequestFingerprint,
    /// Its route.
    pub(super) route: Arc<RouteRule>,
    /// Its service.
    pub(super) service: ServiceName,
    /// What is declared of the service.
    pub(super) rule: ServiceRule,
    /// The workspace of its key.
    pub(super) workspace: Option<Arc<WorkspaceRule>>,
    /// When the final answer is due: the caller's deadline or the route's timeout.
    pub(super) ends_at: ClockTime,
    /// Attempts so far.
    pub(super) history: RefCell<AttemptHistory>,
    /// Targets that were tried.
    pub(super) tried: RefCell<Vec<TargetName>>,
    /// Held while the call is the one try of a request that may crash targets.
    pub(super) trial: RefCell<Option<TrialGuard>>,
    /// Its log lines.
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
            ("target", target.name.to_string()),
            ("end", end.as_str().to_owned()),
            ("detail", detail.to_owned()),
        ];
        self.record.decide("attempt_ended", fields);
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
        if self.is_kept_back(end) {
            let fields = [("after", end.as_str().to_owned())];
            self.record.decide("repeat_withheld", fields);
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
            let fields = [("after", end.as_str().to_owned())];
            self.record.decide("repeat_denied", fields);
            return false;
        }
        let label = WordLabel { what: end.as_str() };
        state.metrics.repeats.get_or_create(&label).inc();
        let fields = [
            ("after", end.as_str().to_owned()),
            ("sent", self.history.borrow().sent().to_string()),
            ("left_ms", self.left_ms().to_string()),
        ];
        self.record.decide("call_repeated", fields);
        true
    }

    /// Whether another attempt may crash one more target, as one too many has crashed already.
    ///
    /// After one crash most requests that ran on the target had no part in it, and are sent on. A request under
    /// which two have crashed comes again as a caller's new attempt or not at all.
    fn is_kept_back(&self, end: AttemptEnd) -> bool {
        let crashes = &self.state.crashes;
        let has_crashed_again =
            end.may_have_run() && crashes.crash_count(self.fingerprint) >= CRASHES_BEFORE_CALLER;
        has_crashed_again || crashes.is_blocked(self.state.now(), self.fingerprint)
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
