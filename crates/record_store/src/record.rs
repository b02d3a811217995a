//! The format of one record and the checks on it.

use std::fmt;
use xxhash_rust::xxh3::Xxh3;

/// The version of the format that is written. Older ones that can be read will be read beside it;
/// newer ones are refused, as nobody knows what they mean.
pub const FORMAT: u16 = 1;
/// Longest name of an owner, in bytes: its length is one byte of the record.
pub const MAX_OWNER_BYTES: usize = 255;
/// First bytes of every record, so that other data is told from a record of ours.
const MARK: [u8; 2] = *b"lp";
/// Mark, format, length of the owner's name, checksum.
const HEAD: usize = 2 + 2 + 1 + 8;

/// Why a record is not believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Corruption {
    /// It is not a record, or its end is missing.
    Form,
    /// Its format is not one that this program reads.
    Format(u16),
    /// It belongs to somebody else.
    Owner(String),
    /// Its bytes or its place are not those that were written.
    Checksum,
    /// The file under the records does not hold together.
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
            Self::File(what) => write!(f, "the file does not hold together: {what}"),
        }
    }
}

impl std::error::Error for Corruption {}

fn checksum(format: u16, owner: &[u8], collection: &str, number: u64, payload: &[u8]) -> u64 {
    let mut sum = Xxh3::new();
    // Lengths go in too: no byte can move from one part to the next unseen.
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

/// The record of `payload` at its place. The owner's name is at most [`MAX_OWNER_BYTES`] bytes, which
/// [`crate::Store`] has seen to.
pub(crate) fn seal(owner: &str, collection: &str, number: u64, payload: &[u8]) -> Vec<u8> {
    let owner = owner.as_bytes();
    let mut record = Vec::with_capacity(HEAD + owner.len() + payload.len());
    record.extend(MARK);
    record.extend(FORMAT.to_le_bytes());
    record.push(u8::try_from(owner.len()).unwrap_or(u8::MAX));
    record.extend(checksum(FORMAT, owner, collection, number, payload).to_le_bytes());
    record.extend(owner);
    record.extend(payload);
    record
}

/// The payload of the record at its place.
pub(crate) fn open<'r>(
    owner: &str,
    collection: &str,
    number: u64,
    record: &'r [u8],
) -> Result<&'r [u8], Corruption> {
    let (head, rest) = record.split_at_checked(HEAD).ok_or(Corruption::Form)?;
    if head[..2] != MARK {
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
