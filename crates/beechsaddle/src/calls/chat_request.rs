//! The `chat_request` module provides chat requests, parsed from callers and written to engines.

use beechsaddle_core::hash::{PREFIX_BLOCK_BYTES, prefix_chain};
use beechsaddle_core::prelude::*;
use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::call_fault::CallFault;
use super::chat_message::ChatPrompt;
use super::json_members::{JsonMembers, JsonText};

/// Upper bound of the tokens that a chat template adds to the whole prompt.
const PROMPT_TEMPLATE_TOKENS: u64 = 64;
/// Customary estimate of prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Maximum number of prefix blocks hashed: affinity gains nothing beyond 64 KiB of prompt.
const MAX_PREFIX_BLOCKS: usize = 256;
/// Maximum length of a model name in bytes.
const MAX_MODEL_BYTES: usize = 256;
/// Capacity in bytes for the members that the router adds.
const ADDED_MEMBER_BYTES: usize = 96;

/// Members that would make an engine use more tokens than the reserved bound, or return more than
/// one answer; only their neutral value is accepted.
const UNBOUNDED_MEMBERS: [(&str, &str); 8] = [
    ("audio", "null"),
    ("best_of", "1"),
    ("chat_template", "null"),
    ("chat_template_kwargs", "null"),
    ("n", "1"),
    ("prediction", "null"),
    ("prompt_embeds", "null"),
    ("use_beam_search", "false"),
];

/// A validated chat request.
#[derive(Debug)]
pub(crate) struct ChatRequest {
    pub(crate) model: ModelName,
    /// Whether the answer is to be streamed.
    pub(crate) stream: bool,
    /// Whether the caller requested the usage at the end of a stream.
    pub(crate) include_usage: bool,
    /// Maximum number of tokens to generate, if the caller set one.
    pub(crate) output_bound: Option<u64>,
    /// Upper bound of the prompt's tokens.
    pub(crate) input_bound: u64,
    /// Estimate of the prompt's tokens, for answers truncated before the engine reports the
    /// usage.
    pub(crate) input_estimate: u64,
    /// Hashes of the prompt's leading blocks.
    pub(crate) prefix: Vec<u64>,
    /// The body without the members that the router sets, and without its closing brace.
    forwarded_members: Bytes,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<bool>,
}

#[derive(Default)]
struct ChatMembers<'a> {
    model: Option<&'a RawValue>,
    messages: Option<&'a RawValue>,
    stream: Option<&'a RawValue>,
    stream_options: Option<&'a RawValue>,
    max_tokens: Option<&'a RawValue>,
    max_completion_tokens: Option<&'a RawValue>,
    other_bytes: u64,
}

impl ChatRequest {
    /// Parses the body of a chat request.
    ///
    /// # Errors
    ///
    /// `bad_request` with a message that tells what is expected.
    pub(crate) fn try_read(body: &[u8]) -> Result<Self, CallFault> {
        let text = std::str::from_utf8(body).map_err(|error| {
            let offset = error.valid_up_to();
            CallFault::bad_request(format!("the body is not UTF-8 at byte {offset}"))
        })?;
        let members: JsonMembers<'_> = serde_json::from_str(text).map_err(|error| {
            CallFault::bad_request(format!("the body must be a JSON object: {error}"))
        })?;
        if let Some(name) = members.duplicate() {
            return Err(CallFault::bad_request(format!("{name} comes twice")));
        }
        let known = sort_members(&members)?;
        let prompt = match known.messages {
            Some(messages) => ChatPrompt::try_read(messages)?,
            None => return Err(CallFault::bad_request("messages is missing")),
        };
        let options: Option<StreamOptions> = read_value(known.stream_options, "stream_options")?;
        let prefix_end = prompt
            .text
            .len()
            .min(MAX_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES);
        Ok(ChatRequest {
            model: read_model(known.model)?,
            stream: read_value(known.stream, "stream")?.unwrap_or(false),
            include_usage: options
                .and_then(|options| options.include_usage)
                .unwrap_or(false),
            output_bound: read_output_bound(&known)?,
            input_estimate: (prompt.text.len() as u64).div_ceil(BYTES_PER_TOKEN),
            input_bound: prompt.token_bound + PROMPT_TEMPLATE_TOKENS + known.other_bytes,
            prefix: prefix_chain(&prompt.text.as_bytes()[..prefix_end]),
            forwarded_members: copy_forwarded_members(&members, text.len()),
        })
    }

    /// Writes the body for an engine: `max_tokens` is the reserved bound, and a stream ends with
    /// its usage, which is billed.
    pub(crate) fn write_body(&self, output_limit: Option<u64>) -> Bytes {
        let mut body = BytesMut::with_capacity(self.forwarded_members.len() + ADDED_MEMBER_BYTES);
        body.put_slice(&self.forwarded_members);
        if let Some(limit) = output_limit.or(self.output_bound) {
            body.put_slice(format!(",\"max_tokens\":{limit}").as_bytes());
        }
        if self.stream {
            body.put_slice(b",\"stream_options\":{\"include_usage\":true}");
        }
        body.put_u8(b'}');
        body.freeze()
    }
}

fn sort_members<'a>(members: &JsonMembers<'a>) -> Result<ChatMembers<'a>, CallFault> {
    let mut known = ChatMembers::default();
    for (name, value) in &members.0 {
        match name.as_ref() {
            "model" => known.model = Some(value),
            "messages" => known.messages = Some(value),
            "stream" => known.stream = Some(value),
            "stream_options" => known.stream_options = Some(value),
            "max_tokens" => known.max_tokens = Some(value),
            "max_completion_tokens" => known.max_completion_tokens = Some(value),
            other => {
                check_bounded(other, value)?;
                known.other_bytes += prompt_bytes(value);
            }
        }
    }
    Ok(known)
}

/// Tools, schemas and strings become part of the prompt; numbers and booleans do not.
fn prompt_bytes(value: &RawValue) -> u64 {
    match value.get().as_bytes().first() {
        Some(b'{' | b'[' | b'"') => value.get().len() as u64,
        _ => 0,
    }
}

fn check_bounded(name: &str, value: &RawValue) -> Result<(), CallFault> {
    let text = value.get();
    match UNBOUNDED_MEMBERS.iter().find(|(known, _)| *known == name) {
        Some((_, neutral)) if text != *neutral && text != "null" => Err(CallFault::bad_request(
            format!("{name} is not served, except as {neutral}"),
        )),
        _ => Ok(()),
    }
}

fn read_value<T: DeserializeOwned>(
    value: Option<&RawValue>,
    name: &str,
) -> Result<Option<T>, CallFault> {
    match value {
        None => Ok(None),
        Some(value) => serde_json::from_str(value.get())
            .map_err(|error| CallFault::bad_request(format!("{name}: {error}"))),
    }
}

fn read_model(value: Option<&RawValue>) -> Result<ModelName, CallFault> {
    let value = value.ok_or_else(|| CallFault::bad_request("model is missing"))?;
    let name: JsonText<'_> = serde_json::from_str(value.get())
        .map_err(|_| CallFault::bad_request("model must be text"))?;
    if name.0.is_empty() || name.0.len() > MAX_MODEL_BYTES {
        let message = format!("model must have 1 to {MAX_MODEL_BYTES} bytes");
        return Err(CallFault::bad_request(message));
    }
    Ok(ModelName::new(&name.0))
}

fn read_output_bound(known: &ChatMembers<'_>) -> Result<Option<u64>, CallFault> {
    let older: Option<u64> = read_value(known.max_tokens, "max_tokens")?;
    let newer: Option<u64> = read_value(known.max_completion_tokens, "max_completion_tokens")?;
    let bound = match (older, newer) {
        (Some(older), Some(newer)) if older != newer => {
            let message = "max_tokens and max_completion_tokens differ";
            return Err(CallFault::bad_request(message));
        }
        (older, newer) => newer.or(older),
    };
    if bound == Some(0) {
        return Err(CallFault::bad_request("max_tokens must be at least 1"));
    }
    Ok(bound)
}

fn copy_forwarded_members(members: &JsonMembers<'_>, length: usize) -> Bytes {
    let mut forwarded_members = BytesMut::with_capacity(length);
    let mut separator = b'{';
    for (name, value) in &members.0 {
        let is_set_by_router = matches!(
            name.as_ref(),
            "max_tokens" | "max_completion_tokens" | "stream_options"
        );
        if is_set_by_router {
            continue;
        }
        forwarded_members.put_u8(separator);
        separator = b',';
        // Encoding a string as JSON cannot fail; a name that could not be encoded would be left
        // out.
        forwarded_members.put_slice(&serde_json::to_vec(name.as_ref()).unwrap_or_default());
        forwarded_members.put_u8(b':');
        forwarded_members.put_slice(value.get().as_bytes());
    }
    forwarded_members.freeze()
}
