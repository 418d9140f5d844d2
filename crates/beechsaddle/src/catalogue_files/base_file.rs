//! The `base_file` module provides the file that records a directory's base revision.

use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use crate::findings::{FindingList, SourceText, TableReader};

/// The name of the file. It belongs under version control together with the catalogue.
pub const BASE_FILE: &str = ".beechsaddle-base";

/// The revision that a directory was last in sync with.
///
/// Without it, an entry that another operator added since would look like an entry removed from
/// this directory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BaseFile {
    /// The base revision.
    pub revision: u64,
    /// Later revisions that were applied from this directory while it lacked changes by others.
    pub applied: BTreeSet<u64>,
}

impl BaseFile {
    /// Reads the base file of a directory, and returns `None` if there is none.
    pub fn try_load(directory: impl AsRef<Path>) -> Result<Option<Self>, FindingList> {
        let path = path_in(directory.as_ref());
        let file = path.display().to_string();
        let mut findings = FindingList::new();
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => {
                findings.add_file(file, format!("cannot be read: {error}"));
                return Err(findings);
            }
        };
        let source = SourceText::new(file, text);
        let table = source.read_table(&mut findings);
        let reader = TableReader::new(&source, "", 0, table.get_ref());
        let revision = reader.read_u64("revision", 0..=u64::MAX, &mut findings);
        if !reader.has("revision") {
            let message = "`revision` is missing; a revision would be right";
            findings.add(&source, 0, message);
        }
        let applied = reader.read_numbers("applied", &mut findings);
        reader.finish(&mut findings);
        match revision {
            Some(revision) if findings.is_empty() => Ok(Some(BaseFile {
                revision,
                applied: applied.into_iter().collect(),
            })),
            Some(_) | None => Err(findings),
        }
    }

    /// Writes the base file of a directory.
    pub fn store(&self, directory: impl AsRef<Path>) -> io::Result<()> {
        let applied: Vec<String> = self.applied.iter().map(u64::to_string).collect();
        let text = format!(
            "# Written by `beechsaddle catalogue apply`: the revision these files were last in \
             step with,\n# and later ones that were applied from them.\n\
             revision = {}\napplied = [{}]\n",
            self.revision,
            applied.join(", ")
        );
        fs::write(path_in(directory.as_ref()), text)
    }
}

fn path_in(directory: &Path) -> PathBuf {
    directory.join(BASE_FILE)
}
