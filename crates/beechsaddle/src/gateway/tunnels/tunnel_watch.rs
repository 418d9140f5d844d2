//! The `tunnel_watch` module provides the reading of what a target announces in a response that passes
//! through a tunnel.
//!
//! For the target, the router that carries a tunnel is the one that sent the request, and passes on the
//! response.

use std::cell::{Cell, RefCell};
use std::ops::ControlFlow;

use beechsaddle_core::gateway::TargetRecord;
use beechsaddle_core::report::LogLevel;
use beechsaddle_platform::{RawHead, parse_request_id, parse_response_head};

use crate::gateway::gateway_state::GatewayState;
use crate::gateway::target_notice::{NoticeSource, is_answer_to, is_own, record_notice};

/// Maximum size of a head that is evaluated, in bytes: several times that of a request with a long
/// prompt. A larger one of a request is only passed on.
///
/// It is also the maximum size of all heads of a response. Routers accept no larger head, and an answer
/// has few interim responses before it.
const HEAD_BYTES_MAX: usize = 64 * 1_024;

/// The heads of the one request and its response in a tunnel.
pub(super) struct TunnelWatch<'a> {
    state: &'a GatewayState,
    target: &'a TargetRecord,
    request: RefCell<HeadBuffer>,
    request_id: RefCell<Option<String>>,
    response: RefCell<HeadBuffer>,
    /// Size of the response up to the end of its final head, in bytes.
    response_bytes: Cell<usize>,
}

impl<'a> TunnelWatch<'a> {
    pub(super) fn new(state: &'a GatewayState, target: &'a TargetRecord) -> Self {
        TunnelWatch {
            state,
            target,
            request: RefCell::default(),
            request_id: RefCell::default(),
            response: RefCell::default(),
            response_bytes: Cell::default(),
        }
    }

    /// Returns the id of the request, once its head was read.
    pub(super) fn request_id(&self) -> Option<String> {
        self.request_id.borrow().clone()
    }

    /// Reads a part of the request.
    pub(super) fn record_request(&self, part: &[u8]) {
        let mut buffer = self.request.borrow_mut();
        if let Some(id) = buffer.push(part, parse_request_id) {
            buffer.finish();
            self.request_id.replace(id);
        }
    }

    /// Reads a part of the response; returns `Break` if it is known that it is no answer.
    pub(super) fn record_response(&self, part: &[u8]) -> ControlFlow<()> {
        let mut buffer = self.response.borrow_mut();
        if buffer.is_finished {
            return ControlFlow::Continue(());
        }
        self.response_bytes
            .set(self.response_bytes.get() + part.len());
        let mut next = buffer.push(part, parse_response_head);
        // Interim responses come before the final one.
        while next
            .as_ref()
            .is_some_and(|head| head.status.is_informational())
        {
            next = buffer.push(&[], parse_response_head);
        }
        let Some(facts) = next else {
            return self.check_heads();
        };
        buffer.finish();
        let request_id = self.request_id.borrow();
        let is_answer = request_id
            .as_ref()
            .is_some_and(|id| is_answer_to(&facts, id, true));
        if is_answer && is_own(&facts) {
            record_notice(self.state, self.target, &facts, NoticeSource::Tunnel);
        }
        ControlFlow::Continue(())
    }

    /// Checks the size of heads that came without the final one.
    fn check_heads(&self) -> ControlFlow<()> {
        if self.response_bytes.get() <= HEAD_BYTES_MAX {
            return ControlFlow::Continue(());
        }
        let fields = [
            ("target", self.target.name.to_string()),
            (
                "why",
                "no answer within the maximum size of heads".to_owned(),
            ),
        ];
        let report = &self.state.report;
        report.log(LogLevel::Warning, "tunnel_cut", fields);
        ControlFlow::Break(())
    }
}

/// The bytes of a head that is not complete yet.
#[derive(Debug, Default)]
struct HeadBuffer {
    bytes: Vec<u8>,
    is_finished: bool,
}

impl HeadBuffer {
    /// Appends a part, and removes and returns the first head if it is complete.
    fn push<T>(&mut self, part: &[u8], parse: impl FnOnce(&[u8]) -> RawHead<T>) -> Option<T> {
        if self.is_finished {
            return None;
        }
        self.bytes.extend_from_slice(part);
        // A head ends with a line. Parsing it after each byte would take quadratic time.
        let may_be_complete = part.is_empty() || part.contains(&b'\n');
        let parsed = match may_be_complete {
            true => parse(&self.bytes),
            false => RawHead::Incomplete,
        };
        match parsed {
            RawHead::Complete { head, length } => {
                self.bytes.drain(..length);
                Some(head)
            }
            RawHead::Incomplete if self.bytes.len() <= HEAD_BYTES_MAX => None,
            RawHead::Incomplete | RawHead::Invalid => {
                self.finish();
                None
            }
        }
    }

    /// Ignores all further parts.
    fn finish(&mut self) {
        self.is_finished = true;
        self.bytes = Vec::new();
    }
}
