//! Collects the body of a message into one buffer.

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::future::poll_fn;
use std::pin::Pin;
use thiserror::Error;

/// Why there is no complete body.
#[derive(Debug, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// Its connection ended or is not HTTP.
    #[error("the body: {0}")]
    Unreadable(#[from] hyper::Error),
}

/// Reads a body of at most `max_bytes`. Its pieces are copied: each of them would keep the whole
/// buffer into which it was read, however short it is. `on_piece` is told the length of each.
/// Trailers are discarded.
///
/// # Errors
/// Returns an error if the body is longer or incomplete.
pub async fn collect_body(
    mut body: Incoming,
    max_bytes: usize,
    mut on_piece: impl FnMut(usize),
) -> Result<Bytes, BodyError> {
    let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared > max_bytes {
        return Err(BodyError::TooLong);
    }
    let mut collected = Vec::new();
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        let Ok(piece) = frame?.into_data() else {
            continue;
        };
        if piece.len() > max_bytes - collected.len() {
            return Err(BodyError::TooLong);
        }
        if collected.is_empty() {
            collected.reserve_exact(declared);
        }
        collected.extend_from_slice(&piece);
        on_piece(piece.len());
    }
    Ok(collected.into())
}
