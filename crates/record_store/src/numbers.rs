//! Numbers that are never issued twice, in spite of crashes: a range is durable before its first
//! number is used.

use crate::store::{Change, Store, StoreError};

/// The collection of reserved numbers.
const COLLECTION: &str = "number";

/// A sequence of numbers in a store, from 1 upwards; a restart skips the rest of the reserved
/// range.
#[derive(Debug)]
pub struct ReservedNumbers {
    sequence: u64,
    range: u64,
    next: u64,
    /// The first number that is not reserved.
    reserved_until: u64,
}

impl ReservedNumbers {
    /// Loads a sequence that reserves `range` numbers at a time (at least 1): a larger range is
    /// written less often and skips more numbers at a restart.
    ///
    /// # Errors
    /// The disk can't be read.
    pub fn load(store: &Store, row: u64, range: u64) -> Result<Self, StoreError> {
        let stored = store.get(COLLECTION, row)?;
        let end = match stored {
            None => 1,
            Some(bytes) => bytes
                .try_into()
                .map(u64::from_le_bytes)
                .map_err(|_| StoreError("a reserved number has no number's form".to_owned()))?,
        };
        Ok(Self {
            sequence: row,
            range: range.max(1),
            next: end,
            reserved_until: end,
        })
    }

    /// A number that was never issued before.
    ///
    /// # Errors
    /// The next range can't be written, or all numbers are used up; no number is issued then.
    pub fn next(&mut self, store: &Store) -> Result<u64, StoreError> {
        if self.next >= self.reserved_until {
            let end = self.reserved_until.checked_add(self.range);
            let end = end.ok_or_else(|| StoreError("all numbers are used up".to_owned()))?;
            store.commit(&[Change::Put(COLLECTION, self.sequence, &end.to_le_bytes())])?;
            self.reserved_until = end;
        }
        let number = self.next;
        self.next += 1;
        Ok(number)
    }
}
