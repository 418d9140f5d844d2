//! The `resume_check` module provides where a call that resumes a stream may run.

use std::rc::Rc;

use beechsaddle_core::gateway::{ResumeRefusal, ResumedStream, RouteRule, StreamOrigin, resume_at};
use beechsaddle_core::prelude::*;
use beechsaddle_platform::CallHead;

use super::origin_exchange::search_origin;
use crate::gateway::call_record::CallRecord;
use crate::gateway::changes::refresh_targets;
use crate::gateway::gateway_metrics::OutcomeLabel;
use crate::gateway::gateway_state::GatewayState;
use crate::gateway::refusal::RefusalCause;

/// Returns the service and software version at which a call has to run because it resumes a stream;
/// `None` if it resumes none. `service` is the one to which the route sends the call otherwise.
///
/// # Errors
///
/// The cause of refusing the call.
pub(in crate::gateway) async fn check_resume(
    state: &Rc<GatewayState>,
    record: &CallRecord,
    route: &RouteRule,
    head: &CallHead,
    service: &ServiceName,
) -> Result<Option<StreamOrigin>, RefusalCause> {
    let is_resumed = head.last_event.is_some() || head.resumes.is_some();
    if !is_resumed || !route.kind.is_stream() {
        return Ok(None);
    }
    let (stream, sole_version) = match &head.resumes {
        Some(id) => (find_stream(state, record, StreamId::new(id)).await, None),
        None => {
            let version = confirm_sole_version(state, record, route, service).await;
            (ResumedStream::Unnamed, version)
        }
    };
    match resume_at(route, service, stream, sole_version) {
        Ok(origin) => Ok(Some(origin)),
        Err(ResumeRefusal::UnknownOrigin) => Err(RefusalCause::StreamUnknown),
        Err(ResumeRefusal::ServiceRemoved) => Err(RefusalCause::VersionGone),
    }
}

/// Returns the software version of a service's targets if they are of one version as of now.
///
/// A router that has been cut off or has stood still lists the targets of an earlier time, and sees one
/// version where two serve.
async fn confirm_sole_version(
    state: &GatewayState,
    record: &CallRecord,
    route: &RouteRule,
    service: &ServiceName,
) -> Option<SoftwareVersion> {
    let known = sole_version(state, route, service)?;
    if !refresh_targets(state).await {
        let fields = [("known", known.to_string())];
        record.log_decision("version_unconfirmed", fields);
        return None;
    }
    sole_version(state, route, service)
}

fn sole_version(
    state: &GatewayState,
    route: &RouteRule,
    service: &ServiceName,
) -> Option<SoftwareVersion> {
    let roster = state.roster.borrow();
    roster.sole_version(state.now(), service, route.timeout_ms)
}

/// Looks up where a stream began, here and then at other routers.
async fn find_stream(
    state: &Rc<GatewayState>,
    record: &CallRecord,
    stream: StreamId,
) -> ResumedStream {
    if let Some(origin) = state.origins.find(state.now(), &stream) {
        count(state, "own");
        return ResumedStream::Known(origin);
    }
    let search = search_origin(state, &stream).await;
    let what = match (&search.origin, search.answered < search.asked) {
        (Some(_), _) => "peer",
        (None, false) => "unknown",
        (None, true) => "unanswered",
    };
    count(state, what);
    let fields = [
        ("resumes", stream.to_string()),
        ("outcome", what.to_owned()),
        ("asked", search.asked.to_string()),
        ("answered", search.answered.to_string()),
    ];
    record.log_decision("origin_sought", fields);
    let Some(origin) = search.origin else {
        return ResumedStream::Unknown;
    };
    state.origins.record(state.now(), stream, origin.clone());
    ResumedStream::Known(origin)
}

fn count(state: &GatewayState, what: &'static str) {
    let sought = &state.metrics.origins_sought;
    sought.get_or_create(&OutcomeLabel { what }).inc();
}
