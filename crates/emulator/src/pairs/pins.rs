//! The form of `pairs/pins.toml`: which revisions are compared with today's, and which differences
//! are intended; docs/versions.md says how the file is moved on.

use super::histories::Kind;
use load_balancer_common::config::{self, Configuration, InvalidConfig, InvalidSetting};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The pinned revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Pins {
    /// The one whose recorded decisions and bytes lie beside the file.
    pub recorded: String,
    /// Each of them.
    pub revision: Vec<Revision>,
}

/// A revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Revision {
    /// Its name here, and the name of its folder.
    pub name: String,
    /// Its commit, in full.
    pub commit: String,
    /// Why this one.
    pub about: String,
    /// Its sidecar.
    pub sidecar: Program,
    /// Its adapter for the simulator's wire.
    pub simulator_adapter: Program,
    /// How a member of its fleet is recorded.
    pub member: Recorded,
    /// How one of its coordinators is recorded, where it has any.
    pub coordinator: Option<Recorded>,
    /// Differences of its decisions from today's that are meant.
    pub difference: Vec<Difference>,
}

/// A program of a revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Program {
    /// Its package.
    pub package: String,
    /// Its name.
    pub name: String,
}

/// A library package of a revision that is talked to in lines of text.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recorded {
    /// The package.
    pub package: String,
    /// Its folder below `crates`.
    pub folder: String,
    /// The file below `pairs/recorder`, without `.rs`, that gives its names as the recorder uses
    /// them.
    pub interface: String,
}

impl Recorded {
    fn is_named(&self) -> bool {
        is_name(&self.package) && is_name(&self.folder) && is_name(&self.interface)
    }
}

/// A difference that is meant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// The commit that made it, in full.
    pub commit: String,
    /// Why.
    pub why: String,
    /// The histories that it may change; the others stay equal to the bit.
    pub histories: Vec<Kind>,
}

/// Whether a file or package may have this name.
fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    !text.is_empty() && text.bytes().all(allowed)
}

/// Letters of a commit in full.
const COMMIT: usize = 40;

impl Configuration for Pins {
    fn check(&self) -> Result<(), InvalidSetting> {
        let wrong = |key: &str, what: &str| Err(InvalidSetting::new(key, what));
        let commit =
            |text: &str| text.len() == COMMIT && text.bytes().all(|b| b.is_ascii_hexdigit());
        for (number, revision) in self.revision.iter().enumerate() {
            if !is_name(&revision.name)
                || self.revision[..number]
                    .iter()
                    .any(|r| r.name == revision.name)
            {
                return wrong(
                    "revision.name",
                    "letters, digits and hyphens, and no name twice",
                );
            }
            if !commit(&revision.commit) || !revision.difference.iter().all(|d| commit(&d.commit)) {
                return wrong("revision.commit", "a commit in full, 40 hexadecimal digits");
            }
            let programs = [&revision.sidecar, &revision.simulator_adapter];
            let recorded = [Some(&revision.member), revision.coordinator.as_ref()];
            if !programs
                .iter()
                .all(|p| is_name(&p.package) && is_name(&p.name))
                || !recorded.iter().flatten().all(|r| r.is_named())
            {
                return wrong(
                    "revision",
                    "packages, programs, folders and interfaces: letters, digits, hyphens and underscores",
                );
            }
            if revision
                .difference
                .iter()
                .any(|d| d.why.trim().is_empty() || d.histories.is_empty())
            {
                return wrong(
                    "revision.difference",
                    "a reason, and the histories that it may change",
                );
            }
        }
        if self.revision(&self.recorded).is_none() {
            return wrong("recorded", "must name a revision");
        }
        Ok(())
    }
}

impl Pins {
    /// Where the pinned file of this repository lies.
    pub fn place() -> PathBuf {
        Path::new(env!("CARGO_MANIFEST_DIR")).join("pairs/pins.toml")
    }

    /// Reads one.
    ///
    /// # Errors
    /// It cannot be read or used.
    pub fn load(file: &Path) -> Result<Self, InvalidConfig> {
        config::load(file)
    }

    /// The revision of that name.
    pub fn revision(&self, name: &str) -> Option<&Revision> {
        self.revision.iter().find(|revision| revision.name == name)
    }
}

impl Revision {
    /// Whether its decisions in such a history may differ from today's.
    pub fn may_differ(&self, kind: Kind) -> bool {
        self.difference
            .iter()
            .any(|difference| difference.histories.contains(&kind))
    }
}
