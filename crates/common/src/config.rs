//! Loads, validates and compares product configurations: TOML files with a section per subsystem.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::{Path, PathBuf};

/// Longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The configuration of a program: optional sections, each with defaults.
pub trait Configuration: DeserializeOwned + Serialize {
    /// Rejects values that contradict each other or can't work.
    fn check(&self) -> Result<(), InvalidSetting>;
}

/// An invalid value or combination of values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The key to change, as `section.key`.
    pub key: String,
    /// Why it is invalid.
    pub reason: String,
}

impl InvalidSetting {
    /// An invalid `key`, with the reason.
    pub fn new(key: &str, reason: impl Into<String>) -> Self {
        Self {
            key: key.to_owned(),
            reason: reason.into(),
        }
    }
}

/// Why a file can't be used, as one line with file, line and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig {
    /// The file.
    pub file: PathBuf,
    /// The line in the file, from 1, if known.
    pub line: Option<usize>,
    /// The key as `section.key`, if known.
    pub key: Option<String>,
    /// The reason.
    pub reason: String,
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        // Parsers format their messages in several lines.
        write!(
            f,
            ": {}",
            self.reason.split_whitespace().collect::<Vec<_>>().join(" ")
        )
    }
}

impl std::error::Error for InvalidConfig {}

/// Loads a configuration from a file.
///
/// # Errors
/// The file can't be read, is not TOML, or has unknown keys, values of a wrong type or unit, or
/// invalid values.
pub fn load<T: Configuration>(path: &Path) -> Result<T, InvalidConfig> {
    let file_error = |reason: String| InvalidConfig {
        file: path.to_owned(),
        line: None,
        key: None,
        reason,
    };
    let length = std::fs::metadata(path)
        .map_err(|e| file_error(format!("cannot read it: {e}")))?
        .len();
    if length > MAX_FILE_BYTES {
        return Err(file_error(format!("longer than {MAX_FILE_BYTES} bytes")));
    }
    let text =
        std::fs::read_to_string(path).map_err(|e| file_error(format!("cannot read it: {e}")))?;
    parse(path, &text)
}

/// Parses the text of a file.
///
/// # Errors
/// As [`load`].
pub fn parse<T: Configuration>(file: &Path, text: &str) -> Result<T, InvalidConfig> {
    let error_at = |at: Option<usize>, key: Option<String>, reason: String| InvalidConfig {
        file: file.to_owned(),
        line: at.map(|at| {
            text.as_bytes()
                .iter()
                .take(at)
                .filter(|b| **b == b'\n')
                .count()
                + 1
        }),
        key: key.filter(|k| !k.is_empty() && k != "."),
        reason,
    };
    let at = |error: &toml::de::Error| error.span().map(|span| span.start);
    let reader = toml::Deserializer::parse(text)
        .map_err(|e| error_at(at(&e), None, e.message().to_owned()))?;
    let config: T = serde_path_to_error::deserialize(reader).map_err(|e| {
        let path = e.path().to_string();
        let error = e.into_inner();
        error_at(at(&error), Some(path), error.message().to_owned())
    })?;
    config
        .check()
        .map_err(|c| error_at(key_offset(text, &c.key), Some(c.key), c.reason))?;
    Ok(config)
}

/// The byte offset of a key in the text, or of its table if the key has its default value.
fn key_offset(text: &str, key: &str) -> Option<usize> {
    let document = toml::de::DeTable::parse(text).ok()?;
    let (mut table, mut offset) = (document.get_ref(), None);
    for part in key.split('.') {
        let Some((name, value)) = table.iter().find(|(name, _)| name.get_ref() == part) else {
            break;
        };
        offset = Some(name.span().start);
        match value.get_ref() {
            toml::de::DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    offset
}

/// The configuration as TOML, defaults included.
pub fn to_toml<T: Configuration>(config: &T) -> String {
    // Sections are tables of plain values, which can always be serialized.
    toml::to_string(config).unwrap_or_else(|e| format!("# cannot be written: {e}\n"))
}

/// Keys, as `section.key`, whose values differ.
pub fn changed_keys<T: Configuration>(old: &T, new: &T) -> Vec<String> {
    let table = |config: &T| toml::Table::try_from(config).unwrap_or_default();
    let mut keys = Vec::new();
    collect_changed("", &table(old), &table(new), &mut keys);
    keys
}

fn collect_changed(prefix: &str, old: &toml::Table, new: &toml::Table, keys: &mut Vec<String>) {
    let empty = toml::Table::new();
    let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let key = if prefix.is_empty() {
            name.clone()
        } else {
            format!("{prefix}.{name}")
        };
        match (old.get(name), new.get(name)) {
            (a, b) if a == b => {}
            (Some(toml::Value::Table(a)), Some(toml::Value::Table(b))) => {
                collect_changed(&key, a, b, keys)
            }
            (Some(toml::Value::Table(a)), None) => collect_changed(&key, a, &empty, keys),
            (None, Some(toml::Value::Table(b))) => collect_changed(&key, &empty, b, keys),
            _ => keys.push(key),
        }
    }
}

#[cfg(test)]
mod tests;
