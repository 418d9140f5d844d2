//! The `call_fault` module provides requests that the edge refuses without the core.

use std::borrow::Cow;

use beechsaddle_core::prelude::*;

/// A refusal by the edge, with a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallFault {
    /// The refusal as it is counted and answered.
    pub(crate) refusal: CallRefusal,
    /// Message that tells the caller what is expected.
    pub(crate) message: Cow<'static, str>,
    /// Whether the connection has to close because the body was not read.
    pub(crate) closes: bool,
}

impl CallFault {
    /// Creates a refusal of a request that did not run and cannot succeed in this form.
    pub(crate) fn new(reason: RefusalReason, message: impl Into<Cow<'static, str>>) -> Self {
        CallFault {
            refusal: CallRefusal::not_run(reason, None),
            message: message.into(),
            closes: false,
        }
    }

    /// Creates a refusal of a malformed request.
    pub(crate) fn bad_request(message: impl Into<Cow<'static, str>>) -> Self {
        CallFault::new(RefusalReason::BadRequest, message)
    }

    /// Adds a `Retry-After` of `retry_after_ms` milliseconds.
    pub(crate) fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.refusal.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Closes the connection after the answer.
    pub(crate) fn closing(mut self) -> Self {
        self.closes = true;
        self
    }
}
