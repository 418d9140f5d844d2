//! The `link_failure` module provides the failures of links.

use std::fmt;
use std::io::ErrorKind;

/// Why a connection or request failed, by what it implies for the request.
#[derive(Debug)]
pub enum LinkFailure {
    /// Connecting failed; nothing was sent.
    Connect(std::io::Error),
    /// Connecting timed out; nothing was sent.
    ConnectTimeout,
    /// The connection was lost before any byte of the request was written.
    NotSent(hyper::Error),
    /// The connection was lost after the request may have been written. The server may run it.
    Unanswered(hyper::Error),
    /// The server sent more than the head of a response may take. It may run the request.
    HeadTooLarge(hyper::Error),
}

impl LinkFailure {
    /// Whether the server cannot have received any byte of the request.
    pub fn is_unsent(&self) -> bool {
        match self {
            LinkFailure::Connect(_) | LinkFailure::ConnectTimeout | LinkFailure::NotSent(_) => true,
            LinkFailure::Unanswered(_) | LinkFailure::HeadTooLarge(_) => false,
        }
    }

    /// Whether the host refused the connection, as no process listens at the address.
    pub fn is_refused(&self) -> bool {
        match self {
            LinkFailure::Connect(error) => error.kind() == ErrorKind::ConnectionRefused,
            LinkFailure::ConnectTimeout
            | LinkFailure::NotSent(_)
            | LinkFailure::Unanswered(_)
            | LinkFailure::HeadTooLarge(_) => false,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            LinkFailure::Connect(_) => "connect_failed",
            LinkFailure::ConnectTimeout => "connect_timeout",
            LinkFailure::NotSent(_) => "closed_before_send",
            LinkFailure::Unanswered(_) => "unanswered",
            LinkFailure::HeadTooLarge(_) => "head_too_large",
        }
    }
}

impl fmt::Display for LinkFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkFailure::Connect(error) => write!(formatter, "connect failed: {error}"),
            LinkFailure::ConnectTimeout => formatter.write_str("connect timed out"),
            LinkFailure::NotSent(error) => write!(
                formatter,
                "connection closed before the request was sent: {error}"
            ),
            LinkFailure::Unanswered(error) => write!(formatter, "no complete response: {error}"),
            LinkFailure::HeadTooLarge(error) => {
                write!(formatter, "response head without end: {error}")
            }
        }
    }
}

impl std::error::Error for LinkFailure {}
