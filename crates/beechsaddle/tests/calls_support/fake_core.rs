//! The `fake_core` module provides an edge whose core is the test.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use beechsaddle::calls::{CallsEdge, CallsHandle, CallsOptions};
use beechsaddle_core::call::{
    AnswerEnd, AttemptFailure, CallAction, CallArrival, CallEvent, TokenUsage,
};
use beechsaddle_core::prelude::*;
use crossbeam_channel::Receiver;

/// Time limit for events that a test expects.
pub const WAIT_LIMIT: Duration = Duration::from_secs(4);

/// An edge whose core is the test.
pub struct FakeCore {
    pub handle: CallsHandle,
    pub events: Receiver<CoreEvent>,
}

/// Returns a dispatch with default values.
pub fn dispatch(call: &CallId, ordinal: u32, address: SocketAddr) -> CallAction {
    CallAction::Dispatch {
        attempt: attempt(call, ordinal),
        target: TargetName::new("target-a"),
        address: address.to_string(),
        output_limit: Some(64),
        head_timeout_ms: 2_000,
        deadline: None,
        repeatable: true,
    }
}

/// Returns a dispatch of a call that may not be repeated.
pub fn dispatch_once(call: &CallId, address: SocketAddr) -> CallAction {
    match dispatch(call, 0, address) {
        CallAction::Dispatch {
            attempt,
            target,
            address,
            head_timeout_ms,
            deadline,
            ..
        } => CallAction::Dispatch {
            attempt,
            target,
            address,
            output_limit: None,
            head_timeout_ms,
            deadline,
            repeatable: false,
        },
        action => action,
    }
}

pub fn attempt(call: &CallId, ordinal: u32) -> AttemptId {
    AttemptId {
        call: call.clone(),
        ordinal,
    }
}

impl FakeCore {
    pub fn start() -> Self {
        FakeCore::start_with(CallsOptions::default(), 64)
    }

    pub fn start_with(options: CallsOptions, ring_slots: usize) -> Self {
        let (sender, events) = crossbeam_channel::bounded(ring_slots);
        let own_incarnation = RouterIncarnation::new("host-a", 7);
        let handle =
            CallsEdge::try_start(options, own_incarnation, sender).expect("the edge starts");
        FakeCore { handle, events }
    }

    pub fn address(&self) -> SocketAddr {
        self.handle.call_address()
    }

    pub fn act(&self, action: CallAction) {
        self.handle.send(CoreAction::Call(action));
    }

    /// Returns the next call event other than progress.
    pub fn next_event(&self) -> CallEvent {
        self.next_event_within(WAIT_LIMIT)
    }

    /// Returns the next call event other than progress, with another time limit.
    pub fn next_event_within(&self, span: Duration) -> CallEvent {
        let deadline = Instant::now() + span;
        loop {
            match self
                .events
                .recv_deadline(deadline)
                .expect("an event arrives")
            {
                CoreEvent::Call(CallEvent::AnswerProgress { .. }) => {}
                CoreEvent::Call(event) => return event,
                event => panic!("unexpected {event:?}"),
            }
        }
    }

    /// Asserts that no event arrives for `span`.
    pub fn expect_no_event(&self, span: Duration) {
        if let Ok(event) = self.events.recv_timeout(span) {
            panic!("unexpected {event:?}");
        }
    }

    pub fn next_arrival(&self) -> CallArrival {
        match self.next_event() {
            CallEvent::Arrived(arrival) => *arrival,
            event => panic!("expected an arrival, got {event:?}"),
        }
    }

    pub fn next_rejection(&self) -> RefusalReason {
        match self.next_event() {
            CallEvent::Rejected(refusal) => refusal.reason,
            event => panic!("expected a rejection, got {event:?}"),
        }
    }

    pub fn next_failure(&self) -> AttemptFailure {
        match self.next_event() {
            CallEvent::AttemptFailed { failure, .. } => failure,
            event => panic!("expected a failed attempt, got {event:?}"),
        }
    }

    pub fn next_start(&self) -> AttemptId {
        match self.next_event() {
            CallEvent::AnswerStarted { attempt } => attempt,
            event => panic!("expected a started answer, got {event:?}"),
        }
    }

    pub fn next_end(&self) -> (AnswerEnd, TokenUsage) {
        match self.next_event() {
            CallEvent::AnswerEnded { end, usage, .. } => (end, usage),
            event => panic!("expected an ended answer, got {event:?}"),
        }
    }

    /// Takes the next call, dispatches it to `target` and returns its id.
    pub fn dispatch_next(&self, target: SocketAddr) -> CallId {
        let call = self.next_arrival().call;
        self.act(dispatch(&call, 0, target));
        call
    }

    /// Waits until no call is open.
    pub fn await_no_calls(&self) {
        let deadline = Instant::now() + WAIT_LIMIT;
        while self.handle.open_calls() > 0 {
            assert!(Instant::now() < deadline, "a call stays open");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Drop for FakeCore {
    fn drop(&mut self) {
        self.handle.stop(Duration::ZERO);
    }
}
