//! The endpoint list as discovery writes it.

use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// A list, or the changes to one.
#[derive(Debug, Deserialize)]
#[serde(try_from = "Form")]
pub struct HostList {
    /// Its version.
    pub index: u64,
    /// The whole list rather than changes.
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<Host>,
    /// Entries that could not be read, as they have no name.
    pub unread: usize,
}

/// The list as it is written; each entry is read by itself, so that an odd one costs the others
/// nothing.
#[derive(Deserialize)]
struct Form {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Value>,
}

impl TryFrom<Form> for HostList {
    type Error = &'static str;

    fn try_from(form: Form) -> Result<Self, Self::Error> {
        let endpoints: Vec<_> = form.endpoints.iter().filter_map(Host::read).collect();
        let unread = form.endpoints.len() - endpoints.len();
        if endpoints.is_empty() && unread > 0 {
            return Err("no entry can be read");
        }
        Ok(Self {
            index: form.index,
            snapshot: form.snapshot,
            endpoints,
            unread,
        })
    }
}

/// An entry.
#[derive(Debug)]
pub struct Host {
    /// The name, the same at every sidecar.
    pub name: String,
    /// Where this sidecar reaches it.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its kind of machine.
    pub kind: Option<String>,
    /// Its cell.
    pub group: u64,
    /// Its state.
    pub status: HostStatus,
    /// Its size.
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 is long ago.
    pub since_ms: i64,
}

impl Host {
    /// Reads an entry; `None` where it names nobody.
    fn read(entry: &Value) -> Option<Self> {
        Some(Self {
            name: entry["name"].as_str()?.to_owned(),
            address: entry["address"].as_str().and_then(|at| at.parse().ok()),
            zone: label(&entry["zone"]),
            kind: label(&entry["type"]),
            group: group(&entry["group"]),
            status: HostStatus::read(&entry["status"]),
            weight: entry["weight"].as_f64().unwrap_or(1.0),
            since_ms: milliseconds(&entry["since_ms"]),
        })
    }
}

/// State of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// Takes requests.
    Active,
    /// Finishes what it has.
    Leaving,
    /// Gone.
    Left,
}

impl HostStatus {
    /// One in a state that is not known here gets nothing new, and keeps what it has.
    fn read(status: &Value) -> Self {
        match status.as_str() {
            Some("active") => Self::Active,
            Some("left") => Self::Left,
            _ => Self::Leaving,
        }
    }
}

/// A label that is no text is told apart from others by how it is written.
fn label(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

/// The same for a number: who is in one cell is decided by it, and must be neither guessed nor
/// thrown together.
fn group(value: &Value) -> u64 {
    if value.is_null() {
        return 0;
    }
    value.as_u64().unwrap_or_else(|| {
        let mut hasher = DefaultHasher::new();
        value.to_string().hash(&mut hasher);
        hasher.finish()
    })
}

/// A time that is no number counts as long ago.
fn milliseconds(value: &Value) -> i64 {
    // A fraction is cut off, and what is out of range is taken as its end.
    value
        .as_i64()
        .or_else(|| value.as_f64().map(|ms| ms as i64))
        .unwrap_or(0)
}
