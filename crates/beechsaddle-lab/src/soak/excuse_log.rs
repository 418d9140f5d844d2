//! The `excuse_log` module provides the record of the faults that excuse a router from a promise.

use std::net::SocketAddr;
use std::time::Instant;

/// What a fault hits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExcuseSubject {
    /// The process of a router, by its call address.
    Router(SocketAddr),
    /// The connections to a target, by its name.
    Path(String),
}

#[derive(Clone, Debug)]
struct ExcuseSpan {
    subject: ExcuseSubject,
    from: Instant,
    until: Option<Instant>,
}

/// The faults of a soak that excuse routers, with their times.
#[derive(Clone, Debug, Default)]
pub struct ExcuseLog {
    spans: Vec<ExcuseSpan>,
}

impl ExcuseLog {
    /// Records the start of a fault.
    pub fn open(&mut self, subject: ExcuseSubject) {
        self.spans.push(ExcuseSpan {
            subject,
            from: Instant::now(),
            until: None,
        });
    }

    /// Records the end of the oldest fault of a subject.
    pub fn close(&mut self, subject: &ExcuseSubject) {
        let mut spans = self.spans.iter_mut();
        let open = spans.find(|span| span.subject == *subject && span.until.is_none());
        if let Some(span) = open {
            span.until = Some(Instant::now());
        }
    }

    /// Whether any fault hit a subject between two times.
    pub fn covers(&self, subject: &ExcuseSubject, from: Instant, until: Instant) -> bool {
        let mut own = self.spans.iter().filter(|span| span.subject == *subject);
        own.any(|span| span.from <= until && span.until.is_none_or(|ended| ended >= from))
    }
}
