//! The `catalogue_files` module provides the catalogue as operators maintain it: TOML files in a
//! directory under version control.
//!
//! `docs/CATALOGUE.md` describes the format.

mod base_file;
mod budget_reader;
mod catalogue_directory;
mod catalogue_writer;
mod declared_catalogue;
mod declared_positions;
mod header_reader;
mod model_reader;
mod reference_check;
mod service_reader;
mod workspace_reader;

pub use base_file::{BASE_FILE, BaseFile};
pub use catalogue_directory::{read_catalogue, read_catalogue_texts};
pub use catalogue_writer::render_catalogue;
pub use declared_catalogue::{DeclaredCatalogue, EntryPosition};
