//! The `log_entry` module provides the parser of a router's log lines.

use std::collections::BTreeMap;

/// A parsed line of a router's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The time of the line, in Unix milliseconds of its router's clock.
    pub at_ms: u64,
    /// The router that wrote it, with its incarnation.
    pub router: String,
    pub event: String,
    /// The other fields.
    pub fields: BTreeMap<String, String>,
    /// The text of the line from its timestamp on.
    pub text: String,
}

impl LogEntry {
    /// Parses a line, and returns `None` if it is not from a router's log. A prefix added by a
    /// collector is skipped.
    pub fn read(line: &str) -> Option<Self> {
        let start = line.find("ts=")?;
        let text = line[start..].trim_end();
        let mut fields = read_fields(text);
        Some(LogEntry {
            at_ms: fields.remove("ts")?.parse().ok()?,
            router: fields.remove("router")?,
            event: fields.remove("event")?,
            fields,
            text: text.to_owned(),
        })
    }

    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    /// Returns the host of the router, without its incarnation.
    pub fn host(&self) -> &str {
        self.router.split('@').next().unwrap_or(&self.router)
    }
}

/// Parses `key=value` pairs. A quoted value may contain spaces, and quotes escaped by a backslash.
fn read_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let (value, end) = match after.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted),
            None => read_bare(after),
        };
        fields.insert(key.trim().to_owned(), value);
        rest = end;
    }
    fields
}

fn read_bare(text: &str) -> (String, &str) {
    let end = text.find(' ').unwrap_or(text.len());
    (text[..end].to_owned(), &text[end..])
}

fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((at, character)) = chars.next() {
        match character {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(chars.next().map(|(_, character)| character)),
            _ => value.push(character),
        }
    }
    (value, "")
}
