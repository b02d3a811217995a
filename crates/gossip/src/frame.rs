//! The datagram format, and the reasons why a datagram is dropped.
//!
//! `LPF`, the version of the form, the least version whose readers understand it, then by postcard
//! a [`Head`], then the content: foca's bytes as they are, or fragments, each with its kind and
//! length, so that a reader passes over kinds that it does not know.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes: it passes through any network of today whole (IPv6 guarantees 1,280
/// with its headers, RFC 8200, section 5).
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The version that is written.
pub const VERSION: u8 = 1;
const MAGIC: &[u8; 3] = b"LPF";

/// What stands before the content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head<'a> {
    /// The sender's fleet.
    pub cluster: &'a str,
    /// When it was sent, by the sender's clock.
    pub sent: Micros,
    /// What the content is.
    pub content: Content,
}

/// Kinds of content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Membership, foca's.
    Membership,
    /// Pieces of news.
    Updates,
}

/// A fragment of news: its kind and its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePart<'a> {
    /// What it is; see the kinds beside this.
    pub kind: u8,
    /// Its own form.
    pub bytes: &'a [u8],
}

/// A fragment that is [`crate::observation_table::Observation`].
pub const OBSERVATION: u8 = 1;
/// A fragment by which a member tells what it sees of the fleet; see `core/connectivity.rs`.
pub const VIEW: u8 = 3;
/// A carried letter without body by which a member says that it leaves.
pub const FAREWELL: u8 = 4;
/// A fragment, without content, by which a member that has just come asks for all observations of
/// sick endpoints.
pub const ASK: u8 = 2;

/// Why a datagram, or something in it, was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Not of this form.
    Malformed,
    /// Of a version that cannot be read.
    Version,
    /// Of another fleet.
    Cluster,
    /// From an address that is none of this fleet's.
    Unknown,
    /// Sent by a clock that is off, or long ago.
    Clock,
    /// Older than its bound.
    Stale,
    /// Of an endpoint that is not listed here, or of another process of it.
    Unlisted,
    /// Said in this member's own name.
    Forged,
    /// More than a table or queue holds.
    Full,
    /// A fragment of a kind that is not known here.
    Kind,
}

impl Dropped {
    /// Its word in metrics and on pages.
    pub fn word(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::Malformed => "malformed",
            Self::Version => "version",
            Self::Cluster => "cluster",
            Self::Unknown => "unknown",
            Self::Clock => "clock",
            Self::Stale => "stale",
            Self::Unlisted => "unlisted",
            Self::Forged => "forged",
            Self::Full => "full",
            Self::Kind => "kind",
        }
    }
}

/// All reasons, in the order of their numbers.
pub const REASONS: [Dropped; 11] = [
    Dropped::TooLong,
    Dropped::Malformed,
    Dropped::Version,
    Dropped::Cluster,
    Dropped::Unknown,
    Dropped::Clock,
    Dropped::Stale,
    Dropped::Unlisted,
    Dropped::Forged,
    Dropped::Full,
    Dropped::Kind,
];

/// Writes a datagram's beginning.
pub fn begin(head: &Head<'_>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&[VERSION, VERSION]);
    // A vector takes all that is written to it.
    postcard::to_extend(head, bytes).unwrap_or_default()
}

/// Adds a fragment, where there is still room for it.
pub fn add(bytes: &mut Vec<u8>, part: &MessagePart<'_>) -> bool {
    let Ok(part) = postcard::to_stdvec(part) else {
        return false;
    };
    let fits = bytes.len() + part.len() <= MAX_DATAGRAM_BYTES;
    if fits {
        bytes.extend_from_slice(&part);
    }
    fits
}

/// Reads a datagram of that fleet.
///
/// # Errors
/// Why it is to be dropped.
pub fn read<'a>(bytes: &'a [u8], cluster: &str) -> Result<(Head<'a>, &'a [u8]), Dropped> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(Dropped::TooLong);
    }
    let rest = bytes.strip_prefix(MAGIC).ok_or(Dropped::Malformed)?;
    let [version, least, rest @ ..] = rest else {
        return Err(Dropped::Malformed);
    };
    if *least > VERSION || least > version {
        return Err(Dropped::Version);
    }
    let (head, content) =
        postcard::take_from_bytes::<Head<'_>>(rest).map_err(|_| Dropped::Malformed)?;
    if head.cluster != cluster {
        return Err(Dropped::Cluster);
    }
    Ok((head, content))
}

/// The fragments of a content, up to the first that cannot be read.
pub fn message_parts<'a>(
    mut content: &'a [u8],
) -> impl Iterator<Item = Result<MessagePart<'a>, Dropped>> {
    std::iter::from_fn(move || {
        if content.is_empty() {
            return None;
        }
        match postcard::take_from_bytes::<MessagePart<'a>>(content) {
            Ok((part, rest)) => {
                content = rest;
                Some(Ok(part))
            }
            Err(_) => {
                content = &[];
                Some(Err(Dropped::Malformed))
            }
        }
    })
}

#[cfg(test)]
mod tests;
