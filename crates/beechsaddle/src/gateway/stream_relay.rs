//! The `stream_relay` module provides the forwarding of an event stream from targets to a caller.

use std::fmt;
use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, RouteKind, StreamOrigin};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::{BodyFraming, ResponseHead};
use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer_body::BodyStream;
use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::call_record::ANSWERED;
use super::crashes::{confirm_completion, detect_crash, record_completion};
use super::event_splitter::EventSplitter;
use super::gateway_metrics::{OutcomeLabel, STREAM_BREAKS, STREAM_ENDS, StreamEndLabel};
use super::origins::{ResumeActor, ResumeVersion, publish_origin};
use super::stall_watch::StallWatch;
use super::stream_exchange::{StreamOpening, open_stream};
use super::target_path::TargetLink;
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
    /// The target sent nothing for too long.
    Silent,
    /// The target's stream ended prematurely.
    Broken,
    /// The call's deadline passed.
    Deadline,
    /// An event exceeds the size limit.
    Oversized,
}

impl StreamBreak {
    /// Returns the reason for which a stream ends after an attempt that no other one follows.
    fn of(end: AttemptEnd) -> Self {
        match end {
            AttemptEnd::Silent => StreamBreak::Silent,
            _ => StreamBreak::Broken,
        }
    }

    /// Returns the name of the reason in logs and counters.
    fn as_str(self) -> &'static str {
        let [silent, broken, deadline, oversized] = STREAM_BREAKS;
        match self {
            StreamBreak::Silent => silent,
            StreamBreak::Broken => broken,
            StreamBreak::Deadline => deadline,
            StreamBreak::Oversized => oversized,
        }
    }
}

/// One target's part of a stream.
pub(super) struct StreamAttempt {
    guard: AttemptGuard,
    link: TargetLink,
    body: Incoming,
    facts: ResponseHead,
    /// Whether the target has sent a complete event.
    has_event: bool,
}

impl StreamAttempt {
    /// Creates the attempt of a stream whose head was read.
    pub(super) fn new(
        guard: AttemptGuard,
        link: TargetLink,
        body: Incoming,
        facts: ResponseHead,
    ) -> Self {
        StreamAttempt {
            guard,
            link,
            body,
            facts,
            has_event: false,
        }
    }

    /// Returns the software version of the target.
    pub(super) fn version(&self) -> SoftwareVersion {
        self.guard.target().version.clone()
    }

    /// Records success and returns the connection to the pool.
    fn finish(self, call: &CallContext) {
        self.guard.record_success();
        let address = self.guard.target().address;
        self.link.release(&call.state, address, &self.facts);
    }
}

/// The next item of a target's stream.
enum UpstreamPart {
    Data(Bytes),
    End,
    Lost(AttemptEnd, String),
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
        let prefill_tokens = call.head.bound.map_or(0, |bound| bound.input);
        StreamRelay {
            splitter: EventSplitter::new(call.head.last_event),
            stall: StallWatch::for_first_event(&call, prefill_tokens),
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
            let part = match self.next_part().await {
                UpstreamPart::Data(data) => self.handle_data(&data),
                UpstreamPart::End => self.handle_end().await,
                UpstreamPart::Lost(end, detail) => self.handle_loss(end, &detail).await,
            };
            if part.is_some() {
                return part;
            }
        }
        None
    }

    async fn next_part(&mut self) -> UpstreamPart {
        let Some(attempt) = &mut self.attempt else {
            return UpstreamPart::Lost(AttemptEnd::Broken, "no attempt is open".to_owned());
        };
        loop {
            let interval = self.stall.poll_interval(&self.call);
            match timeout(interval, attempt.body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        attempt.guard.record_first_event();
                        attempt.guard.record_progress();
                        self.stall.record_data(&self.call);
                        return UpstreamPart::Data(data);
                    }
                    // Trailers and empty frames carry nothing for the caller.
                    Ok(_) | Err(_) => {}
                },
                Ok(Some(Err(error))) => {
                    return UpstreamPart::Lost(AttemptEnd::Broken, error.to_string());
                }
                Ok(None) => return UpstreamPart::End,
                Err(_) if self.stall.is_expired(&self.call, &attempt.guard) => {
                    return UpstreamPart::Lost(
                        AttemptEnd::Silent,
                        "target sent no event in time".to_owned(),
                    );
                }
                Err(_) => {}
            }
        }
    }

    fn handle_data(&mut self, data: &[u8]) -> Option<Result<Bytes, StreamBroken>> {
        let Ok(part) = self.splitter.push(data) else {
            return Some(Err(
                self.abort(StreamBreak::Oversized, "event exceeds the size limit")
            ));
        };
        self.events += part.events;
        if let Some(attempt) = &mut self.attempt {
            attempt.has_event |= part.complete > 0;
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
        self.record_end();
        if self.is_truncated() {
            let detail = "the stream ended inside or before an event";
            return self.handle_loss(AttemptEnd::Broken, detail).await;
        }
        self.is_finished = true;
        if let Some(attempt) = self.attempt.take() {
            self.record_completion(&attempt);
            attempt.finish(&self.call);
        }
        self.call.record.record_lateness(&self.call.route);
        self.call.record.set_outcome(ANSWERED);
        None
    }

    /// Records that the stream is complete. If its body ended with the connection, it looks the same as
    /// one that a crash cut between two events, so that the target is asked first.
    fn record_completion(&self, attempt: &StreamAttempt) {
        let state = &self.call.state;
        match attempt.facts.framing {
            BodyFraming::Connection => confirm_completion(state, attempt.guard.suspect_run()),
            _ => record_completion(state, &self.call.suspects),
        }
    }

    /// Returns whether the current target's stream was cut although its body ended without an error. If
    /// the body ends with its connection, a crash of the target shows in no other way.
    fn is_truncated(&self) -> bool {
        let Some(attempt) = &self.attempt else {
            return true;
        };
        let is_unframed = attempt.facts.framing == BodyFraming::Connection;
        self.splitter.partial_bytes() > 0 || (is_unframed && !attempt.has_event)
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

    /// Records where the body of the current target's response ended.
    fn record_end(&self) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let framing = attempt.facts.framing.as_str();
        let partial_bytes = self.splitter.partial_bytes();
        let [whole, inside_event, no_event] = STREAM_ENDS;
        let what = match (partial_bytes, attempt.has_event) {
            (1.., _) => inside_event,
            (0, true) => whole,
            (0, false) => no_event,
        };
        let label = StreamEndLabel { framing, what };
        self.call
            .state
            .metrics
            .stream_ends
            .get_or_create(&label)
            .inc();
        self.call.record.add_field("framing", framing);
        if partial_bytes > 0 {
            self.call.record.add_field("partial_bytes", partial_bytes);
        }
    }

    /// Resumes the stream at another target, after the last event that the caller has.
    async fn try_resume(&mut self, end: AttemptEnd, detail: &str) -> Result<(), StreamBroken> {
        // The old connection is closed first: two targets at work on one stream waste one of them.
        if let Some(attempt) = self.attempt.take() {
            attempt.guard.record_failure(end);
            let run = attempt.guard.suspect_run();
            drop(attempt);
            detect_crash(&self.call.state, run.clone(), end).await;
            self.call.record_attempt_end(&run.target, end, detail);
        }
        self.splitter.drop_partial();
        let is_resumable = self.call.route.kind == RouteKind::Stream { is_resumable: true };
        if !is_resumable || !self.call.try_repeat(end) {
            return Err(self.abort(StreamBreak::of(end), detail));
        }
        let last_event = self.splitter.last_event();
        let opening = open_stream(&self.call, last_event, self.reservation.as_ref()).await;
        let StreamOpening::Open(open) = opening else {
            return Err(self.abort(StreamBreak::of(end), "no target resumed the stream"));
        };
        self.log_resume(last_event, &open.attempt.version());
        self.stall = StallWatch::for_first_event(
            &self.call,
            self.call.head.bound.map_or(0, |bound| bound.input),
        );
        self.attempt = Some(open.attempt);
        Ok(())
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

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let spent = self.reservation.as_ref().map(TokenReservation::used);
        self.call.record.record_stream(self.events, spent);
    }
}
