//! The `marked_body` module provides answers that tell their connection when they have gone out.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use volo_http::body::Body;

use super::connection_mark::ConnectionMark;

/// An answer's body; dropped by the HTTP connection when all of it was taken.
pub(crate) struct MarkedBody {
    body: Body,
    mark: ConnectionMark,
}

impl MarkedBody {
    /// Marks `body`.
    pub(crate) fn new(body: Body, mark: ConnectionMark) -> Self {
        MarkedBody { body, mark }
    }
}

impl http_body::Body for MarkedBody {
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

impl Drop for MarkedBody {
    fn drop(&mut self) {
        self.mark.end_request();
    }
}
