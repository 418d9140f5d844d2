//! The `resume_rule` module provides the rule for where a caller's stream is resumed.

use super::{RouteRule, StreamOrigin};
use crate::names::{ServiceName, SoftwareVersion};

/// The stream that a caller resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResumedStream {
    /// The caller names it, and it began here.
    Known(StreamOrigin),
    /// The caller names it, and no reachable router knows where it began.
    Unknown,
    /// The caller does not name it.
    Unnamed,
}

/// Why a stream is not resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeRefusal {
    /// Where it began is not known.
    UnknownOrigin,
    /// It began at a service that the route does not have any more.
    ServiceRemoved,
}

/// Returns the service and software version at which a caller's stream is resumed.
///
/// A stream whose origin is unknown is refused, even if all listed targets are of one version: the
/// list may be old, and the version that began the stream may just have left it. An unnamed stream
/// cannot be looked up, by this router or later; it is resumed while `service`, to which the route
/// sends it, has had one version only as of now, which is `sole_version`.
///
/// # Errors
///
/// A [`ResumeRefusal`] if no target is known to fit.
pub fn resume_at(
    route: &RouteRule,
    service: &ServiceName,
    stream: ResumedStream,
    sole_version: Option<SoftwareVersion>,
) -> Result<StreamOrigin, ResumeRefusal> {
    match stream {
        ResumedStream::Known(origin) if route.has_service(&origin.service) => Ok(origin),
        ResumedStream::Known(_) => Err(ResumeRefusal::ServiceRemoved),
        ResumedStream::Unknown => Err(ResumeRefusal::UnknownOrigin),
        ResumedStream::Unnamed => {
            let version = sole_version.ok_or(ResumeRefusal::UnknownOrigin)?;
            Ok(StreamOrigin {
                service: service.clone(),
                version,
            })
        }
    }
}
