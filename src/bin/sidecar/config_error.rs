//! Errors of the platform's configuration, each with a one-line message.

use load_balancer::SettingsError;
use load_balancer::settings::DecodeError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why the platform's configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("LB_CONFIG is not set")]
    NotSet,
    /// The file can't be read.
    #[error("cannot read LB_CONFIG {}: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The reason.
        error: io::Error,
    },
    /// The value of an environment variable is not an address.
    #[error("{variable} is not an address and port: {value}")]
    NoAddress {
        /// The variable.
        variable: &'static str,
        /// Its value.
        value: String,
    },
    /// The file's content can't be used.
    #[error("LB_CONFIG {}: {error}", path.display())]
    Content {
        /// The file.
        path: PathBuf,
        /// The reason.
        error: ContentError,
    },
}

/// Why the content of the platform's file can't be used.
#[derive(Debug, Error)]
pub enum ContentError {
    /// It is not JSON of the expected form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The settings object can't be decoded.
    #[error("settings: {0}")]
    Settings(#[from] DecodeError),
    /// The settings are invalid.
    #[error(transparent)]
    UnusableSettings(#[from] SettingsError),
    /// There are too few descriptors to serve requests.
    #[error("limits: sockets must be {0} or more")]
    TooFewDescriptors(usize),
    /// Neither file nor environment gives an address to listen on.
    #[error("no address to listen on")]
    NoListen,
    /// Neither file nor environment gives the address of discovery.
    #[error("no address of discovery")]
    NoDiscovery,
}
