//! The `stream_relay` module provides a stream of events on its way from targets to a caller.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use beechsaddle_core::gateway::{AttemptEnd, RouteKind};
use beechsaddle_core::prelude::*;
use beechsaddle_link::HttpLink;
use beechsaddle_platform::AnswerFacts;
use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer_body::PartStream;
use super::attempt_guard::AttemptGuard;
use super::call_context::CallContext;
use super::call_record::ANSWERED;
use super::crashes::{look_for_crash, note_completed};
use super::event_splitter::EventSplitter;
use super::stream_exchange::{StreamOpening, open_stream};
use super::token_reservation::TokenReservation;

/// The answer ends before it is whole; the caller's connection is closed without its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the target's stream broke off")
    }
}

impl std::error::Error for StreamBroken {}

/// How long a target may be silent in the middle of a stream, in milliseconds, if nobody else hears
/// from it either: several times the pause between two events at a full engine.
const STALL_MS: u64 = 1_200;

/// Prompt tokens that a busy engine reads in a millisecond, at least. A long prompt delays the first
/// event, and other streams of its target, by so much.
const SLOW_TOKENS_PER_MS: u64 = 20;

/// How often a silent target is looked at, in milliseconds.
const STALL_LOOK_MS: u64 = 250;

/// Tells a target that is dead from one that is slow: nothing came from it for any call.
pub(super) struct StallWatch {
    limit_ms: Option<u64>,
    silent_since: ClockTime,
}

impl StallWatch {
    /// A watch over the time until the first event.
    pub(super) fn first(call: &CallContext, prefill_tokens: u64) -> Self {
        StallWatch::start(call, STALL_MS + prefill_tokens / SLOW_TOKENS_PER_MS)
    }

    fn start(call: &CallContext, limit_ms: u64) -> Self {
        // A call that cannot go on elsewhere gains nothing from giving up a silent target.
        let may_repeat = call.route.kind.may_repeat();
        StallWatch {
            limit_ms: may_repeat.then_some(limit_ms),
            silent_since: call.state.now(),
        }
    }

    fn record_part(&mut self, call: &CallContext) {
        self.silent_since = call.state.now();
        self.limit_ms = self.limit_ms.map(|_| STALL_MS);
    }

    /// How long to wait before the target is looked at again.
    pub(super) fn pause(&self, call: &CallContext) -> Duration {
        match self.limit_ms {
            Some(_) => call.left().min(Duration::from_millis(STALL_LOOK_MS)),
            None => call.left(),
        }
    }

    /// Whether to wait no longer: the call's time is over, or the target is dead and the call could
    /// go on elsewhere.
    pub(super) fn is_over(&self, call: &CallContext, guard: &AttemptGuard) -> bool {
        if call.left_ms() == 0 {
            return true;
        }
        let Some(limit_ms) = self.limit_ms else {
            return false;
        };
        let mut after = call.history.borrow().clone();
        after.note(AttemptEnd::Silent);
        let may_go_on = after.allows_another(call.route.kind, call.route.attempts_max);
        let silent_ms = call.state.now().since(self.silent_since);
        may_go_on && silent_ms >= limit_ms && guard.silence_ms() >= limit_ms
    }
}

/// One target's part of a stream.
pub(super) struct StreamAttempt {
    guard: AttemptGuard,
    link: HttpLink,
    body: Incoming,
    facts: AnswerFacts,
}

impl StreamAttempt {
    /// A stream whose head was read.
    pub(super) fn new(
        guard: AttemptGuard,
        link: HttpLink,
        body: Incoming,
        facts: AnswerFacts,
    ) -> Self {
        StreamAttempt {
            guard,
            link,
            body,
            facts,
        }
    }

    /// Lets go of the target after a whole answer.
    fn finish(self, call: &CallContext) {
        self.guard.note_success();
        if !self.facts.closes {
            let address = self.guard.target().address;
            let state = &call.state;
            let now = state.now();
            state
                .pool
                .put(now, address, self.link, self.facts.keep_alive_ms);
        }
    }
}

/// What came next of a target's stream.
enum NextPart {
    Data(Bytes),
    End,
    Lost(AttemptEnd, String),
}

/// A stream on its way. Dropping it closes the connection to its target.
pub(super) struct StreamRelay {
    call: Rc<CallContext>,
    reservation: Option<TokenReservation>,
    attempt: Option<StreamAttempt>,
    splitter: EventSplitter,
    stall: StallWatch,
    events: u64,
    is_over: bool,
}

impl StreamRelay {
    /// A stream that begins with `attempt`.
    pub(super) fn new(
        call: Rc<CallContext>,
        reservation: Option<TokenReservation>,
        attempt: StreamAttempt,
    ) -> Self {
        let prefill_tokens = call.head.bound.map_or(0, |bound| bound.input);
        StreamRelay {
            splitter: EventSplitter::new(call.head.last_event),
            stall: StallWatch::first(&call, prefill_tokens),
            call,
            reservation,
            attempt: Some(attempt),
            events: 0,
            is_over: false,
        }
    }

    /// The parts for the caller.
    pub(super) fn into_parts(self) -> PartStream {
        Box::pin(unfold(self, |mut relay| async move {
            let part = relay.next().await?;
            Some((part, relay))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        while !self.is_over {
            let part = match self.next_part().await {
                NextPart::Data(data) => self.take_data(&data),
                NextPart::End => self.take_end(),
                NextPart::Lost(end, detail) => match self.try_resume(end, &detail).await {
                    Ok(()) => None,
                    Err(broken) => Some(Err(broken)),
                },
            };
            if part.is_some() {
                return part;
            }
        }
        None
    }

    async fn next_part(&mut self) -> NextPart {
        let Some(attempt) = &mut self.attempt else {
            return NextPart::Lost(AttemptEnd::Broken, "no target".to_owned());
        };
        loop {
            let pause = self.stall.pause(&self.call);
            match timeout(pause, attempt.body.frame()).await {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => {
                        attempt.guard.record_first();
                        attempt.guard.note_progress();
                        self.stall.record_part(&self.call);
                        return NextPart::Data(data);
                    }
                    // Trailers and empty parts carry nothing for the caller.
                    Ok(_) | Err(_) => {}
                },
                Ok(Some(Err(error))) => {
                    return NextPart::Lost(AttemptEnd::Broken, error.to_string());
                }
                Ok(None) => return NextPart::End,
                Err(_) if self.stall.is_over(&self.call, &attempt.guard) => {
                    return NextPart::Lost(AttemptEnd::Silent, "no event".to_owned());
                }
                Err(_) => {}
            }
        }
    }

    fn take_data(&mut self, data: &[u8]) -> Option<Result<Bytes, StreamBroken>> {
        let Ok(part) = self.splitter.push(data) else {
            return Some(Err(self.break_off("an event is too long")));
        };
        self.events += part.events;
        if let Some(reservation) = &self.reservation {
            // The tokens of an event are not told one by one; each counts as the most it can hold.
            reservation.note_delivered(self.events.saturating_mul(self.call.rule.event_tokens));
        }
        if part.bytes.is_empty() {
            return None;
        }
        self.call.record.note_event();
        self.call.state.record_part(&part.bytes);
        Some(Ok(part.bytes))
    }

    fn take_end(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        self.is_over = true;
        if let Some(attempt) = self.attempt.take() {
            attempt.finish(&self.call);
            note_completed(&self.call.state, self.call.fingerprint);
        }
        self.call.record.note_lateness(&self.call.route);
        self.call.record.end(ANSWERED);
        let rest = self.splitter.take_partial();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Goes on at another target, from behind the last event that the caller has.
    async fn try_resume(&mut self, end: AttemptEnd, detail: &str) -> Result<(), StreamBroken> {
        // The connection is closed first: two targets at work on one stream waste one of them.
        if let Some(attempt) = self.attempt.take() {
            attempt.guard.note_end(end);
            let run = attempt.guard.suspect_run();
            drop(attempt);
            look_for_crash(&self.call.state, run.clone(), end).await;
            self.call.note_end(&run.target, end, detail);
        }
        self.splitter.drop_partial();
        let is_resumable = self.call.route.kind == RouteKind::Stream { is_resumable: true };
        if !is_resumable || !self.call.try_repeat(end) {
            return Err(self.break_off(detail));
        }
        let last_event = self.splitter.last_event();
        let opening = open_stream(&self.call, last_event, self.reservation.as_ref()).await;
        let StreamOpening::Open(open) = opening else {
            return Err(self.break_off("no target goes on"));
        };
        self.log_resume(last_event);
        self.stall = StallWatch::first(
            &self.call,
            self.call.head.bound.map_or(0, |bound| bound.input),
        );
        self.attempt = Some(open.attempt);
        Ok(())
    }

    fn log_resume(&self, last_event: Option<u64>) {
        self.call.state.metrics.resumes.inc();
        let last = last_event.map_or("none".to_owned(), |last| last.to_string());
        let fields = [("last_event", last), ("events", self.events.to_string())];
        self.call.record.decide("stream_resumed", fields);
    }

    fn break_off(&mut self, why: &str) -> StreamBroken {
        self.is_over = true;
        self.attempt = None;
        self.call.record.note("why", why);
        self.call.record.end(match self.call.left_ms() {
            0 => "timed_out",
            _ => "broken_off",
        });
        StreamBroken
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        let spent = self.reservation.as_ref().map(TokenReservation::used);
        self.call.record.note_stream(self.events, spent);
    }
}
