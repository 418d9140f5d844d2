//! The `attempt_failure` module provides the classification of client errors.

use std::error::Error as _;
use std::io;

use beechsaddle_core::call::AttemptFailure;
use volo_http::error::ClientError;
use volo_http::error::client::ErrorKind;

/// Classifies a client error by whether a byte of the request can have reached the target.
///
/// The library reports a failed connect with the same kind as a failed request; only the source
/// differs: a bare I/O error comes from connecting, an error of the HTTP connection from a request
/// on it. Among the errors of the HTTP connection, a cancelled request was still in the queue of
/// its connection. In all other cases the request may have run and must not be reported as "not
/// run".
pub(crate) fn read_client_error(error: &ClientError) -> AttemptFailure {
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder | ErrorKind::Context | ErrorKind::LoadBalance => {
            AttemptFailure::ConnectFailed
        }
        ErrorKind::Request => read_request_error(error),
        _ => AttemptFailure::ConnectionLost,
    }
}

fn read_request_error(error: &ClientError) -> AttemptFailure {
    let Some(source) = error.source() else {
        return AttemptFailure::ConnectionLost;
    };
    if source.is::<io::Error>() {
        return AttemptFailure::ConnectFailed;
    }
    match source.downcast_ref::<hyper::Error>() {
        Some(error) if error.is_canceled() => AttemptFailure::ConnectFailed,
        Some(error) if error.is_parse() => AttemptFailure::BadAnswer,
        _ => AttemptFailure::ConnectionLost,
    }
}
