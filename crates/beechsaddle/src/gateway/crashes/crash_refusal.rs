//! The `crash_refusal` module provides the refusal of requests that crash targets.

use http::Response;

use super::crash_manager::{CrashAdmission, admit_request};
use crate::gateway::answer_body::AnswerBody;
use crate::gateway::call_context::CallContext;
use crate::gateway::refusal::RefusalCause;

/// Refuses a request that crashes targets, before any tokens are reserved for it.
pub(in crate::gateway) async fn refuse_crashing(
    call: &CallContext,
) -> Option<Response<AnswerBody>> {
    match admit_request(&call.state, &call.suspects).await {
        CrashAdmission::Admitted { trials } => {
            *call.trials.borrow_mut() = trials;
            None
        }
        CrashAdmission::Refused {
            key,
            retry_ms,
            targets,
        } => {
            let fields = [
                ("fingerprint", key.to_string()),
                ("kind", key.kind().as_str().to_owned()),
                ("targets", targets),
                ("retry_ms", retry_ms.to_string()),
            ];
            call.record.log_decision("call_blocked", fields);
            let cause = RefusalCause::CrashesTargets;
            call.record.record_refusal(cause);
            Some(cause.response_after(retry_ms, "targets crash when they run this request"))
        }
    }
}
