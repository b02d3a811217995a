//! Why the simulator's wire could not be served.

use crate::api::SettingsError;
use crate::settings::DecodeError;
use std::io;
use thiserror::Error;

/// Why the wire could not be served.
#[derive(Debug, Error)]
pub enum WireError {
    /// Input that cannot be read.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: u64,
        /// What is wrong with it.
        error: LineError,
    },
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why a line cannot be read.
#[derive(Debug, Error)]
pub enum LineError {
    /// It is no text.
    #[error("not UTF-8")]
    NotText,
    /// A message has no such field.
    #[error("{message} has no field {field}")]
    MissingField {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field is no number of its type.
    #[error("{message}: {field} is not a number it can hold")]
    NotANumber {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A number has more bits than its field may have.
    #[error("{message}: {field} is too large")]
    TooLarge {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field has a value that is not known.
    #[error("{message}: unknown {field} {value}")]
    UnknownValue {
        /// The message.
        message: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A load report is not of the form.
    #[error("Load is not name:value pairs")]
    LoadNotPairs,
    /// A figure of a load report is no number.
    #[error("Load: {0} is not a number")]
    LoadNotANumber(String),
    /// The settings object cannot be read.
    #[error("start: Conf: {0}")]
    Settings(#[from] DecodeError),
    /// No request could be decided under the settings.
    #[error("start: Conf: {0}")]
    UnusableSettings(#[from] SettingsError),
    /// A list names no catalog that was sent.
    #[error("endpoints: RosterId {0} is no catalog")]
    UnknownCatalog(u64),
    /// The content of a peer's message cannot be decoded.
    #[error("peer_data: Bytes: {0}")]
    PeerBytes(#[from] base64::DecodeError),
    /// A catalog ends before all its entries have come.
    #[error("catalog {catalog} has {missing} entries too few")]
    CatalogTooShort {
        /// The catalog.
        catalog: u64,
        /// Entries that are missing.
        missing: usize,
    },
    /// An entry stands outside a catalog.
    #[error("entry outside a catalog")]
    EntryOutsideCatalog,
    /// A message stands outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// A batch begins inside another.
    #[error("mark inside a batch")]
    BatchInsideBatch,
    /// The input ends inside a batch.
    #[error("batch without its go")]
    UnfinishedBatch,
}
