//! The `table_reader` module provides checked reading of one TOML table.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::text_form::{NAME_FORM, is_name, type_name};
use super::{FindingList, SourceText};

/// Reads the keys of one table and reports errors as findings.
///
/// The `read_` methods return `None` if the key is absent or invalid. The `require_` methods also
/// report an absent key. [`TableReader::finish`] reports the keys that were never read.
#[derive(Debug)]
pub struct TableReader<'a> {
    source: &'a SourceText,
    path: String,
    offset: usize,
    table: &'a DeTable<'a>,
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'a> TableReader<'a> {
    /// Creates a reader of `table`. Findings refer to it as `path`, empty for the whole file.
    pub fn new(
        source: &'a SourceText,
        path: impl Into<String>,
        offset: usize,
        table: &'a DeTable<'a>,
    ) -> Self {
        TableReader {
            source,
            path: path.into(),
            offset,
            table,
            read_keys: RefCell::new(BTreeSet::new()),
        }
    }

    /// Returns the file that contains the table.
    pub fn source(&self) -> &'a SourceText {
        self.source
    }

    /// Returns the byte offset of the table.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the byte offset of a key's value, or of the table if the key is absent.
    pub fn offset_of(&self, key: &str) -> usize {
        self.table
            .get(key)
            .map_or(self.offset, |value| value.span().start)
    }

    /// Adds a finding at a key.
    pub fn report(&self, key: &str, message: impl AsRef<str>, findings: &mut FindingList) {
        let message = format!("`{}` {}", self.name_of(key), message.as_ref());
        findings.add(self.source, self.offset_of(key), message);
    }

    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    pub fn read_text(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        match self.value(key)? {
            DeValue::String(text) => Some(text.to_string()),
            other => self.report_type_mismatch(key, other, "a string", findings),
        }
    }

    /// Reads a required string that must not be empty.
    pub fn require_text(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        self.require(key, "a string", findings)?;
        let text = self.read_text(key, findings)?;
        if text.is_empty() {
            self.report(key, "is empty; a text would be right", findings);
            return None;
        }
        Some(text)
    }

    /// Reads a required name: letters, digits, `.`, `_` and `-`, the characters that are allowed in
    /// keys of platform objects.
    pub fn require_name(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        let name = self.require_text(key, findings)?;
        self.check_name(key, name, findings)
    }

    /// Reads an optional name.
    pub fn read_name(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        let name = self.read_text(key, findings)?;
        self.check_name(key, name, findings)
    }

    fn check_name(&self, key: &str, name: String, findings: &mut FindingList) -> Option<String> {
        if is_name(&name) {
            return Some(name);
        }
        self.report(
            key,
            format!("is {name:?}; a name of {NAME_FORM} would be right"),
            findings,
        );
        None
    }

    /// Reads an integer in a range.
    pub fn read_u64(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        findings: &mut FindingList,
    ) -> Option<u64> {
        let (low, high) = (*range.start(), *range.end());
        let expected = match high {
            u64::MAX => format!("an integer of {low} or more"),
            high => format!("an integer from {low} to {high}"),
        };
        let value = match self.value(key)? {
            DeValue::Integer(value) => value,
            other => return self.report_type_mismatch(key, other, &expected, findings),
        };
        let digits = value.as_str().trim_start_matches('+');
        match u64::from_str_radix(digits, value.radix()) {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(_) | Err(_) => {
                self.report(
                    key,
                    format!("is {value}; {expected} would be right"),
                    findings,
                );
                None
            }
        }
    }

    /// Reads a number, integer or fractional, as it is written in the file.
    pub(super) fn read_number_text(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        match self.value(key)? {
            DeValue::Integer(value) => Some(value.to_string()),
            DeValue::Float(value) => Some(value.to_string()),
            other => self.report_type_mismatch(key, other, "a number", findings),
        }
    }

    /// Reads an integer in a range, with a default.
    pub fn read_u64_or(
        &self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
        findings: &mut FindingList,
    ) -> u64 {
        self.read_u64(key, range, findings).unwrap_or(default)
    }

    pub fn read_bool(&self, key: &str, findings: &mut FindingList) -> Option<bool> {
        match self.value(key)? {
            DeValue::Boolean(flag) => Some(*flag),
            other => self.report_type_mismatch(key, other, "`true` or `false`", findings),
        }
    }

    /// Reads one of a closed set of strings.
    pub fn read_choice<T: Copy>(
        &self,
        key: &str,
        choices: &[(&str, T)],
        findings: &mut FindingList,
    ) -> Option<T> {
        let text = self.read_text(key, findings)?;
        let found = choices.iter().find(|(choice, _)| *choice == text);
        if let Some((_, value)) = found {
            return Some(*value);
        }
        let list: Vec<String> = choices
            .iter()
            .map(|(choice, _)| format!("{choice:?}"))
            .collect();
        let expected = list.join(" or ");
        self.report(
            key,
            format!("is {text:?}; {expected} would be right"),
            findings,
        );
        None
    }

    /// Reads an IP address with a port.
    pub fn read_address(&self, key: &str, findings: &mut FindingList) -> Option<SocketAddr> {
        let text = self.read_text(key, findings)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                let expected = "an IP number with a port, as `10.0.0.7:7100`, would be right";
                self.report(key, format!("is {text:?}; {expected}"), findings);
                None
            }
        }
    }

    /// Reads a required IP address with a port.
    pub fn require_address(&self, key: &str, findings: &mut FindingList) -> Option<SocketAddr> {
        self.require(key, "an IP number with a port", findings)?;
        self.read_address(key, findings)
    }

    /// Reads a nested table.
    pub fn read_table(&self, key: &str, findings: &mut FindingList) -> Option<TableReader<'a>> {
        let offset = self.offset_of(key);
        match self.value(key)? {
            DeValue::Table(table) => Some(TableReader::new(
                self.source,
                self.name_of(key),
                offset,
                table,
            )),
            other => self.report_type_mismatch(key, other, "a table", findings),
        }
    }

    /// Reports the keys that were never read.
    pub fn finish(&self, findings: &mut FindingList) {
        let read_keys = self.read_keys.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if read_keys.contains(name) {
                continue;
            }
            let list: Vec<&str> = read_keys.iter().map(String::as_str).collect();
            let message = format!(
                "unknown key `{}`; known here: {}",
                self.name_of(name),
                list.join(", ")
            );
            findings.add(self.source, key.span().start, message);
        }
    }

    fn require(&self, key: &str, expected: &str, findings: &mut FindingList) -> Option<()> {
        self.read_keys.borrow_mut().insert(key.to_string());
        if self.has(key) {
            return Some(());
        }
        let message = format!(
            "`{}` is missing; {expected} would be right",
            self.name_of(key)
        );
        findings.add(self.source, self.offset, message);
        None
    }

    pub(super) fn value(&self, key: &str) -> Option<&'a DeValue<'a>> {
        self.read_keys.borrow_mut().insert(key.to_string());
        self.table.get(key).map(Spanned::get_ref)
    }

    pub(super) fn name_of(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_string(),
            path => format!("{path}.{key}"),
        }
    }

    pub(super) fn report_type_mismatch<T>(
        &self,
        key: &str,
        value: &DeValue<'_>,
        expected: &str,
        findings: &mut FindingList,
    ) -> Option<T> {
        let message = format!("is {}; {expected} would be right", type_name(value));
        self.report(key, message, findings);
        None
    }
}
