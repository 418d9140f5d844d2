//! The `answers` module provides the plain answers of stand-ins.

use std::io;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::Serialize;

use super::stand_in_server::{AnswerBody, StandInAnswer, whole_body};

/// An answer with a status and no body.
pub fn status(code: StatusCode) -> StandInAnswer {
    bytes(code, Bytes::new())
}

/// An answer with a status and a body.
pub fn bytes(code: StatusCode, body: impl Into<Bytes>) -> StandInAnswer {
    StandInAnswer::Reply(response(code, whole_body(body)))
}

/// An answer with a status and a JSON body.
pub fn json(code: StatusCode, value: &impl Serialize) -> StandInAnswer {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = response(code, whole_body(body));
            set_header(&mut response, "content-type", "application/json");
            StandInAnswer::Reply(response)
        }
        Err(error) => bytes(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// An answer that asks to come back later.
pub fn retry_after(code: StatusCode, retry_after_ms: u64) -> StandInAnswer {
    let mut response = response(code, whole_body(Bytes::new()));
    set_header(&mut response, "retry-after-ms", &retry_after_ms.to_string());
    StandInAnswer::Reply(response)
}

/// An answer that is not what any protocol says.
pub fn garbage() -> StandInAnswer {
    bytes(StatusCode::OK, "\u{1}garbage\n")
}

/// An answer that breaks off after some parts.
pub fn broken(parts: Vec<Bytes>) -> StandInAnswer {
    let parts = parts.into_iter().map(|part| Ok(Frame::data(part)));
    let broken_off = Err(io::Error::other("broken off on purpose"));
    let frames = futures::stream::iter(parts.chain([broken_off]));
    let body = StreamBody::new(frames).boxed_unsync();
    StandInAnswer::Reply(response(StatusCode::OK, body))
}

/// The answer with the id of the attempt that it is for.
pub fn with_attempt(answer: StandInAnswer, attempt: &str) -> StandInAnswer {
    match answer {
        StandInAnswer::Reply(mut response) => {
            set_header(&mut response, "beechsaddle-attempt", attempt);
            StandInAnswer::Reply(response)
        }
        StandInAnswer::Close => StandInAnswer::Close,
    }
}

/// Makes a response.
pub fn response(code: StatusCode, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = code;
    response
}

/// Sets a header unless its value has bytes that no header can have.
pub fn set_header(response: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
