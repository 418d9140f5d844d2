//! The `source_text` module provides the text of a file, with conversion of offsets to line
//! numbers.

use std::sync::Arc;

use toml::Spanned;
use toml::de::DeTable;

use super::FindingList;

/// The text of a file, with the file's name.
#[derive(Clone, Debug)]
pub struct SourceText {
    file: Arc<str>,
    text: Arc<str>,
}

impl SourceText {
    /// Creates a text that was read from `file`.
    pub fn new(file: impl AsRef<str>, text: impl AsRef<str>) -> Self {
        SourceText {
            file: Arc::from(file.as_ref()),
            text: Arc::from(text.as_ref()),
        }
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &Arc<str> {
        &self.file
    }

    /// Returns the line number of a byte offset, starting at 1.
    pub fn line_of(&self, offset: usize) -> usize {
        let end = offset.min(self.text.len());
        let before = &self.text.as_bytes()[..end];
        1 + before.iter().filter(|byte| **byte == b'\n').count()
    }

    /// Parses the text as TOML. Syntax errors become findings and the parser recovers, so that
    /// errors after the first one are reported too.
    pub fn read_table(&self, findings: &mut FindingList) -> Spanned<DeTable<'_>> {
        let (table, errors) = DeTable::parse_recoverable(&self.text);
        for error in errors {
            let offset = error.span().map_or(0, |span| span.start);
            let message = error.message().replace('\n', ", ");
            findings.add(self, offset, format!("not valid TOML: {message}"));
        }
        table
    }
}
