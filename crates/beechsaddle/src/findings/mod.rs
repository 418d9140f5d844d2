//! The `findings` module provides checked reading of input files, with an error position for each
//! finding.
//!
//! Checks collect findings instead of stopping at the first one, so that one run reports all
//! errors.

mod finding_list;
mod source_finding;
mod source_text;
mod table_lists;
mod table_numbers;
mod table_reader;
mod text_form;

pub use finding_list::FindingList;
pub use source_finding::SourceFinding;
pub use source_text::SourceText;
pub use table_reader::TableReader;
pub(crate) use text_form::{NAME_FORM, is_name};
