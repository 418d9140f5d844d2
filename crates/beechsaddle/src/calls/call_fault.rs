//! The `call_fault` module provides what the edge finds wrong with a request by itself.

use std::borrow::Cow;

use beechsaddle_core::prelude::*;

/// A request that the edge refuses by itself, with a sentence for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallFault {
    /// What is counted.
    pub(crate) refusal: CallRefusal,
    /// What would be right.
    pub(crate) message: Cow<'static, str>,
    /// Whether the rest of the connection cannot be used, since the body was not read.
    pub(crate) closes: bool,
}

impl CallFault {
    /// A request that did not run and never will in this form.
    pub(crate) fn new(reason: RefusalReason, message: impl Into<Cow<'static, str>>) -> Self {
        CallFault {
            refusal: CallRefusal::not_run(reason, None),
            message: message.into(),
            closes: false,
        }
    }

    /// A request that cannot be understood.
    pub(crate) fn bad_request(message: impl Into<Cow<'static, str>>) -> Self {
        CallFault::new(RefusalReason::BadRequest, message)
    }

    /// The same, but coming back after `retry_after_ms` milliseconds helps.
    pub(crate) fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.refusal.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// The same, and the connection closes after the answer.
    pub(crate) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }
}
