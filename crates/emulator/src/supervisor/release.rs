//! A sidecar with two versions.

use super::Supervised;
use crate::experiment::Version;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The version that does not run now.
pub(super) struct OtherRelease {
    program: PathBuf,
    product: Option<PathBuf>,
    version: Version,
}

/// Writes a product configuration, unless it is empty.
pub(super) fn write_product_config(
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
    /// Adds the earlier version.
    ///
    /// # Errors
    /// Its configuration can't be written.
    pub fn add_old_release(
        &mut self,
        program: PathBuf,
        config: &str,
        folder: &Path,
    ) -> io::Result<()> {
        let sidecar = self.config.sidecar;
        let product = write_product_config(folder, &format!("n{sidecar}-old"), sidecar, config)?;
        self.other_release = Some(OtherRelease {
            program,
            product,
            version: Version::Old,
        });
        Ok(())
    }

    /// Selects the version of the next start, if there are two.
    pub fn switch_release(&mut self, to: Version) {
        if let Some(other) = self
            .other_release
            .as_mut()
            .filter(|other| other.version == to)
        {
            std::mem::swap(&mut self.launch_options.program, &mut other.program);
            std::mem::swap(&mut self.product, &mut other.product);
            other.version = if to == Version::Old {
                Version::New
            } else {
                Version::Old
            };
        }
    }
}
