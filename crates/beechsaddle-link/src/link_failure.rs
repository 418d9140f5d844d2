//! The `link_failure` module provides what went wrong on a link.

use std::fmt;

/// What went wrong, by what it says of the request.
#[derive(Debug)]
pub enum LinkFailure {
    /// No connection was made; nothing was sent.
    Connect(std::io::Error),
    /// No connection was made in time; nothing was sent.
    ConnectTimeout,
    /// The connection was lost before anything of the request was written.
    NotSent(hyper::Error),
    /// The connection was lost after the request may have been written. It may run.
    Unanswered(hyper::Error),
}

impl LinkFailure {
    /// Whether the server certainly got nothing of the request.
    pub fn is_unsent(&self) -> bool {
        match self {
            LinkFailure::Connect(_) | LinkFailure::ConnectTimeout | LinkFailure::NotSent(_) => true,
            LinkFailure::Unanswered(_) => false,
        }
    }

    /// A word for logs and counters.
    pub fn as_str(&self) -> &'static str {
        match self {
            LinkFailure::Connect(_) => "connect_failed",
            LinkFailure::ConnectTimeout => "connect_timeout",
            LinkFailure::NotSent(_) => "closed_before_send",
            LinkFailure::Unanswered(_) => "unanswered",
        }
    }
}

impl fmt::Display for LinkFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkFailure::Connect(error) => write!(formatter, "connect failed: {error}"),
            LinkFailure::ConnectTimeout => formatter.write_str("connect timed out"),
            LinkFailure::NotSent(error) => write!(formatter, "closed before the request: {error}"),
            LinkFailure::Unanswered(error) => write!(formatter, "no whole answer: {error}"),
        }
    }
}

impl std::error::Error for LinkFailure {}
