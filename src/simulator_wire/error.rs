//! Errors of the simulator's protocol.

use crate::api::SettingsError;
use crate::settings::DecodeError;
use std::io;
use thiserror::Error;

/// Error that ends the protocol.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line cannot be read.
    #[error("line {number}: {error}")]
    Line {
        /// Number of the line, from 1.
        number: u64,
        /// What is wrong with the line.
        error: LineError,
    },
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Error in a line.
#[derive(Debug, Error)]
pub enum LineError {
    /// It is not UTF-8.
    #[error("not UTF-8")]
    NotText,
    /// A message lacks a required field.
    #[error("{message} has no field {field}")]
    MissingField {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field is not a number of its type.
    #[error("{message}: {field} is not a number it can hold")]
    NotANumber {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A number has more bits than its field allows.
    #[error("{message}: {field} is too large")]
    TooLarge {
        /// The message.
        message: String,
        /// The field.
        field: String,
    },
    /// A field has an unknown value.
    #[error("{message}: unknown {field} {value}")]
    UnknownValue {
        /// The message.
        message: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A load report is not a list of name:value pairs.
    #[error("Load is not name:value pairs")]
    LoadNotPairs,
    /// A value in a load report is not a number.
    #[error("Load: {0} is not a number")]
    LoadNotANumber(String),
    /// The settings object cannot be decoded.
    #[error("start: Conf: {0}")]
    Settings(#[from] DecodeError),
    /// The settings are invalid.
    #[error("start: Conf: {0}")]
    UnusableSettings(#[from] SettingsError),
    /// A list refers to a catalog that was not sent.
    #[error("endpoints: RosterId {0} is no catalog")]
    UnknownCatalog(u64),
    /// The content of a peer message cannot be decoded.
    #[error("peer_data: Bytes: {0}")]
    PeerBytes(#[from] base64::DecodeError),
    /// A catalog ends before all its entries were read.
    #[error("catalog {catalog} has {missing} entries too few")]
    CatalogTooShort {
        /// The catalog.
        catalog: u64,
        /// Number of missing entries.
        missing: usize,
    },
    /// An entry is outside a catalog.
    #[error("entry outside a catalog")]
    EntryOutsideCatalog,
    /// A message is outside a batch.
    #[error("{0} outside a batch")]
    OutsideBatch(String),
    /// A batch begins inside another batch.
    #[error("mark inside a batch")]
    BatchInsideBatch,
    /// The input ends inside a batch.
    #[error("batch without its go")]
    UnfinishedBatch,
}
