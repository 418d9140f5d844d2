//! The `stream_relay` module provides the forwarding of an event stream from targets to a caller.

use std::fmt;
use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, RouteKind, StreamOrigin};
use beechsaddle_core::prelude::*;
use bytes::Bytes;
use futures::stream::unfold;
use tokio::time::sleep;

use super::answer_body::BodyStream;
use super::call_context::CallContext;
use super::call_record::ANSWERED;
use super::event_splitter::EventSplitter;
use super::gateway_metrics::{OutcomeLabel, STREAM_BREAKS};
use super::origins::{ResumeActor, ResumeVersion, publish_origin};
use super::stall_watch::StallWatch;
use super::stream_attempt::{StreamAttempt, UpstreamPart};
use super::stream_exchange::{StreamOpening, open_stream};
use super::stream_takeover::{CUT_STREAM, StreamProgress, Takeover, race_takeover};
use super::token_reservation::TokenReservation;

/// The response ended prematurely; the caller's connection is closed without its final chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the target's stream ended prematurely")
    }
}

impl std::error::Error for StreamBroken {}

/// Why a stream is broken off towards its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamBreak {
    /// The target's stream ended prematurely.
    Broken,
    /// The call's deadline passed.
    Deadline,
    /// An event exceeds the size limit.
    Oversized,
}

impl StreamBreak {
    /// Returns the name of the reason in logs and counters.
    fn as_str(self) -> &'static str {
        let [broken, deadline, oversized] = STREAM_BREAKS;
        match self {
            StreamBreak::Broken => broken,
            StreamBreak::Deadline => deadline,
            StreamBreak::Oversized => oversized,
        }
    }
}

/// What happens next to a stream.
enum RelayStep {
    Part(UpstreamPart),
    /// The target is silent, and another one may be tried.
    Replaceable,
}

/// A stream that is being forwarded. Dropping it closes the connection to its target.
pub(super) struct StreamRelay {
    call: Rc<CallContext>,
    reservation: Option<TokenReservation>,
    attempt: Option<StreamAttempt>,
    splitter: EventSplitter,
    stall: StallWatch,
    events: u64,
    is_origin_published: bool,
    is_finished: bool,
}

impl StreamRelay {
    /// Creates a relay whose first target is `attempt`.
    pub(super) fn new(
        call: Rc<CallContext>,
        reservation: Option<TokenReservation>,
        attempt: StreamAttempt,
    ) -> Self {
        StreamRelay {
            splitter: EventSplitter::new(call.head.last_event),
            stall: watch_first_event(&call, &attempt),
            call,
            reservation,
            attempt: Some(attempt),
            events: 0,
            is_origin_published: false,
            is_finished: false,
        }
    }

    /// Returns the chunks for the caller.
    pub(super) fn into_stream(self) -> BodyStream {
        Box::pin(unfold(self, |mut relay| async move {
            let part = relay.next_chunk().await?;
            Some((part, relay))
        }))
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        while !self.is_finished {
            let part = match self.next_step().await {
                RelayStep::Part(part) => self.handle_part(part).await,
                RelayStep::Replaceable => self.handle_silence().await,
            };
            if part.is_some() {
                return part;
            }
        }
        None
    }

    async fn next_step(&mut self) -> RelayStep {
        let Some(attempt) = &mut self.attempt else {
            let detail = "no attempt is open".to_owned();
            return RelayStep::Part(UpstreamPart::Lost(AttemptEnd::Broken, detail));
        };
        // A target that sends all the time never lets the timer below have its turn.
        if self.call.remaining_ms() == 0 {
            return RelayStep::Part(deadline_over());
        }
        tokio::select! {
            biased;
            part = attempt.next_part() => RelayStep::Part(part),
            () = self.stall.replaceable(&self.call) => RelayStep::Replaceable,
            () = sleep(self.call.remaining()) => RelayStep::Part(deadline_over()),
        }
    }

    async fn handle_part(&mut self, part: UpstreamPart) -> Option<Result<Bytes, StreamBroken>> {
        match part {
            UpstreamPart::Data(data) => self.handle_data(&data),
            UpstreamPart::End => self.handle_end().await,
            UpstreamPart::Lost(end, detail) => self.handle_loss(end, &detail).await,
        }
    }

    /// Tries another target while the silent one may still go on.
    async fn handle_silence(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        if !self.call.try_repeat(AttemptEnd::Silent) {
            self.stall.postpone_search(&self.call);
            return None;
        }
        self.stall.record_search();
        let attempt = self.attempt.take()?;
        let progress = StreamProgress {
            reservation: self.reservation.as_ref(),
            last_event: self.splitter.last_event(),
            partial_bytes: self.splitter.partial_bytes(),
        };
        match race_takeover(&self.call, attempt, progress).await {
            Takeover::Continued(attempt, part) => {
                self.attempt = Some(attempt);
                self.handle_part(part).await
            }
            Takeover::Replaced(open) => {
                self.resume_at(open.attempt);
                None
            }
            Takeover::Unreplaced(attempt) => {
                self.attempt = Some(attempt);
                self.stall.postpone_search(&self.call);
                None
            }
            Takeover::Lost(detail) => Some(Err(self.abort(StreamBreak::Broken, &detail))),
        }
    }

    fn handle_data(&mut self, data: &[u8]) -> Option<Result<Bytes, StreamBroken>> {
        let Ok(part) = self.splitter.push(data) else {
            return Some(Err(
                self.abort(StreamBreak::Oversized, "event exceeds the size limit")
            ));
        };
        self.stall.record_data(&self.call);
        self.events += part.events;
        if let Some(attempt) = self.attempt.as_mut().filter(|_| part.complete > 0) {
            attempt.record_complete_events(part.complete);
        }
        if let Some(reservation) = &self.reservation {
            // The target does not report tokens per event; each event is charged the most it can
            // hold.
            reservation.record_delivered(self.events.saturating_mul(self.call.rule.event_tokens));
        }
        if part.bytes.is_empty() {
            return None;
        }
        self.publish_origin();
        self.call.record.record_event();
        self.call.state.record_part(&part.bytes);
        Some(Ok(part.bytes))
    }

    /// Binds the stream to the software version of its first event, and tells other routers, to which
    /// the caller may come to resume it.
    fn publish_origin(&mut self) {
        let Some(attempt) = self.attempt.as_ref().filter(|_| !self.is_origin_published) else {
            return;
        };
        self.is_origin_published = true;
        let origin = StreamOrigin {
            service: self.call.service.clone(),
            version: attempt.version(),
        };
        self.call.version.replace(Some(origin.version.clone()));
        if self.call.route.kind == (RouteKind::Stream { is_resumable: true }) {
            publish_origin(&self.call.state, &self.call.stream(), &origin);
        }
    }

    async fn handle_end(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        let attempt = self.attempt.take()?;
        let partial_bytes = self.splitter.partial_bytes();
        attempt.record_body_end(&self.call, partial_bytes);
        if attempt.is_truncated(partial_bytes) {
            self.attempt = Some(attempt);
            return self.handle_loss(AttemptEnd::Broken, CUT_STREAM).await;
        }
        self.is_finished = true;
        attempt.finish(&self.call);
        self.call.record.record_lateness(&self.call.route);
        self.call.record.set_outcome(ANSWERED);
        None
    }

    async fn handle_loss(
        &mut self,
        end: AttemptEnd,
        detail: &str,
    ) -> Option<Result<Bytes, StreamBroken>> {
        match self.try_resume(end, detail).await {
            Ok(()) => None,
            Err(broken) => Some(Err(broken)),
        }
    }

    /// Resumes the stream at another target, after the last event that the caller has.
    async fn try_resume(&mut self, end: AttemptEnd, detail: &str) -> Result<(), StreamBroken> {
        if let Some(attempt) = self.attempt.take() {
            attempt.fail(&self.call, end, detail).await;
        }
        self.splitter.drop_partial();
        let is_resumable = self.call.route.kind == RouteKind::Stream { is_resumable: true };
        if !is_resumable || !self.call.try_repeat(end) {
            return Err(self.abort(StreamBreak::Broken, detail));
        }
        let last_event = self.splitter.last_event();
        let opening = open_stream(&self.call, last_event, self.reservation.as_ref()).await;
        let StreamOpening::Open(open) = opening else {
            return Err(self.abort(StreamBreak::Broken, "no target resumed the stream"));
        };
        self.resume_at(open.attempt);
        Ok(())
    }

    /// Goes on with another target's part of the stream.
    fn resume_at(&mut self, attempt: StreamAttempt) {
        self.splitter.drop_partial();
        self.log_resume(self.splitter.last_event(), &attempt.version());
        self.stall = watch_first_event(&self.call, &attempt);
        self.attempt = Some(attempt);
    }

    fn log_resume(&self, last_event: Option<u64>, version: &SoftwareVersion) {
        self.call.state.metrics.resumes.inc();
        let began_at = self.call.version.borrow();
        // A stream without an event may begin at any version.
        if began_at.is_some() {
            let what = ResumeVersion::compare(began_at.as_ref(), version);
            self.call.record.record_resume(ResumeActor::Router, what);
        }
        let last = last_event.map_or("none".to_owned(), |last| last.to_string());
        let mut fields = vec![("last_event", last), ("events", self.events.to_string())];
        let before = began_at.as_ref();
        fields.extend(before.map(|before| ("version_before", before.to_string())));
        fields.push(("version", version.to_string()));
        self.call.record.log_decision("stream_resumed", fields);
    }

    fn abort(&mut self, cause: StreamBreak, reason: &str) -> StreamBroken {
        self.is_finished = true;
        self.attempt = None;
        let (cause, outcome) = match self.call.remaining_ms() {
            0 => (StreamBreak::Deadline, "timed_out"),
            _ => (cause, "broken_off"),
        };
        self.call.record.add_field("why", reason);
        self.call.record.set_outcome(outcome);
        self.record_break(cause);
        StreamBroken
    }

    /// Records why the stream was broken off, and how recently the configuration had changed.
    fn record_break(&self, cause: StreamBreak) {
        let state = &self.call.state;
        let label = OutcomeLabel {
            what: cause.as_str(),
        };
        state.metrics.stream_breaks.get_or_create(&label).inc();
        let config_age_ms = state.now().since(state.config_at.get());
        self.call.record.add_field("end", cause.as_str());
        self.call.record.add_field("config_age_ms", config_age_ms);
    }
}

fn deadline_over() -> UpstreamPart {
    UpstreamPart::Lost(AttemptEnd::Silent, "the deadline is over".to_owned())
}

/// Watches a target that has to process the prompt before the first event.
fn watch_first_event(call: &CallContext, attempt: &StreamAttempt) -> StallWatch {
    let prefill_tokens = call.head.bound.map_or(0, |bound| bound.input);
    StallWatch::for_first_event(call, attempt.target(), prefill_tokens)
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let spent = self.reservation.as_ref().map(TokenReservation::used);
        self.call.record.record_stream(self.events, spent);
    }
}
