//! The `stream_attempt` module provides one target's part of a stream.

use std::rc::Rc;

use beechsaddle_core::gateway::{AttemptEnd, TargetRecord};
use beechsaddle_core::prelude::*;
use beechsaddle_link::LinkBody;
use beechsaddle_platform::{BodyFraming, ResponseHead};
use bytes::Bytes;
use http_body_util::BodyExt;

use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::crashes::{confirm_completion, detect_crash, record_completion};
use super::gateway_metrics::{STREAM_ENDS, StreamEndLabel};
use super::target_path::TargetLink;

/// Number of events whose intervals are recorded together.
const PACE_EVENTS: u64 = 8;

/// The next item of a target's stream.
pub(super) enum UpstreamPart {
    Data(Bytes),
    End,
    Lost(AttemptEnd, String),
}

/// One target's part of a stream. Dropping it closes the connection to the target.
pub(super) struct StreamAttempt {
    guard: Rc<AttemptGuard>,
    link: TargetLink,
    body: LinkBody,
    facts: ResponseHead,
    /// Whether the target has sent a complete event.
    has_event: bool,
    pace: EventPace,
}

/// Events whose intervals are not recorded yet.
#[derive(Clone, Copy, Debug, Default)]
struct EventPace {
    /// When the event before them came; `None` before the first.
    since: Option<ClockTime>,
    events: u64,
}

impl StreamAttempt {
    /// Creates the attempt of a stream whose head was read.
    pub(super) fn new(
        guard: Rc<AttemptGuard>,
        link: TargetLink,
        body: LinkBody,
        facts: ResponseHead,
    ) -> Self {
        StreamAttempt {
            guard,
            link,
            body,
            facts,
            has_event: false,
            pace: EventPace::default(),
        }
    }

    pub(super) fn target(&self) -> &TargetRecord {
        self.guard.target()
    }

    pub(super) fn started_at(&self) -> ClockTime {
        self.guard.started_at()
    }

    /// Returns the software version of the target.
    pub(super) fn version(&self) -> SoftwareVersion {
        self.target().version.clone()
    }

    /// Records that the target has sent complete events.
    pub(super) fn record_complete_events(&mut self, events: u64) {
        self.has_event = true;
        let now = self.guard.now();
        let Some(since) = self.pace.since else {
            // The events that come with the first one say nothing about intervals.
            self.pace.since = Some(now);
            return;
        };
        self.pace.events += events;
        if self.pace.events >= PACE_EVENTS {
            self.guard.record_events(now.since(since), self.pace.events);
            self.pace = EventPace {
                since: Some(now),
                events: 0,
            };
        }
    }

    /// Records the intervals of the last events.
    fn record_last_events(&self) {
        let span_ms = self.pace.since.map(|since| self.guard.now().since(since));
        if let Some(span_ms) = span_ms.filter(|_| self.pace.events > 0) {
            self.guard.record_events(span_ms, self.pace.events);
        }
    }

    /// Waits for the next item. Nothing is lost if the future is dropped.
    pub(super) async fn next_part(&mut self) -> UpstreamPart {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        self.guard.record_first_event();
                        self.guard.record_progress();
                        return UpstreamPart::Data(data);
                    }
                    // Trailers and empty frames carry nothing for the caller.
                    Ok(_) | Err(_) => {}
                },
                Some(Err(error)) => {
                    return UpstreamPart::Lost(AttemptEnd::Broken, error.to_string());
                }
                None => return UpstreamPart::End,
            }
        }
    }

    /// Returns whether the stream was cut although its body ended without an error. If the body ends
    /// with its connection, a crash of the target shows in no other way.
    pub(super) fn is_truncated(&self, partial_bytes: usize) -> bool {
        let is_unframed = self.facts.framing == BodyFraming::Connection;
        partial_bytes > 0 || (is_unframed && !self.has_event)
    }

    /// Records where the body ended.
    pub(super) fn record_body_end(&self, call: &CallContext, partial_bytes: usize) {
        let framing = self.facts.framing.as_str();
        let [whole, inside_event, no_event] = STREAM_ENDS;
        let what = match (partial_bytes, self.has_event) {
            (1.., _) => inside_event,
            (0, true) => whole,
            (0, false) => no_event,
        };
        let way = self.link.way();
        let label = StreamEndLabel { framing, what, way };
        let ends = &call.state.metrics.stream_ends;
        ends.get_or_create(&label).inc();
        call.record.add_field("framing", framing);
        if partial_bytes > 0 {
            call.record.add_field("partial_bytes", partial_bytes);
        }
    }

    /// Records that the stream is complete, and returns the connection to the pool. If the body ended
    /// with the connection, it looks the same as one that a crash cut between two events, so that the
    /// target is asked first.
    pub(super) fn finish(self, call: &CallContext) {
        let state = &call.state;
        match self.facts.framing {
            BodyFraming::Connection => confirm_completion(state, self.guard.suspect_run()),
            _ => record_completion(state, &call.suspects),
        }
        self.record_last_events();
        self.guard.record_success();
        let address = self.target().address;
        self.link.release(state, address, &self.facts);
    }

    /// Closes the connection and records how the attempt ended without completing the stream.
    pub(super) async fn fail(self, call: &CallContext, end: AttemptEnd, detail: &str) {
        self.record_last_events();
        self.guard.record_failure(end);
        let run = self.guard.suspect_run();
        drop(self);
        detect_crash(&call.state, run.clone(), end).await;
        call.record_attempt_end(&run.target.name, end, detail);
    }
}
