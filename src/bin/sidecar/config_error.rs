//! Why the platform's configuration cannot be used; each is one plain line.

use load_balancer::SettingsError;
use load_balancer::settings::DecodeError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the platform's configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Nothing says where it is.
    #[error("LB_CONFIG is not set")]
    NotSet,
    /// The file cannot be read.
    #[error("cannot read LB_CONFIG {}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// A variable beside the file is no address.
    #[error("{variable} is not an address and port: {value}")]
    NoAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// The file's content cannot be used.
    #[error("LB_CONFIG {}: {error}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// Why.
        error: ContentError,
    },
}

/// Why the content of the platform's file cannot be used.
#[derive(Debug, Error)]
pub enum ContentError {
    /// It is no JSON, or not of the form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings object cannot be read.
    #[error("settings: {0}")]
    Settings(#[from] DecodeError),
    /// No request could be decided under the settings.
    #[error(transparent)]
    UnusableSettings(#[from] SettingsError),
    /// Too few descriptors to serve requests at all.
    #[error("limits: sockets must be {0} or more")]
    TooFewSockets(usize),
    /// Neither file nor variable says where to listen.
    #[error("no address to listen on")]
    NoListen,
    /// Neither file nor variable says where discovery is.
    #[error("no address of discovery")]
    NoDiscovery,
}
