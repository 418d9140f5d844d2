//! The `tracked_body` module provides answer bodies that report to their connection when they were
//! sent.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;

use super::connection_tracker::ConnectionTracker;

/// Body of an answer; the HTTP connection drops it once all of it was read.
pub(crate) struct TrackedBody {
    body: Body,
    tracker: ConnectionTracker,
}

impl TrackedBody {
    pub(crate) fn new(body: Body, tracker: ConnectionTracker) -> Self {
        TrackedBody { body, tracker }
    }
}

impl http_body::Body for TrackedBody {
    type Data = Bytes;
    type Error = <Body as http_body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.tracker.end_request();
    }
}
