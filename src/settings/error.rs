//! Why a settings object cannot be read.

use thiserror::Error;

/// What a name in the settings object belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Named {
    /// A class of requests.
    Class,
    /// A tenant.
    Tenant,
}

impl std::fmt::Display for Named {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Class => "class",
            Self::Tenant => "tenant",
        })
    }
}

/// Why a settings object cannot be read.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is no JSON, or not of the form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A class or tenant has no name.
    #[error("a {0} without a name")]
    NoName(Named),
    /// Two classes or tenants have one name.
    #[error("two of {kind} {name:?}")]
    NameTwice {
        /// Which.
        kind: Named,
        /// The name.
        name: String,
    },
    /// A class has an effect that is not known.
    #[error("unknown Effect {0:?}")]
    UnknownEffect(String),
    /// A class has a scope of its idempotency keys that is not known.
    #[error("unknown DedupScope {0:?}")]
    UnknownScope(String),
}
