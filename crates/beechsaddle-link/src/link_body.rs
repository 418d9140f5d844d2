//! The `link_body` module provides the body of a response, whose end completes the answer.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::answer_state::AnswerReader;

/// The body of a response. A connection whose body is dropped before its end is reset as it closes.
#[derive(Debug)]
pub struct LinkBody {
    body: Incoming,
    reader: AnswerReader,
}

impl LinkBody {
    pub(crate) fn new(body: Incoming, reader: AnswerReader) -> Self {
        let mut body = LinkBody { body, reader };
        body.check_end();
        body
    }

    fn check_end(&mut self) {
        if self.body.is_end_stream() {
            self.reader.finish();
        }
    }
}

impl Body for LinkBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        match frame {
            None => self.reader.finish(),
            Some(Ok(_)) => self.check_end(),
            Some(Err(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
