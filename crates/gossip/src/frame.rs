//! The datagram format, and the reasons why input is dropped.
//!
//! A datagram consists of `LPF`, the format version, the minimum version that readers must support,
//! a postcard-encoded [`FrameHeader`], and the content: foca's bytes, or message parts. Each part has a
//! kind and a length, so that readers can skip unknown kinds.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Maximum datagram size in bytes, small enough to pass any network unfragmented (IPv6 guarantees
/// 1,280 including its headers, RFC 8200, section 5).
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// The format version that is written.
pub const VERSION: u8 = 1;
const MAGIC: &[u8; 3] = b"LPF";

/// The header of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameHeader<'a> {
    /// Cluster of the sender.
    pub cluster: &'a str,
    /// When it was sent, by the sender's clock.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// Kind of the content.
    pub content: Content,
}

/// Kind of the content of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Foca's membership protocol.
    Membership,
    /// Message parts.
    Updates,
}

/// A message part: its kind and its bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessagePart<'a> {
    /// One of the kinds below, or a fragment kind.
    pub kind: u8,
    /// The encoded content.
    pub bytes: &'a [u8],
}

/// An [`crate::observation_table::Observation`].
pub const KIND_OBSERVATION: u8 = 1;
/// A membership view; see `core/views.rs`.
pub const KIND_VIEW: u8 = 3;
/// A fragment without body that announces the departure of its origin.
pub const KIND_FAREWELL: u8 = 4;
/// A request of a new member, without content, for all observations of unhealthy endpoints.
pub const KIND_SYNC_REQUEST: u8 = 2;

/// Reason why a datagram or a part of it is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    TooLong,
    /// Not a valid datagram.
    Malformed,
    /// An unsupported format version.
    Version,
    /// From another cluster.
    Cluster,
    /// From an address outside the fleet.
    Unknown,
    /// Sent by a clock outside the skew, or too long ago.
    Clock,
    /// Older than its maximum staleness.
    Stale,
    /// About an endpoint that is not listed here, or an earlier process of it.
    Unlisted,
    /// Claims to originate from this member.
    Forged,
    /// A table or queue is full.
    Full,
    /// An unknown kind of message part.
    Kind,
}

impl DropReason {
    /// Returns the label in metrics and status pages.
    pub fn label(self) -> &'static str {
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

/// All reasons, in the order of their discriminants.
pub const DROP_REASONS: [DropReason; 11] = [
    DropReason::TooLong,
    DropReason::Malformed,
    DropReason::Version,
    DropReason::Cluster,
    DropReason::Unknown,
    DropReason::Clock,
    DropReason::Stale,
    DropReason::Unlisted,
    DropReason::Forged,
    DropReason::Full,
    DropReason::Kind,
];

/// Returns a datagram that contains only the header.
pub fn begin(header: &FrameHeader<'_>) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&[VERSION, VERSION]);
    // Writing to a vector cannot fail.
    postcard::to_extend(header, bytes).unwrap_or_default()
}

/// Appends a message part. Returns false if it does not fit.
pub fn try_append(bytes: &mut Vec<u8>, part: &MessagePart<'_>) -> bool {
    let Ok(part) = postcard::to_stdvec(part) else {
        return false;
    };
    let fits = bytes.len() + part.len() <= MAX_DATAGRAM_BYTES;
    if fits {
        bytes.extend_from_slice(&part);
    }
    fits
}

/// Decodes a datagram of the given cluster.
///
/// # Errors
/// Returns the reason to drop it.
pub fn read<'a>(bytes: &'a [u8], cluster: &str) -> Result<(FrameHeader<'a>, &'a [u8]), DropReason> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DropReason::TooLong);
    }
    let rest = bytes.strip_prefix(MAGIC).ok_or(DropReason::Malformed)?;
    let [version, min_version, rest @ ..] = rest else {
        return Err(DropReason::Malformed);
    };
    if *min_version > VERSION || min_version > version {
        return Err(DropReason::Version);
    }
    let (header, content) =
        postcard::take_from_bytes::<FrameHeader<'_>>(rest).map_err(|_| DropReason::Malformed)?;
    if header.cluster != cluster {
        return Err(DropReason::Cluster);
    }
    Ok((header, content))
}

/// Returns the message parts of a content, up to the first that cannot be decoded.
pub fn message_parts<'a>(
    mut content: &'a [u8],
) -> impl Iterator<Item = Result<MessagePart<'a>, DropReason>> {
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
                Some(Err(DropReason::Malformed))
            }
        }
    })
}

#[cfg(test)]
mod tests;
