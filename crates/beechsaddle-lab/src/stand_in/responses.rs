//! The `responses` module provides builders of the HTTP responses that stand-ins share.

use std::io;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::Serialize;

use super::stand_in_server::{ResponseBody, StandInResponse, full_body};

/// Returns a response with a status and no body.
pub fn status(code: StatusCode) -> StandInResponse {
    bytes(code, Bytes::new())
}

/// Returns a response with a status and a body.
pub fn bytes(code: StatusCode, body: impl Into<Bytes>) -> StandInResponse {
    StandInResponse::Reply(response(code, full_body(body)))
}

/// Returns a response with a status and a JSON body.
pub fn json(code: StatusCode, value: &impl Serialize) -> StandInResponse {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = response(code, full_body(body));
            set_header(&mut response, "content-type", "application/json");
            StandInResponse::Reply(response)
        }
        Err(error) => bytes(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Returns a response with a `Retry-After-Ms` header.
pub fn retry_after(code: StatusCode, retry_after_ms: u64) -> StandInResponse {
    let mut response = response(code, full_body(Bytes::new()));
    set_header(&mut response, "retry-after-ms", &retry_after_ms.to_string());
    StandInResponse::Reply(response)
}

/// Returns a successful response whose body no protocol allows.
pub fn malformed() -> StandInResponse {
    bytes(StatusCode::OK, "\u{1}garbage\n")
}

/// Returns a response whose connection is aborted after some body parts.
pub fn truncated(parts: Vec<Bytes>) -> StandInResponse {
    let parts = parts.into_iter().map(|part| Ok(Frame::data(part)));
    let aborted = Err(io::Error::other("response aborted by an injected fault"));
    let frames = futures::stream::iter(parts.chain([aborted]));
    let body = StreamBody::new(frames).boxed_unsync();
    StandInResponse::Reply(response(StatusCode::OK, body))
}

/// Returns the response with the id of the attempt that it belongs to.
pub fn with_attempt(original: StandInResponse, attempt: &str) -> StandInResponse {
    match original {
        StandInResponse::Reply(mut response) => {
            set_header(&mut response, "beechsaddle-attempt", attempt);
            StandInResponse::Reply(response)
        }
        StandInResponse::Close => StandInResponse::Close,
    }
}

pub fn response(code: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = code;
    response
}

/// Sets a header, or leaves it out if its value has bytes that are invalid in headers.
pub fn set_header(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}
