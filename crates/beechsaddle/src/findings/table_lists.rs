//! The `table_lists` module provides checked reading of arrays in a TOML table.

use toml::Spanned;
use toml::de::DeValue;

use super::text_form::{NAME_FORM, is_name, type_name};
use super::{FindingList, TableReader};

impl<'a> TableReader<'a> {
    /// Reads an array of distinct names, empty if absent.
    pub fn read_names(&self, key: &str, findings: &mut FindingList) -> Vec<String> {
        let mut names: Vec<String> = Vec::new();
        for (offset, name) in self.read_texts(key, findings) {
            let path = self.name_of(key);
            if !is_name(&name) {
                findings.add(
                    self.source(),
                    offset,
                    format!("`{path}` names {name:?}; {NAME_FORM} would be right"),
                );
            } else if names.contains(&name) {
                findings.add(
                    self.source(),
                    offset,
                    format!("`{path}` names {name:?} twice; once would be right"),
                );
            } else {
                names.push(name);
            }
        }
        names
    }

    /// Reads an array of strings with their byte offsets, empty if absent.
    pub fn read_texts(&self, key: &str, findings: &mut FindingList) -> Vec<(usize, String)> {
        let mut texts = Vec::new();
        match self.value(key) {
            None => {}
            Some(DeValue::Array(values)) => {
                for value in values.iter() {
                    match value.get_ref() {
                        DeValue::String(text) => {
                            texts.push((value.span().start, text.to_string()));
                        }
                        other => findings.add(
                            self.source(),
                            value.span().start,
                            format!(
                                "`{}` holds {}; only strings would be right",
                                self.name_of(key),
                                type_name(other)
                            ),
                        ),
                    }
                }
            }
            Some(other) => {
                self.report_type_mismatch::<()>(key, other, "an array of strings", findings);
            }
        }
        texts
    }

    /// Reads an array of integers, empty if absent.
    pub fn read_numbers(&self, key: &str, findings: &mut FindingList) -> Vec<u64> {
        let values = match self.value(key) {
            None => return Vec::new(),
            Some(DeValue::Array(values)) => values,
            Some(other) => {
                self.report_type_mismatch::<()>(key, other, "an array of integers", findings);
                return Vec::new();
            }
        };
        let mut numbers = Vec::new();
        for value in values.iter() {
            let number = match value.get_ref() {
                DeValue::Integer(number) => number.as_str().parse().ok(),
                _ => None,
            };
            match number {
                Some(number) => numbers.push(number),
                None => {
                    let message = format!("`{}` holds no whole number", self.name_of(key));
                    findings.add(self.source(), value.span().start, message);
                }
            }
        }
        numbers
    }

    /// Reads the tables of `[[key]]`, none if absent.
    pub fn read_tables(&self, key: &str, findings: &mut FindingList) -> Vec<TableReader<'a>> {
        let mut readers = Vec::new();
        match self.value(key) {
            None => {}
            Some(DeValue::Array(values)) => {
                for value in values.iter() {
                    if let Some(reader) = self.read_element(key, value, findings) {
                        readers.push(reader);
                    }
                }
            }
            Some(other) => {
                let expected = format!("tables headed `[[{}]]`", self.name_of(key));
                self.report_type_mismatch::<()>(key, other, &expected, findings);
            }
        }
        readers
    }

    fn read_element(
        &self,
        key: &str,
        value: &'a Spanned<DeValue<'a>>,
        findings: &mut FindingList,
    ) -> Option<TableReader<'a>> {
        let offset = value.span().start;
        match value.get_ref() {
            DeValue::Table(table) => Some(TableReader::new(
                self.source(),
                self.name_of(key),
                offset,
                table,
            )),
            other => {
                let message = format!(
                    "`{}` holds {}; a table would be right",
                    self.name_of(key),
                    type_name(other)
                );
                findings.add(self.source(), offset, message);
                None
            }
        }
    }
}
