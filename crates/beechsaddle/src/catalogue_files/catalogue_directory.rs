//! The `catalogue_directory` module provides the reading of a catalogue's files.

use std::fs;
use std::path::{Path, PathBuf};

use beechsaddle_core::catalogue::CatalogueEntry;

use super::budget_reader::read_budget;
use super::declared_positions::DeclaredPositions;
use super::model_reader::read_model;
use super::reference_check::check_references;
use super::service_reader::read_service;
use super::workspace_reader::read_workspace;
use super::{DeclaredCatalogue, EntryPosition};
use crate::findings::{FindingList, SourceText, TableReader};

/// Reads all `*.toml` files of a directory, or returns all of their findings.
pub fn read_catalogue(directory: impl AsRef<Path>) -> Result<DeclaredCatalogue, FindingList> {
    let mut findings = FindingList::new();
    let mut sources = Vec::new();
    for path in list_files(directory.as_ref(), &mut findings) {
        let file = path.display().to_string();
        match fs::read_to_string(&path) {
            Ok(text) => sources.push(SourceText::new(file, text)),
            Err(error) => findings.add_file(file, format!("cannot be read: {error}")),
        }
    }
    read_sources(&sources, findings)
}

/// Reads a catalogue from texts, each with the name of its file.
pub fn read_catalogue_texts(
    texts: impl IntoIterator<Item = (String, String)>,
) -> Result<DeclaredCatalogue, FindingList> {
    let sources: Vec<SourceText> = texts
        .into_iter()
        .map(|(file, text)| SourceText::new(file, text))
        .collect();
    read_sources(&sources, FindingList::new())
}

/// Lists the catalogue files, sorted by name. Hidden files are skipped, since they belong to
/// editors and version control.
fn list_files(directory: &Path, findings: &mut FindingList) -> Vec<PathBuf> {
    let name = directory.display().to_string();
    let entries = match fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(error) => {
            findings.add_file(name, format!("cannot be read: {error}"));
            return Vec::new();
        }
    };
    let mut paths = Vec::new();
    for entry in entries {
        match entry {
            Ok(entry) => paths.push(entry.path()),
            Err(error) => findings.add_file(&name, format!("cannot be read: {error}")),
        }
    }
    paths.retain(|path| is_catalogue_file(path));
    paths.sort();
    // A mistyped directory must not look like a catalogue from which everything was removed.
    if paths.is_empty() {
        findings.add_file(name, "holds no `*.toml` file; a catalogue would be right");
    }
    paths
}

fn is_catalogue_file(path: &Path) -> bool {
    let hidden = path
        .file_name()
        .and_then(|name| name.to_str())
        .is_none_or(|name| name.starts_with('.'));
    !hidden
        && path
            .extension()
            .is_some_and(|extension| extension == "toml")
}

fn read_sources(
    sources: &[SourceText],
    mut findings: FindingList,
) -> Result<DeclaredCatalogue, FindingList> {
    let mut collector = EntryCollector::default();
    for (file, source) in sources.iter().enumerate() {
        let table = source.read_table(&mut findings);
        let reader = TableReader::new(source, "", 0, table.get_ref());
        collector.read_file(file, sources, &reader, &mut findings);
    }
    check_references(
        &collector.catalogue,
        &collector.positions,
        sources,
        &mut findings,
    );
    match findings.is_empty() {
        true => Ok(collector.catalogue),
        false => Err(findings),
    }
}

#[derive(Debug, Default)]
struct EntryCollector {
    catalogue: DeclaredCatalogue,
    positions: DeclaredPositions,
}

impl EntryCollector {
    fn read_file(
        &mut self,
        file: usize,
        sources: &[SourceText],
        reader: &TableReader<'_>,
        findings: &mut FindingList,
    ) {
        for table in reader.read_tables("workspace", findings) {
            let entry = read_workspace(&table, findings).map(CatalogueEntry::Workspace);
            self.add_entry(file, sources, &table, entry, findings);
        }
        for table in reader.read_tables("service", findings) {
            let entry = read_service(&table, findings).map(CatalogueEntry::Service);
            self.add_entry(file, sources, &table, entry, findings);
        }
        for table in reader.read_tables("model", findings) {
            let entry = read_model(&table, findings).map(CatalogueEntry::Model);
            self.add_entry(file, sources, &table, entry, findings);
        }
        for table in reader.read_tables("budget", findings) {
            self.add_budget(file, sources, &table, findings);
        }
        reader.finish(findings);
    }

    fn add_entry(
        &mut self,
        file: usize,
        sources: &[SourceText],
        reader: &TableReader<'_>,
        entry: Option<CatalogueEntry>,
        findings: &mut FindingList,
    ) {
        let Some(entry) = entry else {
            return;
        };
        let position = position_of(file, reader);
        match self.positions.entries.get(&entry.id()) {
            Some(first) => report_duplicate(reader, *first, sources, findings),
            None => {
                self.positions.entries.insert(entry.id(), position);
                self.catalogue.entries.insert(entry.id(), entry);
            }
        }
    }

    fn add_budget(
        &mut self,
        file: usize,
        sources: &[SourceText],
        reader: &TableReader<'_>,
        findings: &mut FindingList,
    ) {
        let Some(budget) = read_budget(reader, findings) else {
            return;
        };
        match self.positions.budgets.get(&budget.name) {
            Some(first) => report_duplicate(reader, *first, sources, findings),
            None => {
                let position = position_of(file, reader);
                self.positions.budgets.insert(budget.name.clone(), position);
                self.catalogue.budgets.insert(budget.name.clone(), budget);
            }
        }
    }
}

fn position_of(file: usize, reader: &TableReader<'_>) -> EntryPosition {
    EntryPosition {
        file,
        offset: reader.offset_of("name"),
    }
}

fn report_duplicate(
    reader: &TableReader<'_>,
    first: EntryPosition,
    sources: &[SourceText],
    findings: &mut FindingList,
) {
    let source = &sources[first.file];
    let message = format!(
        "is declared already at {}:{}; an own name would be right",
        source.file(),
        source.line_of(first.offset)
    );
    reader.report("name", message, findings);
}
