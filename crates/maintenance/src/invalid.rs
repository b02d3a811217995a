//! Validation errors of requests and settings.

use serde::{Deserialize, Serialize};

/// An invalid field of a request or setting.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Invalid {
    /// The field's name in the configuration or request, with its index if it is an array element.
    pub key: String,
    /// Why it is invalid, as text for the operator.
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
