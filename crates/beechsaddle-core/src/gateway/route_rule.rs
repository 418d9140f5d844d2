//! The `route_rule` module provides one route: which requests it takes and how they are served.

use crate::hash::stable_hash;
use crate::names::{RouteName, ServiceName};

/// What may be done more than once for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request is idempotent and may run several times.
    Idempotent,
    /// The request runs at most once.
    NotRepeatable,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another target may go on after the last event that was delivered. A stream
        /// without this runs at most once.
        is_resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request that may have run can be sent to another target.
    pub fn may_repeat(self) -> bool {
        match self {
            RouteKind::Idempotent | RouteKind::Stream { is_resumable: true } => true,
            RouteKind::NotRepeatable
            | RouteKind::Stream {
                is_resumable: false,
            } => false,
        }
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, against the sum of the route's weights.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Its name, for logs.
    pub name: RouteName,
    /// The host of the requests that it takes, in lower case.
    pub host: String,
    /// What the path of these requests begins with.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The services that requests are split over; at least one.
    pub services: Vec<WeightedService>,
    /// The longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time in which an answer, or a stream's first event, is on time, in milliseconds.
    pub objective_ms: u64,
    /// The longest pause between two events of a stream that is on time, in milliseconds; `None`
    /// where any is.
    pub pause_ms: Option<u64>,
    /// The largest number of targets that one request is sent to.
    pub attempts_max: u32,
    /// The rank of its requests; 0 goes first.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl RouteRule {
    /// The service for a request. One request id always gives the same one, so that a repeated
    /// attempt does not jump between services.
    pub fn service_for(&self, request_id: &str) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|entry| entry.weight).sum();
        if total == 0 {
            return self.services.first().map(|entry| &entry.service);
        }
        let mut point = stable_hash(request_id) % total;
        for entry in &self.services {
            if point < entry.weight {
                return Some(&entry.service);
            }
            point -= entry.weight;
        }
        None
    }
}
