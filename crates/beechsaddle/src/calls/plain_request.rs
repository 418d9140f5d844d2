//! The `plain_request` module provides calls to plain services.

use beechsaddle_core::prelude::*;
use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Uri};

use super::call_fault::CallFault;
use super::header_filter::request_headers;

/// Path prefix of plain services.
pub(crate) const SERVICE_PREFIX: &str = "/svc/";

/// A call to a plain service, as sent to the target.
#[derive(Clone, Debug)]
pub(crate) struct PlainRequest {
    pub(crate) method: Method,
    /// Path after the service's name, with the query.
    pub(crate) path: PathAndQuery,
    /// The caller's end-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl PlainRequest {
    /// Builds the request without its body.
    pub(crate) fn new(method: Method, path: PathAndQuery, headers: &HeaderMap) -> Self {
        PlainRequest {
            method,
            path,
            headers: request_headers(headers),
            body: Bytes::new(),
        }
    }
}

/// Splits `/svc/<service>/<path>` into the service and the path for the target.
///
/// # Errors
///
/// `bad_request` for an empty service, and for `.` and `..` segments: a target might resolve them
/// to a path that its operators do not offer.
pub(crate) fn read_service_path(uri: &Uri) -> Result<(ServiceName, PathAndQuery), CallFault> {
    let remainder = uri.path().strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (service, path) = match remainder.find('/') {
        Some(offset) => remainder.split_at(offset),
        None => (remainder, "/"),
    };
    if service.is_empty() {
        return Err(CallFault::bad_request(
            "the path must be /svc/<service>/<path>",
        ));
    }
    if path.split('/').any(is_dot_segment) || is_dot_segment(service) {
        return Err(CallFault::bad_request("the path must not contain . or .."));
    }
    let target = match uri.query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    let target = PathAndQuery::try_from(target)
        .map_err(|error| CallFault::bad_request(format!("the path cannot be read: {error}")))?;
    Ok((ServiceName::new(service), target))
}

fn is_dot_segment(segment: &str) -> bool {
    if segment.len() > "%2e%2e".len() {
        return false;
    }
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}
