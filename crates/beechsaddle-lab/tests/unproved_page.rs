//! Test that all tests named in `docs/UNPROVED.md` exist.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/UNPROVED.md");

fn named_tests() -> BTreeSet<(&'static str, &'static str)> {
    PAGE.split('`')
        .filter(|text| !text.contains(' '))
        .filter_map(|text| text.split_once("::"))
        .filter(|(file, _)| *file != "file")
        .collect()
}

fn test_file(name: &str) -> Option<PathBuf> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent()?;
    let crates = fs::read_dir(crates).ok()?.flatten();
    crates
        .map(|entry| entry.path().join("tests").join(format!("{name}.rs")))
        .find(|path| path.exists())
}

fn exists(file: &str, test: &str) -> bool {
    let text = test_file(file).and_then(|path| fs::read_to_string(path).ok());
    text.is_some_and(|text| text.contains(&format!("fn {test}(")))
}

#[test]
fn unproved_page_names_tests_that_exist() {
    let named = named_tests();
    assert!(named.len() > 30, "{} tests are named", named.len());
    let missing: Vec<_> = named
        .into_iter()
        .filter(|(file, test)| !exists(file, test))
        .collect();
    assert!(missing.is_empty(), "{missing:?}");
}
