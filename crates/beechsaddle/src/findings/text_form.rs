//! The `text_form` module provides the syntax of names and TOML's names of value types.

use toml::de::DeValue;

/// The longest name, in bytes. Names appear in object keys and in metrics.
const NAME_BYTES_MAX: usize = 64;

/// The syntax of names, for findings.
pub(crate) const NAME_FORM: &str = "at most 64 of `A-Z a-z 0-9 . _ -`";

/// Whether a text is a valid name.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = !text.is_empty() && text.len() <= NAME_BYTES_MAX;
    fits && text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'.' | b'_' | b'-'))
}

/// Returns TOML's name of a value's type.
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
