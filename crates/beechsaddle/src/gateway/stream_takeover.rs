//! The `stream_takeover` module provides the race of a silent target's stream against another target.

use std::pin::pin;

use beechsaddle_core::gateway::AttemptEnd;

use super::call_context::CallContext;
use super::gateway_metrics::OutcomeLabel;
use super::stream_attempt::{StreamAttempt, UpstreamPart};
use super::stream_exchange::{OpenStream, StreamOpening, open_stream};
use super::token_reservation::TokenReservation;

/// The result of trying another target beside a silent one.
pub(super) enum Takeover {
    /// The silent target went on or ended its stream first.
    Continued(StreamAttempt, UpstreamPart),
    /// The other target has answered, and the attempt of the silent one is closed.
    Replaced(Box<OpenStream>),
    /// No other target took the stream; the silent one may still go on.
    Unreplaced(StreamAttempt),
    /// The stream of the silent target was cut, and no other one took it.
    Lost(String),
}

/// What a stream has received and spent when its target falls silent.
#[derive(Clone, Copy)]
pub(super) struct StreamProgress<'a> {
    pub(super) reservation: Option<&'a TokenReservation>,
    /// The last event that the caller has.
    pub(super) last_event: Option<u64>,
    /// Size of the incomplete event, in bytes.
    pub(super) partial_bytes: usize,
}

/// Opens a stream at another target while `attempt`, whose target is silent, stays open. Whichever
/// speaks first goes on, and the other one is closed: two targets at work on one stream waste one
/// of them.
pub(super) async fn race_takeover(
    call: &CallContext,
    mut attempt: StreamAttempt,
    progress: StreamProgress<'_>,
) -> Takeover {
    let mut opening = pin!(open_stream(call, progress.last_event, progress.reservation));
    let part = tokio::select! {
        biased;
        part = attempt.next_part() => part,
        opened = &mut opening => return match opened {
            StreamOpening::Open(open) => {
                let detail = "target sent no event in time";
                attempt.fail(call, AttemptEnd::Silent, detail).await;
                Takeover::Replaced(open)
            }
            StreamOpening::Failed(_) | StreamOpening::Refused(_) => Takeover::Unreplaced(attempt),
        },
    };
    let (end, detail) = match part {
        UpstreamPart::End if attempt.is_truncated(progress.partial_bytes) => {
            attempt.record_body_end(call, progress.partial_bytes);
            (AttemptEnd::Broken, CUT_STREAM.to_owned())
        }
        UpstreamPart::Lost(end, detail) => (end, detail),
        part => {
            record_superseded(call, &attempt);
            return Takeover::Continued(attempt, part);
        }
    };
    attempt.fail(call, end, &detail).await;
    match opening.await {
        StreamOpening::Open(open) => Takeover::Replaced(open),
        StreamOpening::Failed(_) | StreamOpening::Refused(_) => Takeover::Lost(detail),
    }
}

/// Describes a stream whose body ended without an error, but too early.
pub(super) const CUT_STREAM: &str = "the stream ended inside or before an event";

/// Records the ends of the attempts that are dropped because the silent target of `attempt` went on.
fn record_superseded(call: &CallContext, attempt: &StreamAttempt) {
    call.record.record_attempt_start(attempt.started_at());
    let end = AttemptEnd::Superseded;
    let label = OutcomeLabel { what: end.as_str() };
    for name in call.open.targets() {
        if name == attempt.target().name {
            continue;
        }
        call.state.metrics.attempt_ends.get_or_create(&label).inc();
        call.record_attempt_end(&name, end, "the silent target went on");
    }
}
