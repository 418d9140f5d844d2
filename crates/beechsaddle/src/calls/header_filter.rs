//! The `header_filter` module provides the headers that are forwarded between callers and targets.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Id of the call, on every answer.
pub(crate) const CALL_HEADER: HeaderName = HeaderName::from_static("beechsaddle-call");
/// Id of the attempt, on requests to targets and on answers of targets that echo it.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("beechsaddle-attempt");
/// Milliseconds left until the deadline, on requests to targets.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("beechsaddle-deadline-ms");
/// The caller's idempotency key.
pub(crate) const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The budget that a call draws on.
pub(crate) const BUDGET_HEADER: HeaderName = HeaderName::from_static("beechsaddle-budget");
/// Whether a call may be repeated.
pub(crate) const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("beechsaddle-repeatable");
/// The caller's timeout in milliseconds.
pub(crate) const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("beechsaddle-timeout-ms");

/// Prefix of all headers that this system defines between callers, router and targets.
const OWN_PREFIX: &str = "beechsaddle-";

/// Hop-by-hop headers (RFC 9110, section 7.6.1), besides those that `Connection` lists.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Headers of the caller that are forwarded to a plain target.
///
/// The workspace key is removed: a target that had it could spend the workspace's budgets. Headers
/// of this system are set by the router, so that a caller cannot forge an attempt.
pub(crate) fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = end_to_end_headers(headers);
    for name in [AUTHORIZATION, HOST, EXPECT, CONTENT_LENGTH] {
        forwarded.remove(name);
    }
    forwarded
}

/// Headers of the target that are forwarded to the caller.
pub(crate) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    end_to_end_headers(headers)
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_HEADERS.contains(name)
            || named.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection";
        if !is_hop && !name.as_str().starts_with(OWN_PREFIX) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

fn connection_names(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
