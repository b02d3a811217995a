//! A sidecar of which two versions are at hand.

use super::Supervised;
use crate::experiment::Version;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The version that does not run now.
pub(super) struct Other {
    program: PathBuf,
    product: Option<PathBuf>,
    version: Version,
}

/// Writes a product configuration, if it says anything.
pub(super) fn write(
    folder: &Path,
    name: &str,
    sidecar: usize,
    config: &str,
) -> io::Result<Option<PathBuf>> {
    if config.trim().is_empty() {
        return Ok(None);
    }
    let file = folder.join(format!("{name}.toml"));
    fs::write(&file, config.replace("{sidecar}", &sidecar.to_string()))?;
    Ok(Some(file))
}

impl Supervised {
    /// Puts the earlier version beside it.
    ///
    /// # Errors
    /// Its configuration cannot be written.
    pub fn beside(&mut self, program: PathBuf, config: &str, folder: &Path) -> io::Result<()> {
        let sidecar = self.told.sidecar;
        let product = write(folder, &format!("n{sidecar}-old"), sidecar, config)?;
        self.other = Some(Other {
            program,
            product,
            version: Version::Old,
        });
        Ok(())
    }

    /// Its next start is in that version, where there are two.
    pub fn turn(&mut self, to: Version) {
        if let Some(other) = self.other.as_mut().filter(|other| other.version == to) {
            std::mem::swap(&mut self.bringing.program, &mut other.program);
            std::mem::swap(&mut self.product, &mut other.product);
            other.version = if to == Version::Old {
                Version::New
            } else {
                Version::Old
            };
        }
    }
}
