//! The error of decoding stored or received bytes.

use thiserror::Error;

/// Error of decoding a log entry, a snapshot or a message.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// There are no bytes.
    #[error("empty value")]
    Empty,
    /// The format is unknown, probably that of a newer version.
    #[error("format version {found} is not supported, only {known}")]
    Format {
        /// The version of the format.
        found: u8,
        /// The version that this program reads.
        known: u8,
    },
    /// Bytes remain after the value.
    #[error("unexpected bytes after the value")]
    TooLong,
    /// The bytes are not valid postcard.
    #[error(transparent)]
    Binary(#[from] postcard::Error),
    /// The bytes are not a message of the consensus engine.
    #[error(transparent)]
    Message(#[from] protobuf::ProtobufError),
    /// The bytes are not valid JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
