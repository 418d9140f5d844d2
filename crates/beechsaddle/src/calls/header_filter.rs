//! The `header_filter` module provides which headers pass between callers and targets.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName};

/// Names the call on every answer.
pub(crate) const CALL_HEADER: HeaderName = HeaderName::from_static("beechsaddle-call");
/// Names the attempt towards targets, and on their answers where they echo it.
pub(crate) const ATTEMPT_HEADER: HeaderName = HeaderName::from_static("beechsaddle-attempt");
/// Milliseconds that the target has left.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("beechsaddle-deadline-ms");
/// The caller's idempotency key.
pub(crate) const IDEMPOTENCY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
/// The budget that a call draws on.
pub(crate) const BUDGET_HEADER: HeaderName = HeaderName::from_static("beechsaddle-budget");
/// Whether a call may be repeated.
pub(crate) const REPEATABLE_HEADER: HeaderName = HeaderName::from_static("beechsaddle-repeatable");
/// When the caller gives up.
pub(crate) const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("beechsaddle-timeout-ms");

/// All headers whose names start so are between callers, router and targets of this system.
const OWN_PREFIX: &str = "beechsaddle-";

/// Headers of one connection (RFC 9110, section 7.6.1), beside those that `Connection` names.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The caller's headers that a plain target gets.
///
/// The workspace key stays here: a target that got it could spend the workspace's budgets. Headers
/// of this system are set anew, so that a caller cannot forge an attempt.
pub(crate) fn request_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = end_to_end_headers(headers);
    for name in [AUTHORIZATION, HOST, EXPECT, CONTENT_LENGTH] {
        kept.remove(name);
    }
    kept
}

/// The target's headers that the caller gets.
pub(crate) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    end_to_end_headers(headers)
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let named = connection_names(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_hop = HOP_HEADERS.contains(name)
            || named.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection";
        if !is_hop && !name.as_str().starts_with(OWN_PREFIX) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
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
