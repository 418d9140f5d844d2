//! The `chat_message` module provides the messages of a chat request as prompt text.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::call_fault::CallFault;
use super::json_members::{JsonMembers, JsonText};

/// Upper bound of the tokens that common chat templates add to each message.
pub(crate) const MESSAGE_TEMPLATE_TOKENS: u64 = 16;

/// The prompt of a chat request.
#[derive(Debug, Default)]
pub(crate) struct ChatPrompt {
    /// `role\ncontent\n` of all messages.
    pub(crate) text: String,
    /// Upper bound of its tokens, including members of the messages other than role and content.
    pub(crate) token_bound: u64,
}

#[derive(Deserialize)]
struct ContentPart<'a> {
    #[serde(rename = "type", borrow)]
    kind: JsonText<'a>,
    #[serde(borrow)]
    text: Option<JsonText<'a>>,
}

impl ChatPrompt {
    /// Reads the `messages` of a chat request.
    ///
    /// # Errors
    ///
    /// `bad_request` unless it is a list of messages with text content.
    pub(crate) fn try_read(messages: &RawValue) -> Result<Self, CallFault> {
        let messages: Vec<&RawValue> = serde_json::from_str(messages.get())
            .map_err(|error| CallFault::bad_request(format!("messages must be a list: {error}")))?;
        if messages.is_empty() {
            return Err(CallFault::bad_request("messages must not be empty"));
        }
        let mut prompt = ChatPrompt::default();
        for (index, message) in messages.iter().enumerate() {
            prompt
                .read_message(message)
                .map_err(|text| CallFault::bad_request(format!("messages[{index}]: {text}")))?;
        }
        prompt.token_bound += prompt.text.len() as u64;
        Ok(prompt)
    }

    fn read_message(&mut self, message: &RawValue) -> Result<(), String> {
        let message: JsonMembers<'_> =
            serde_json::from_str(message.get()).map_err(|error| error.to_string())?;
        if let Some(name) = message.duplicate() {
            return Err(format!("{name} comes twice"));
        }
        let mut role = None;
        let mut content = None;
        self.token_bound += MESSAGE_TEMPLATE_TOKENS;
        for (name, value) in &message.0 {
            match name.as_ref() {
                "role" => role = Some(*value),
                "content" => content = Some(*value),
                _ => self.token_bound += value.get().len() as u64,
            }
        }
        let role = role.ok_or("role is missing")?;
        let role: JsonText<'_> =
            serde_json::from_str(role.get()).map_err(|_| "role must be text")?;
        self.text.push_str(&role.0);
        self.text.push('\n');
        if let Some(content) = content {
            self.read_content(content)?;
        }
        self.text.push('\n');
        Ok(())
    }

    fn read_content(&mut self, content: &RawValue) -> Result<(), String> {
        let source = content.get();
        match source.as_bytes().first() {
            Some(b'"') => {
                let text: JsonText<'_> =
                    serde_json::from_str(source).map_err(|error| error.to_string())?;
                self.text.push_str(&text.0);
                Ok(())
            }
            Some(b'[') => self.read_parts(source),
            Some(b'n') => Ok(()),
            _ => Err("content must be text, a list of text parts or null".to_owned()),
        }
    }

    fn read_parts(&mut self, source: &str) -> Result<(), String> {
        let parts: Vec<ContentPart<'_>> =
            serde_json::from_str(source).map_err(|error| format!("content: {error}"))?;
        for part in parts {
            // The token cost of images and audio is unrelated to their size in bytes, so no upper
            // bound could be reserved for them.
            match (part.kind.0.as_ref(), part.text) {
                ("text", Some(text)) => self.text.push_str(&text.0),
                (kind, _) => return Err(format!("content parts of type {kind} are not served")),
            }
        }
        Ok(())
    }
}
