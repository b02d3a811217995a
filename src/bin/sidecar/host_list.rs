//! The endpoint list in discovery's format.

use serde::Deserialize;
use serde_json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

/// An endpoint list, or changes to one.
#[derive(Debug, Deserialize)]
#[serde(try_from = "HostListForm")]
pub struct HostList {
    /// Its version.
    pub index: u64,
    /// Whether this is a whole list rather than changes.
    pub snapshot: bool,
    /// Its entries.
    pub endpoints: Vec<ListedHost>,
    /// Number of entries that could not be read because they have no name.
    pub unreadable: usize,
}

/// The list as discovery sends it. Each entry is parsed separately, so that an invalid one does not
/// affect the others.
#[derive(Deserialize)]
struct HostListForm {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: Vec<Value>,
}

impl TryFrom<HostListForm> for HostList {
    type Error = &'static str;

    fn try_from(form: HostListForm) -> Result<Self, Self::Error> {
        let endpoints: Vec<_> = form
            .endpoints
            .iter()
            .filter_map(ListedHost::parse)
            .collect();
        let unreadable = form.endpoints.len() - endpoints.len();
        if endpoints.is_empty() && unreadable > 0 {
            return Err("no entry can be read");
        }
        Ok(Self {
            index: form.index,
            snapshot: form.snapshot,
            endpoints,
            unreadable,
        })
    }
}

/// An entry of the list.
#[derive(Debug)]
pub struct ListedHost {
    /// The name, the same at every sidecar.
    pub name: String,
    /// The address at which this sidecar reaches it.
    pub address: Option<SocketAddr>,
    /// Its zone.
    pub zone: Option<String>,
    /// Its machine type.
    pub kind: Option<String>,
    /// Its cell.
    pub group: u64,
    /// Its state.
    pub status: HostStatus,
    /// Its capacity weight.
    pub weight: f64,
    /// When its process started, in milliseconds of Unix time; 0 if long ago.
    pub started_ms: i64,
}

impl ListedHost {
    /// Parses an entry; `None` if it has no name.
    fn parse(entry: &Value) -> Option<Self> {
        Some(Self {
            name: entry["name"].as_str()?.to_owned(),
            address: entry["address"].as_str().and_then(|at| at.parse().ok()),
            zone: parse_label(&entry["zone"]),
            kind: parse_label(&entry["type"]),
            group: parse_group(&entry["group"]),
            status: HostStatus::parse(&entry["status"]),
            weight: entry["weight"].as_f64().unwrap_or(1.0),
            started_ms: parse_milliseconds(&entry["since_ms"]),
        })
    }
}

/// The state of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// Accepts requests.
    Active,
    /// Completes the requests it has.
    Draining,
    /// Removed from the list.
    Removed,
}

impl HostStatus {
    /// An unknown state counts as draining: no new requests, but the open ones are kept.
    fn parse(status: &Value) -> Self {
        match status.as_str() {
            Some("active") => Self::Active,
            Some("left") => Self::Removed,
            _ => Self::Draining,
        }
    }
}

/// A label that is not text is represented by its JSON form, so that different ones stay different.
fn parse_label(value: &Value) -> Option<String> {
    match value {
        Value::Null => None,
        Value::String(text) => Some(text.clone()),
        other => Some(other.to_string()),
    }
}

/// Likewise for a number: hosts are assigned to cells by it, so an invalid one must neither be
/// guessed nor merged with others.
fn parse_group(value: &Value) -> u64 {
    if value.is_null() {
        return 0;
    }
    value.as_u64().unwrap_or_else(|| {
        let mut hasher = DefaultHasher::new();
        value.to_string().hash(&mut hasher);
        hasher.finish()
    })
}

/// A time that is not a number counts as long ago.
fn parse_milliseconds(value: &Value) -> i64 {
    // A fraction is truncated, a value out of range is clamped.
    value
        .as_i64()
        .or_else(|| value.as_f64().map(|ms| ms as i64))
        .unwrap_or(0)
}
