//! Errors of decoding a settings object.

use thiserror::Error;

/// What a name in the settings object refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NamedItem {
    /// A class of requests.
    Class,
    /// A tenant.
    Tenant,
}

impl std::fmt::Display for NamedItem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Class => "class",
            Self::Tenant => "tenant",
        })
    }
}

/// Error of decoding a settings object.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A class or tenant has no name.
    #[error("a {0} without a name")]
    MissingName(NamedItem),
    /// Two classes or tenants have the same name.
    #[error("two of {kind} {name:?}")]
    DuplicateName {
        /// What the name refers to.
        kind: NamedItem,
        /// The name.
        name: String,
    },
    /// A class has an unknown effect.
    #[error("unknown Effect {0:?}")]
    UnknownEffect(String),
    /// A class has an unknown scope of its idempotency keys.
    #[error("unknown DedupScope {0:?}")]
    UnknownScope(String),
}
