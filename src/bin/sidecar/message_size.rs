//! How much memory a message takes. Pure.

use hyper::body::SizeHint;
use hyper::header::HeaderMap;

/// Memory of a parsed header field besides its bytes: its entries in the maps of the request and of
/// an attempt, and its name.
const FIELD_BYTES: usize = 256;
/// A head's bytes are held by the buffer they were read into and by the one they are written from.
const COPIES_OF_A_HEAD: usize = 2;
/// Messages up to this size take no reserved memory: a connection has that much in any case.
const SMALL_MESSAGE_BYTES: usize = 6 << 10;

/// The memory of a message, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageSize {
    /// Of the parsed head.
    pub head: usize,
    /// Of the body.
    pub body: usize,
}

impl MessageSize {
    /// The size of a message whose body is about to be read. A body without a length counts as the
    /// longest that is read.
    pub fn of(headers: &HeaderMap, body: &SizeHint, max_body: usize) -> Self {
        let declared = body.exact().map(usize::try_from);
        Self {
            head: head_bytes(headers),
            body: declared.map_or(max_body, |length| length.unwrap_or(max_body).min(max_body)),
        }
    }

    /// Head and body together.
    pub fn bytes(self) -> usize {
        self.head + self.body
    }

    /// Whether it takes no reserved memory.
    pub fn is_small(self) -> bool {
        self.bytes() <= SMALL_MESSAGE_BYTES
    }

    /// Whether its head alone would take no reserved memory.
    pub fn has_small_head(self) -> bool {
        self.head <= SMALL_MESSAGE_BYTES
    }
}

fn head_bytes(headers: &HeaderMap) -> usize {
    let field =
        |name: &str, value: &[u8]| FIELD_BYTES + COPIES_OF_A_HEAD * (name.len() + value.len());
    headers
        .iter()
        .map(|(name, value)| field(name.as_str(), value.as_bytes()))
        .sum()
}

#[cfg(test)]
mod tests;
