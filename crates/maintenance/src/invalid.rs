//! What makes a request or a setting unusable, by its key.

use serde::{Deserialize, Serialize};

/// A setting that can't be taken, by the name of its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Invalid {
    /// The key, as in the configuration or request, with its index where it is one of several.
    pub key: String,
    /// Why it can't be taken, as text for the operator.
    pub reason: String,
}

impl Invalid {
    pub(crate) fn new(key: impl Into<String>, reason: impl Into<String>) -> Self {
        Invalid {
            key: key.into(),
            reason: reason.into(),
        }
    }
}

impl std::fmt::Display for Invalid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for Invalid {}
