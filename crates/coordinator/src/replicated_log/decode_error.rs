//! The error for bytes that are not of the form that this program reads.

use thiserror::Error;

/// Why bytes of the log, of a snapshot or of a message cannot be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// There are none.
    #[error("it is empty")]
    Empty,
    /// They are in a form that this program does not know: likely a newer one's.
    #[error("its format is {found}, this program reads {known}")]
    Format {
        /// The form's number.
        found: u8,
        /// The number of the form that is read.
        known: u8,
    },
    /// More follows after the value.
    #[error("it is longer than its form")]
    TooLong,
    /// They are not of the binary form.
    #[error(transparent)]
    Binary(#[from] postcard::Error),
    /// They are no message of the consensus engine.
    #[error(transparent)]
    Message(#[from] protobuf::ProtobufError),
    /// They are not of the JSON form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}
