//! The `log_entry` module provides one line of a router's log, read back.

use std::collections::BTreeMap;

/// One line of a router's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// When it was written, in Unix milliseconds of its router's clock.
    pub at_ms: u64,
    /// The router that wrote it.
    pub router: String,
    /// What it tells of.
    pub event: String,
    /// Its other fields.
    pub fields: BTreeMap<String, String>,
    /// The line from its time on, as it was written.
    pub text: String,
}

impl LogEntry {
    /// Reads a line; `None` where it is not one of a router's log. Whatever a collector put in front of
    /// it is passed over.
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

    /// A field.
    pub fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    /// The host of the router, without its incarnation.
    pub fn host(&self) -> &str {
        self.router.split('@').next().unwrap_or(&self.router)
    }
}

/// Reads `key=value` pairs; a value in quotes may hold spaces, and quotes behind a backslash.
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
    let mut letters = text.char_indices();
    while let Some((at, letter)) = letters.next() {
        match letter {
            '"' => return (value, &text[at + 1..]),
            '\\' => value.extend(letters.next().map(|(_, letter)| letter)),
            _ => value.push(letter),
        }
    }
    (value, "")
}
