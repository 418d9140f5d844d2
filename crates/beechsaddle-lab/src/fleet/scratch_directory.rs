//! The `scratch_directory` module provides directories that go away again.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use eyre::WrapErr;

/// Tells the directories of one process apart.
static COUNT: AtomicU32 = AtomicU32::new(0);

/// A directory for temporary files, removed when this is dropped.
#[derive(Debug)]
pub struct ScratchDirectory {
    path: PathBuf,
}

impl ScratchDirectory {
    /// Makes one.
    pub fn try_new() -> eyre::Result<Self> {
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("beechsaddle-lab-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)
            .wrap_err_with(|| format!("cannot make {}", path.display()))?;
        Ok(ScratchDirectory { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
