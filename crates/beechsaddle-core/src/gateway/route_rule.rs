//! The `route_rule` module provides the declaration of a route.

use crate::hash::stable_hash;
use crate::names::{RouteName, ServiceName};

/// The retry semantics of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// The request is idempotent and may run several times.
    Idempotent,
    /// The request runs at most once.
    NotRepeatable,
    /// The answer is a stream of numbered events.
    Stream {
        /// Whether another target may continue after the last delivered event. A stream without
        /// this runs at most once.
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
    pub service: ServiceName,
    /// Its share, relative to the sum of the route's weights.
    pub weight: u64,
}

/// The declaration of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Its name in logs.
    pub name: RouteName,
    /// The host name of matching requests, in lower case.
    pub host: String,
    /// The path prefix of matching requests.
    pub path_prefix: String,
    /// The retry semantics.
    pub kind: RouteKind,
    /// The services that requests are split over; at least one.
    pub services: Vec<WeightedService>,
    /// The longest time until the final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer, or the first event of a stream, counts as on time, in
    /// milliseconds.
    pub objective_ms: u64,
    /// The longest pause between two events of a stream that counts as on time, in milliseconds;
    /// `None` if any does.
    pub pause_ms: Option<u64>,
    /// The largest number of targets that one request is sent to.
    pub attempts_max: u32,
    /// The priority of its requests; 0 is served first.
    pub priority: u8,
    /// Whether requests need no key.
    pub is_open: bool,
}

impl RouteRule {
    /// Whether the route sends requests to a service.
    pub fn has_service(&self, service: &ServiceName) -> bool {
        let mut services = self.services.iter();
        services.any(|entry| entry.service == *service && entry.weight > 0)
    }

    /// Returns the service for a request. The same request id always gives the same service, so
    /// that retries do not switch between services.
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
