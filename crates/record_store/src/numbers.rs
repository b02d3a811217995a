//! Numbers that are never given twice, whatever is lost: a range is on disk before its first number
//! is used.

use crate::store::{Change, Store, StoreError};

/// The room of reserved numbers.
const COLLECTION: &str = "number";

/// One row of numbers of a store, from 1 upwards; a restart skips the rest of the range that was
/// reserved.
#[derive(Debug)]
pub struct ReservedNumbers {
    row: u64,
    range: u64,
    next: u64,
    /// The first that is not reserved.
    end: u64,
}

impl ReservedNumbers {
    /// The row with this number, reserving `range` at a time (at least 1): a larger one writes less
    /// often and skips more at a restart.
    ///
    /// # Errors
    /// The disk cannot be read.
    pub fn of(store: &Store, row: u64, range: u64) -> Result<Self, StoreError> {
        let kept = store.get(COLLECTION, row)?;
        let end = match kept {
            None => 1,
            Some(bytes) => bytes
                .try_into()
                .map(u64::from_le_bytes)
                .map_err(|_| StoreError("a reserved number has no number's form".to_owned()))?,
        };
        Ok(Self {
            row,
            range: range.max(1),
            next: end,
            end,
        })
    }

    /// A number that was never given before.
    ///
    /// # Errors
    /// The disk does not take the next range, or all numbers are used up; none is given then.
    pub fn next(&mut self, store: &Store) -> Result<u64, StoreError> {
        if self.next >= self.end {
            let end = self.end.checked_add(self.range);
            let end = end.ok_or_else(|| StoreError("all numbers are used up".to_owned()))?;
            store.commit(&[Change::Put(COLLECTION, self.row, &end.to_le_bytes())])?;
            self.end = end;
        }
        let given = self.next;
        self.next += 1;
        Ok(given)
    }
}
