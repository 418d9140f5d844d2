//! The `text_form` module provides what names look like and what TOML calls its values.

use toml::de::DeValue;

/// The longest name; names stand in object keys and in metrics.
const NAME_BYTES: usize = 64;

/// What a name may be, for findings.
pub(crate) const NAME_FORM: &str = "at most 64 of `A-Z a-z 0-9 . _ -`";

/// Whether a text can be a name.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = !text.is_empty() && text.len() <= NAME_BYTES;
    fits && text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-'))
}

/// What TOML calls a value.
pub(super) fn type_name(value: &DeValue<'_>) -> &'static str {
    match value {
        DeValue::String(_) => "a string",
        DeValue::Integer(_) => "an integer",
        DeValue::Float(_) => "a float",
        DeValue::Boolean(_) => "a boolean",
        DeValue::Datetime(_) => "a date",
        DeValue::Array(_) => "an array",
        DeValue::Table(_) => "a table",
    }
}
