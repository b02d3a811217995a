//! Reads, checks and compares product configurations: TOML files with a section for each subsystem.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::path::{Path, PathBuf};

/// Longest file that is read, in bytes: a configuration is written by people.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// A whole configuration of one program: sections, all optional, each with defaults.
pub trait Configuration: DeserializeOwned + Serialize {
    /// Finds values that contradict each other or that nothing could work with.
    fn check(&self) -> Result<(), Contradiction>;
}

/// Values that cannot hold together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// The key to mend, as `section.key`.
    pub key: String,
    /// What is wrong with it.
    pub what: String,
}

impl Contradiction {
    /// At `key`, because of `what`.
    pub fn new(key: &str, what: impl Into<String>) -> Self {
        Self {
            key: key.to_owned(),
            what: what.into(),
        }
    }
}

/// Why a file cannot be used: one plain line with file, line and key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// The line in it, from 1, where one can be named.
    pub line: Option<usize>,
    /// The key as `section.key`, where one can be named.
    pub key: Option<String>,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        // Parsers lay their words out over several lines.
        write!(
            f,
            ": {}",
            self.what.split_whitespace().collect::<Vec<_>>().join(" ")
        )
    }
}

impl std::error::Error for Problem {}

/// Reads a file as a configuration.
///
/// # Errors
/// The file cannot be read, is not TOML, has keys that nobody knows, values of a wrong kind or
/// unit, or values that contradict each other.
pub fn load<T: Configuration>(path: &Path) -> Result<T, Problem> {
    let unreadable = |what: String| Problem {
        file: path.to_owned(),
        line: None,
        key: None,
        what,
    };
    let length = std::fs::metadata(path)
        .map_err(|e| unreadable(format!("cannot read it: {e}")))?
        .len();
    if length > MAX_FILE_BYTES {
        return Err(unreadable(format!("longer than {MAX_FILE_BYTES} bytes")));
    }
    let text =
        std::fs::read_to_string(path).map_err(|e| unreadable(format!("cannot read it: {e}")))?;
    parse(path, &text)
}

/// Reads the text of a file.
///
/// # Errors
/// As [`load`].
pub fn parse<T: Configuration>(file: &Path, text: &str) -> Result<T, Problem> {
    let problem = |at: Option<usize>, key: Option<String>, what: String| Problem {
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
        what,
    };
    let at = |error: &toml::de::Error| error.span().map(|span| span.start);
    let reader = toml::Deserializer::parse(text)
        .map_err(|e| problem(at(&e), None, e.message().to_owned()))?;
    let read: T = serde_path_to_error::deserialize(reader).map_err(|e| {
        let path = e.path().to_string();
        let error = e.into_inner();
        problem(at(&error), Some(path), error.message().to_owned())
    })?;
    read.check()
        .map_err(|c| problem(place(text, &c.key), Some(c.key), c.what))?;
    Ok(read)
}

/// Where a key stands in the text, in bytes; its table where it is left to its default.
fn place(text: &str, key: &str) -> Option<usize> {
    let document = toml::de::DeTable::parse(text).ok()?;
    let (mut table, mut found) = (document.get_ref(), None);
    for part in key.split('.') {
        let Some((name, value)) = table.iter().find(|(name, _)| name.get_ref() == part) else {
            break;
        };
        found = Some(name.span().start);
        match value.get_ref() {
            toml::de::DeValue::Table(inner) => table = inner,
            _ => break,
        }
    }
    found
}

/// The configuration as a file would have it, defaults included.
pub fn written<T: Configuration>(config: &T) -> String {
    // Sections are tables of plain values: there is always a way to write them.
    toml::to_string(config).unwrap_or_else(|e| format!("# cannot be written: {e}\n"))
}

/// Keys, as `section.key`, whose values differ.
pub fn changed<T: Configuration>(old: &T, new: &T) -> Vec<String> {
    let table = |config: &T| toml::Table::try_from(config).unwrap_or_default();
    let mut keys = Vec::new();
    differ("", &table(old), &table(new), &mut keys);
    keys
}

fn differ(above: &str, old: &toml::Table, new: &toml::Table, keys: &mut Vec<String>) {
    let nothing = toml::Table::new();
    let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let key = if above.is_empty() {
            name.clone()
        } else {
            format!("{above}.{name}")
        };
        match (old.get(name), new.get(name)) {
            (a, b) if a == b => {}
            (Some(toml::Value::Table(a)), Some(toml::Value::Table(b))) => differ(&key, a, b, keys),
            (Some(toml::Value::Table(a)), None) => differ(&key, a, &nothing, keys),
            (None, Some(toml::Value::Table(b))) => differ(&key, &nothing, b, keys),
            _ => keys.push(key),
        }
    }
}

#[cfg(test)]
mod tests;
