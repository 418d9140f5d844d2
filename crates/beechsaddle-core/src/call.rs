//! The `call` module provides the events and actions of the edge towards callers and targets.

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;
use crate::names::{AttemptId, BudgetName, CallId, KeyText, ModelName, ServiceName, TargetName};
use crate::refusal::CallRefusal;

/// The SHA-256 digest of a caller's bearer key; the key itself never reaches the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; 32]);

/// The requested model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallRoute {
    /// `POST /v1/chat/completions`.
    Chat { model: ModelName },
    /// Any method at `/svc/<service>/<path>`.
    Service { service: ServiceName },
}

/// A call whose head and body have been read and validated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallArrival {
    /// The id assigned by the edge.
    pub call: CallId,
    pub key_digest: KeyDigest,
    pub route: CallRoute,
    /// The budget named by the `Beechsaddle-Budget` header, if any.
    pub budget: Option<BudgetName>,
    /// The caller's `Idempotency-Key`, if any.
    pub idempotency: Option<KeyText>,
    /// The `Beechsaddle-Repeatable` header, if any.
    pub repeatable: Option<bool>,
    /// The caller's deadline by `Beechsaddle-Timeout-Ms`, if any.
    pub deadline: Option<ClockTime>,
    /// An upper bound of the prompt in tokens: no tokenizer produces more tokens than bytes.
    pub input_bound: u64,
    /// The caller's limit of generated tokens, if any.
    pub output_bound: Option<u64>,
    /// Hashes of the prompt's leading blocks, each covering all blocks before it.
    pub prefix: Vec<u64>,
}

/// The tokens that a target reported for one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub input: u64,
    /// Generated tokens.
    pub output: u64,
}

impl TokenUsage {
    /// Returns the sum of input and output tokens.
    pub fn total(self) -> u64 {
        self.input.saturating_add(self.output)
    }
}

/// Why an attempt at a target failed before a byte was relayed to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// No connection was established, so the call did not run there.
    ConnectFailed,
    /// The connection broke after bytes were sent.
    ConnectionLost,
    /// No answer arrived in time.
    TimedOut,
    /// The target answered with a server error.
    ServerError,
    /// The target is overloaded or leaving (429 or 503).
    TargetBusy,
    /// The answer names another attempt.
    WrongAttempt,
    /// The answer cannot be parsed.
    BadAnswer,
}

impl AttemptFailure {
    /// Every failure, in the order of the documentation.
    pub const ALL: [AttemptFailure; 7] = [
        AttemptFailure::ConnectFailed,
        AttemptFailure::ConnectionLost,
        AttemptFailure::TimedOut,
        AttemptFailure::ServerError,
        AttemptFailure::TargetBusy,
        AttemptFailure::WrongAttempt,
        AttemptFailure::BadAnswer,
    ];

    /// Returns the name of the failure in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptFailure::ConnectFailed => "connect_failed",
            AttemptFailure::ConnectionLost => "connection_lost",
            AttemptFailure::TimedOut => "timed_out",
            AttemptFailure::ServerError => "server_error",
            AttemptFailure::TargetBusy => "target_busy",
            AttemptFailure::WrongAttempt => "wrong_attempt",
            AttemptFailure::BadAnswer => "bad_answer",
        }
    }

    /// Whether the call is known not to have run at that target.
    pub fn is_not_run(self) -> bool {
        matches!(self, AttemptFailure::ConnectFailed)
    }
}

/// How a relayed answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnswerEnd {
    /// The target's answer is complete; its last part is held until [`CallAction::Finish`].
    Complete,
    /// The target's answer ended early after bytes were relayed to the caller.
    Truncated,
    /// The caller disconnected; the target's answer was cancelled.
    CallerGone,
}

/// An event from the edge towards callers and targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum CallEvent {
    /// A well-formed call arrived.
    Arrived(Box<CallArrival>),
    /// The edge refused a malformed call itself; the core only counts it.
    Rejected(CallRefusal),
    /// A caller requests the models that its workspace may use; answered by [`CallAction::Models`]
    /// or [`CallAction::Refuse`].
    ModelsQuery {
        /// The id assigned by the edge.
        call: CallId,
        key_digest: KeyDigest,
    },
    /// The caller disconnected while no attempt was running. A running attempt is cancelled by the
    /// edge, which raises `AnswerEnded` instead of this event. A `Dispatch` that crosses this event
    /// is not carried out: no byte of it reached a target.
    CallerGone {
        call: CallId,
        /// The last attempt that the edge carried out. Its `AttemptFailed` may still be queued.
        last_attempt: Option<AttemptId>,
    },
    /// An attempt failed and nothing of it was relayed.
    AttemptFailed {
        attempt: AttemptId,
        failure: AttemptFailure,
    },
    /// The head of the target's answer arrived and is being relayed to the caller.
    AnswerStarted { attempt: AttemptId },
    /// The tokens of a streamed answer that were relayed so far; raised about once a second.
    AnswerProgress {
        attempt: AttemptId,
        usage: TokenUsage,
    },
    /// The answer ended.
    AnswerEnded {
        attempt: AttemptId,
        end: AnswerEnd,
        /// The usage that the target reported. If the answer ended early, `output` is the edge's
        /// count and `input` its estimate of the prompt; both are zero if no part of an answer
        /// arrived.
        usage: TokenUsage,
    },
}

/// An action for the edge towards callers and targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum CallAction {
    /// Sends the caller its final answer.
    Refuse { call: CallId, refusal: CallRefusal },
    /// Sends the call to a target. The edge never resends it.
    Dispatch {
        /// The attempt, sent as `Beechsaddle-Attempt` and compared with the answer's echo.
        attempt: AttemptId,
        target: TargetName,
        /// The target's address, as `address:port`.
        address: String,
        /// The `max_tokens` to send; `None` for a plain service.
        output_limit: Option<u64>,
        /// The time limit for the head of the answer, in milliseconds.
        head_timeout_ms: u64,
        /// The caller's deadline, forwarded to the target.
        deadline: Option<ClockTime>,
        /// Whether the call may be repeated. A not-repeatable call gets its own connection, and a
        /// server error of the target is relayed, since it is the call's outcome.
        repeatable: bool,
    },
    /// The models that the caller of a [`CallEvent::ModelsQuery`] may use.
    Models {
        call: CallId,
        /// The models, in order.
        models: Vec<ModelName>,
    },
    /// Relays the last part of the answer, since the usage is stored on two routers.
    Finish { call: CallId },
    /// Cancels the target's answer and visibly breaks the caller's.
    Abort { call: CallId },
    /// Closes the listener; running calls continue.
    StopAccepting,
}
