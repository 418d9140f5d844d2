//! The `settings_file` module provides the reading of settings files, common to all kinds of
//! routers.

use std::path::Path;

use super::SettingsFindings;
use crate::findings::{FindingList, SourceText, TableReader};

/// Reads settings from a file, or returns all of its findings.
pub(crate) fn load_settings<T>(
    path: impl AsRef<Path>,
    read: impl FnOnce(&TableReader<'_>, &mut FindingList) -> Option<T>,
) -> Result<T, SettingsFindings> {
    let file = path.as_ref().display().to_string();
    match std::fs::read_to_string(&path) {
        Ok(text) => parse_settings(file, text, read),
        Err(error) => {
            let mut findings = FindingList::new();
            findings.add_file(file, format!("cannot be read: {error}"));
            Err(findings)
        }
    }
}

/// Reads settings from a text, which findings call `file`.
pub(crate) fn parse_settings<T>(
    file: impl AsRef<str>,
    text: impl AsRef<str>,
    read: impl FnOnce(&TableReader<'_>, &mut FindingList) -> Option<T>,
) -> Result<T, SettingsFindings> {
    let source = SourceText::new(file, text);
    let mut findings = FindingList::new();
    let table = source.read_table(&mut findings);
    let reader = TableReader::new(&source, "", 0, table.get_ref());
    let settings = read(&reader, &mut findings);
    reader.finish(&mut findings);
    match settings {
        Some(settings) if findings.is_empty() => Ok(settings),
        Some(_) | None => Err(findings),
    }
}

/// Reads a required table.
pub(crate) fn require_table<'a>(
    reader: &TableReader<'a>,
    key: &str,
    findings: &mut FindingList,
) -> Option<TableReader<'a>> {
    if !reader.has(key) {
        let file = reader.source().file();
        findings.add_file(file, format!("the table `[{key}]` is missing"));
    }
    reader.read_table(key, findings)
}
