//! The format of a record and its checks.

use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// The format version that is written. Newer versions are rejected, as their meaning is unknown.
pub const FORMAT: u16 = 1;
/// Longest name of an owner, in bytes: its length is stored in one byte.
pub const MAX_OWNER_BYTES: usize = 255;
/// First bytes of every record, to distinguish it from other data.
const MAGIC: [u8; 2] = *b"lp";
/// Length of the header: magic, format, length of the owner's name, checksum.
const HEADER_BYTES: usize = 2 + 2 + 1 + 8;

/// Why a record is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// It is not a record, or is truncated.
    Form,
    /// Its format is unknown.
    Format(u16),
    /// It belongs to another owner.
    Owner(String),
    /// Its contents or its key differ from what was written.
    Checksum,
    /// The database file is corrupt.
    File(String),
}

impl fmt::Display for Corruption {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form => f.write_str("it has no record's form"),
            Self::Format(found) => write!(
                f,
                "its format is {found}, this program reads up to {FORMAT}"
            ),
            Self::Owner(found) => write!(f, "its owner is {found:?}"),
            Self::Checksum => f.write_str("its checksum does not match"),
            Self::File(detail) => write!(f, "the file does not hold together: {detail}"),
        }
    }
}

impl std::error::Error for Corruption {}

fn checksum(format: u16, owner: &[u8], collection: &str, number: u64, payload: &[u8]) -> u64 {
    let mut sum = Xxh3::new();
    // Includes the lengths, so that no byte can move from one part to the next undetected.
    for part in [
        &format.to_le_bytes()[..],
        owner,
        collection.as_bytes(),
        &number.to_le_bytes(),
        payload,
    ] {
        sum.update(&(part.len() as u64).to_le_bytes());
        sum.update(part);
    }
    sum.digest()
}

/// Encodes the record of a payload. The owner's name must have at most [`MAX_OWNER_BYTES`] bytes,
/// which [`crate::Store`] checks.
pub(crate) fn encode(owner: &str, collection: &str, number: u64, payload: &[u8]) -> Vec<u8> {
    let owner = owner.as_bytes();
    let mut record = Vec::with_capacity(HEADER_BYTES + owner.len() + payload.len());
    record.extend(MAGIC);
    record.extend(FORMAT.to_le_bytes());
    record.push(u8::try_from(owner.len()).unwrap_or(u8::MAX));
    record.extend(checksum(FORMAT, owner, collection, number, payload).to_le_bytes());
    record.extend(owner);
    record.extend(payload);
    record
}

/// Decodes and checks a record; returns its payload.
pub(crate) fn decode<'r>(
    owner: &str,
    collection: &str,
    number: u64,
    record: &'r [u8],
) -> Result<&'r [u8], Corruption> {
    let (head, rest) = record
        .split_at_checked(HEADER_BYTES)
        .ok_or(Corruption::Form)?;
    if head[..2] != MAGIC {
        return Err(Corruption::Form);
    }
    let format = u16::from_le_bytes([head[2], head[3]]);
    if format != FORMAT {
        return Err(Corruption::Format(format));
    }
    let (name, payload) = rest
        .split_at_checked(usize::from(head[4]))
        .ok_or(Corruption::Form)?;
    let sum = head[5..]
        .try_into()
        .map(u64::from_le_bytes)
        .map_err(|_| Corruption::Form)?;
    if sum != checksum(format, name, collection, number, payload) {
        return Err(Corruption::Checksum);
    }
    if name != owner.as_bytes() {
        return Err(Corruption::Owner(
            String::from_utf8_lossy(name).into_owned(),
        ));
    }
    Ok(payload)
}

#[cfg(test)]
mod tests;
