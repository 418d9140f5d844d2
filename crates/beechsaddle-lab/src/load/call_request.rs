//! The `call_request` module provides the HTTP request of a planned call.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::json;

use super::{CallKind, CallerSettings, PlannedCall};

/// Repetitions of the prefix sentence, so that a shared prefix covers several prefix cache blocks.
const PREFIX_REPEATS: usize = 24;

/// Builds the request of `call`. `keyed` adds the idempotency key also to calls that need none.
///
/// # Errors
///
/// Returns an error if a key or name is not valid in a header or path.
pub fn build_request(
    settings: &CallerSettings,
    call: &PlannedCall,
    keyed: bool,
) -> eyre::Result<Request<Full<Bytes>>> {
    let workspace = &settings.workspaces[call.workspace % settings.workspaces.len()];
    let mut request = Request::post(call_path(settings, call.kind))
        .header("host", "beechsaddle")
        .header("authorization", format!("Bearer {}", workspace.key))
        .header("beechsaddle-budget", &workspace.budget)
        .header("content-type", "application/json");
    // A service that declares its calls non-repeatable requires an idempotency key.
    if keyed || !call.kind.is_chat() {
        request = request.header("idempotency-key", &call.key);
    }
    if call.kind == CallKind::NotRepeatable {
        request = request.header("beechsaddle-repeatable", "no");
    }
    let body = call_body(settings, call, &workspace.name);
    Ok(request.body(Full::new(Bytes::from(body)))?)
}

fn call_path(settings: &CallerSettings, kind: CallKind) -> String {
    if kind.is_chat() {
        "/v1/chat/completions".to_owned()
    } else {
        format!("/svc/{}/confirm", settings.service)
    }
}

fn call_body(settings: &CallerSettings, call: &PlannedCall, workspace: &str) -> String {
    if !call.kind.is_chat() {
        return json!({"mark": call.key}).to_string();
    }
    let sentence = format!("Rules {} of {workspace}. ", call.prefix);
    let prefix = sentence.repeat(PREFIX_REPEATS);
    // The engine stand-in echoes the last word of the prompt, so the mark must come last.
    let mut body = json!({
        "model": settings.model,
        "max_tokens": call.max_tokens,
        "messages": [
            {"role": "system", "content": prefix},
            {"role": "user", "content": format!("request {}", call.key)},
        ],
    });
    if call.kind == CallKind::StreamedChat {
        body["stream"] = json!(true);
        body["stream_options"] = json!({"include_usage": true});
    }
    body.to_string()
}
