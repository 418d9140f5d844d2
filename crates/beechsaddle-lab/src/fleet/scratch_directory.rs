//! The `scratch_directory` module provides temporary directories.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use eyre::WrapErr;

/// Number of the next directory, which makes the names of a process's directories unique.
static COUNT: AtomicU32 = AtomicU32::new(0);

/// A directory for temporary files, removed on drop.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
}

impl ScratchDirectory {
    /// Creates a directory.
    pub fn try_new() -> eyre::Result<Self> {
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("beechsaddle-lab-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .wrap_err_with(|| format!("cannot create {}", path.display()))?;
        Ok(ScratchDirectory { path })
    }

    /// Returns the path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
