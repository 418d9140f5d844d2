//! The `target_script` module provides the behaviour of targets.

use beechsaddle_core::call::{AnswerEnd, AttemptFailure, CallEvent, TokenUsage};
use beechsaddle_core::prelude::*;

/// The behaviour of a target for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetScript {
    /// Answers at once.
    #[default]
    Answer,
    /// Streams for several seconds.
    Stream,
    /// Accepts no connection.
    Closed,
    /// Breaks the connection before the first byte.
    Lose,
    /// Reports overload; for a not-repeatable call this is its outcome.
    Busy,
    /// Breaks the connection in the middle of the answer.
    Break,
    /// Never answers.
    Hang,
}

impl TargetScript {
    pub const ALL: [TargetScript; 7] = [
        TargetScript::Answer,
        TargetScript::Stream,
        TargetScript::Closed,
        TargetScript::Lose,
        TargetScript::Busy,
        TargetScript::Break,
        TargetScript::Hang,
    ];

    /// Returns the edge's events of an attempt, each with its delay in milliseconds.
    pub fn events(
        self,
        attempt: &AttemptId,
        usage: TokenUsage,
        repeatable: bool,
        head_timeout_ms: u64,
    ) -> Vec<(u64, CallEvent)> {
        let fail = |delay_ms, failure| {
            let attempt = attempt.clone();
            vec![(delay_ms, CallEvent::AttemptFailed { attempt, failure })]
        };
        match self {
            TargetScript::Busy if repeatable => fail(5, AttemptFailure::TargetBusy),
            TargetScript::Answer | TargetScript::Busy => {
                answer(attempt, usage, 20, AnswerEnd::Complete)
            }
            TargetScript::Stream => answer(attempt, usage, 1_500, AnswerEnd::Complete),
            TargetScript::Break => answer(attempt, usage, 300, AnswerEnd::Truncated),
            TargetScript::Closed => fail(1, AttemptFailure::ConnectFailed),
            TargetScript::Lose => fail(30, AttemptFailure::ConnectionLost),
            TargetScript::Hang => fail(head_timeout_ms, AttemptFailure::TimedOut),
        }
    }
}

/// Returns an answer in three parts with a pause before each.
fn answer(
    attempt: &AttemptId,
    usage: TokenUsage,
    pause_ms: u64,
    end: AnswerEnd,
) -> Vec<(u64, CallEvent)> {
    let half = TokenUsage {
        input: usage.input,
        output: usage.output / 2,
    };
    let used = match end {
        AnswerEnd::Complete => usage,
        AnswerEnd::Truncated | AnswerEnd::CallerGone => half,
    };
    let started = CallEvent::AnswerStarted {
        attempt: attempt.clone(),
    };
    let progress = CallEvent::AnswerProgress {
        attempt: attempt.clone(),
        usage: half,
    };
    let ended = CallEvent::AnswerEnded {
        attempt: attempt.clone(),
        end,
        usage: used,
    };
    vec![
        (pause_ms, started),
        (2 * pause_ms, progress),
        (3 * pause_ms, ended),
    ]
}
