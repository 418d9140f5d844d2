//! The `table_reader` module provides checked reading of one TOML table.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::text_form::{NAME_FORM, is_name, type_name};
use super::{FindingList, SourceText};

/// Reads the keys of one table; whatever is wrong becomes a finding.
///
/// Each `read_` method gives `None` where the key is absent or wrong; the `need_` methods make an
/// absent key a finding too. [`TableReader::finish`] reports the keys that nothing asked for.
#[derive(Debug)]
pub struct TableReader<'a> {
    source: &'a SourceText,
    path: String,
    offset: usize,
    table: &'a DeTable<'a>,
    known: RefCell<BTreeSet<String>>,
}

impl<'a> TableReader<'a> {
    /// Reads `table`, which the findings call `path`; empty for the whole file.
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
            known: RefCell::new(BTreeSet::new()),
        }
    }

    /// The file that the table is in.
    pub fn source(&self) -> &'a SourceText {
        self.source
    }

    /// Where the table begins, as a byte offset.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Where a key's value stands; the table's own place when the key is absent.
    pub fn offset_of(&self, key: &str) -> usize {
        self.table
            .get(key)
            .map_or(self.offset, |value| value.span().start)
    }

    /// Adds a finding at a key.
    pub fn report(&self, key: &str, what: impl AsRef<str>, findings: &mut FindingList) {
        let what = format!("`{}` {}", self.name_of(key), what.as_ref());
        findings.add(self.source, self.offset_of(key), what);
    }

    /// Whether the table has a key.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// A text.
    pub fn read_text(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        match self.value(key)? {
            DeValue::String(text) => Some(text.to_string()),
            other => self.report_type(key, other, "a string", findings),
        }
    }

    /// A text that must be there and not be empty.
    pub fn need_text(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        self.need(key, "a string", findings)?;
        let text = self.read_text(key, findings)?;
        if text.is_empty() {
            self.report(key, "is empty; a text would be right", findings);
            return None;
        }
        Some(text)
    }

    /// A name: letters, digits, `.`, `_` and `-`, as they may stand in keys of platform objects.
    pub fn need_name(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        let name = self.need_text(key, findings)?;
        self.check_name(key, name, findings)
    }

    /// A name that may be left out.
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

    /// A whole number in a range.
    pub fn read_u64(
        &self,
        key: &str,
        range: RangeInclusive<u64>,
        findings: &mut FindingList,
    ) -> Option<u64> {
        let (low, high) = (*range.start(), *range.end());
        let wanted = match high {
            u64::MAX => format!("an integer of {low} or more"),
            high => format!("an integer from {low} to {high}"),
        };
        let value = match self.value(key)? {
            DeValue::Integer(value) => value,
            other => return self.report_type(key, other, &wanted, findings),
        };
        let digits = value.as_str().trim_start_matches('+');
        match u64::from_str_radix(digits, value.radix()) {
            Ok(number) if range.contains(&number) => Some(number),
            Ok(_) | Err(_) => {
                self.report(
                    key,
                    format!("is {value}; {wanted} would be right"),
                    findings,
                );
                None
            }
        }
    }

    /// A number as it stands in the file, whole or with a fraction.
    pub(super) fn read_number_text(&self, key: &str, findings: &mut FindingList) -> Option<String> {
        match self.value(key)? {
            DeValue::Integer(value) => Some(value.to_string()),
            DeValue::Float(value) => Some(value.to_string()),
            other => self.report_type(key, other, "a number", findings),
        }
    }

    /// A whole number in a range, or its default.
    pub fn read_u64_or(
        &self,
        key: &str,
        default: u64,
        range: RangeInclusive<u64>,
        findings: &mut FindingList,
    ) -> u64 {
        self.read_u64(key, range, findings).unwrap_or(default)
    }

    /// `true` or `false`.
    pub fn read_bool(&self, key: &str, findings: &mut FindingList) -> Option<bool> {
        match self.value(key)? {
            DeValue::Boolean(flag) => Some(*flag),
            other => self.report_type(key, other, "`true` or `false`", findings),
        }
    }

    /// One of a closed set of words.
    pub fn read_word<T: Copy>(
        &self,
        key: &str,
        words: &[(&str, T)],
        findings: &mut FindingList,
    ) -> Option<T> {
        let text = self.read_text(key, findings)?;
        let found = words.iter().find(|(word, _)| *word == text);
        if let Some((_, value)) = found {
            return Some(*value);
        }
        let list: Vec<String> = words.iter().map(|(word, _)| format!("{word:?}")).collect();
        let wanted = list.join(" or ");
        self.report(
            key,
            format!("is {text:?}; {wanted} would be right"),
            findings,
        );
        None
    }

    /// An IP number with a port.
    pub fn read_address(&self, key: &str, findings: &mut FindingList) -> Option<SocketAddr> {
        let text = self.read_text(key, findings)?;
        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => {
                let wanted = "an IP number with a port, as `10.0.0.7:7100`, would be right";
                self.report(key, format!("is {text:?}; {wanted}"), findings);
                None
            }
        }
    }

    /// An IP number with a port that must be there.
    pub fn need_address(&self, key: &str, findings: &mut FindingList) -> Option<SocketAddr> {
        self.need(key, "an IP number with a port", findings)?;
        self.read_address(key, findings)
    }

    /// A table within this one.
    pub fn read_table(&self, key: &str, findings: &mut FindingList) -> Option<TableReader<'a>> {
        let offset = self.offset_of(key);
        match self.value(key)? {
            DeValue::Table(table) => Some(TableReader::new(
                self.source,
                self.name_of(key),
                offset,
                table,
            )),
            other => self.report_type(key, other, "a table", findings),
        }
    }

    /// Reports the keys that nothing asked for.
    pub fn finish(&self, findings: &mut FindingList) {
        let known = self.known.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if known.contains(name) {
                continue;
            }
            let list: Vec<&str> = known.iter().map(String::as_str).collect();
            let what = format!(
                "unknown key `{}`; known here: {}",
                self.name_of(name),
                list.join(", ")
            );
            findings.add(self.source, key.span().start, what);
        }
    }

    fn need(&self, key: &str, wanted: &str, findings: &mut FindingList) -> Option<()> {
        self.known.borrow_mut().insert(key.to_string());
        if self.has(key) {
            return Some(());
        }
        let what = format!(
            "`{}` is missing; {wanted} would be right",
            self.name_of(key)
        );
        findings.add(self.source, self.offset, what);
        None
    }

    pub(super) fn value(&self, key: &str) -> Option<&'a DeValue<'a>> {
        self.known.borrow_mut().insert(key.to_string());
        self.table.get(key).map(Spanned::get_ref)
    }

    pub(super) fn name_of(&self, key: &str) -> String {
        match self.path.as_str() {
            "" => key.to_string(),
            path => format!("{path}.{key}"),
        }
    }

    pub(super) fn report_type<T>(
        &self,
        key: &str,
        value: &DeValue<'_>,
        wanted: &str,
        findings: &mut FindingList,
    ) -> Option<T> {
        let what = format!("is {}; {wanted} would be right", type_name(value));
        self.report(key, what, findings);
        None
    }
}
