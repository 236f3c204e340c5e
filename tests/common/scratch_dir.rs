//! A folder that goes when the test ends.

use std::path::{Path, PathBuf};

/// A folder below the system's temporary one.
pub struct ScratchDir(PathBuf);

impl ScratchDir {
    /// Makes an empty folder for the test called `name`.
    pub fn open(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("wagtailtrack-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Writes `text` into the file `name` and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// The folder.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
