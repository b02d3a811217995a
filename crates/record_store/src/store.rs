//! Tables of records over one redb database.

use crate::record::{self, Broken, LONGEST_OWNER};
use redb::{
    Database, DatabaseError, ReadableDatabase, ReadableTable, StorageError, TableDefinition,
};
use std::fmt;
use std::io::ErrorKind;
use std::path::Path;

/// All records: by room, then number.
const RECORDS: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("records");
/// The room whose only record says whose store it is: one without any other record is checked too.
const OWNER: &str = ".owner";
/// Memory for pages, in bytes: callers keep what they use themselves, records are read at the start alone.
const CACHE: usize = 1 << 20;

/// The disk did not do what was asked. What was to be committed may or may not be kept: the caller must not go on
/// as if it knew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble(pub String);

impl Trouble {
    pub(crate) fn of(what: impl fmt::Display) -> Self {
        Self(what.to_string())
    }
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Trouble {}

/// Why a store was not opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// What is kept cannot be believed: set it aside and begin anew.
    Broken(Broken),
    /// The disk cannot be used, or another process uses the store: what is kept may be whole.
    Trouble(Trouble),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(broken) => broken.fmt(f),
            Self::Trouble(trouble) => trouble.fmt(f),
        }
    }
}

impl std::error::Error for Refusal {}

impl From<DatabaseError> for Refusal {
    fn from(error: DatabaseError) -> Self {
        let file = |what: &dyn fmt::Display| Self::Broken(Broken::File(what.to_string()));
        match &error {
            DatabaseError::Storage(StorageError::Corrupted(what)) => file(what),
            DatabaseError::Storage(StorageError::Io(e))
                if matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
                file(e)
            }
            DatabaseError::UpgradeRequired(_) | DatabaseError::RepairAborted => file(&error),
            _ => Self::Trouble(Trouble::of(error)),
        }
    }
}

/// One step of a commit.
#[derive(Clone, Copy, Debug)]
pub enum Change<'a> {
    /// Keeps a payload at a place, over what was there.
    Put(&'a str, u64, &'a [u8]),
    /// Removes what a room holds from this number on, itself included.
    RemoveFrom(&'a str, u64),
    /// Removes what a room holds below this number.
    RemoveBelow(&'a str, u64),
}

/// An open store, all of whose records were found whole.
#[derive(Debug)]
pub struct Store {
    records: Database,
    owner: String,
}

impl Store {
    /// Opens what a backend holds, or begins in an empty one, for `owner`.
    ///
    /// # Errors
    /// [`Refusal::Broken`] where a page, a record or the owner's name is not as written; [`Refusal::Trouble`] where
    /// the backend fails or the owner's name is longer than [`LONGEST_OWNER`] bytes.
    pub fn on(backend: impl redb::StorageBackend, owner: &str) -> Result<Self, Refusal> {
        Self::checked(builder().create_with_backend(backend)?, owner)
    }

    /// The same in a file.
    pub(crate) fn at(path: &Path, owner: &str) -> Result<Self, Refusal> {
        Self::checked(builder().create(path)?, owner)
    }

    fn checked(records: Database, owner: &str) -> Result<Self, Refusal> {
        if owner.len() > LONGEST_OWNER {
            let what = format!("the owner's name is longer than {LONGEST_OWNER} bytes");
            return Err(Refusal::Trouble(Trouble(what)));
        }
        let store = Self {
            records,
            owner: owner.to_owned(),
        };
        match store.check() {
            Ok(0) => {
                store
                    .commit(&[Change::Put(OWNER, 0, &[])])
                    .map_err(Refusal::Trouble)?;
                Ok(store)
            }
            Ok(_) => Ok(store),
            Err(refusal) => Err(refusal),
        }
    }

    /// Checks every record; how many there are.
    fn check(&self) -> Result<usize, Refusal> {
        let trouble = |e: redb::Error| match e {
            redb::Error::Corrupted(what) => Refusal::Broken(Broken::File(what)),
            e => Refusal::Trouble(Trouble::of(e)),
        };
        let read = self.records.begin_read().map_err(|e| trouble(e.into()))?;
        let table = match read.open_table(RECORDS) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(0),
            Err(e) => return Err(Refusal::Broken(Broken::File(e.to_string()))),
        };
        let mut count = 0;
        for row in table.iter().map_err(|e| trouble(e.into()))? {
            let (place, record) = row.map_err(|e| trouble(e.into()))?;
            let (room, number) = place.value();
            record::open(&self.owner, room, number, record.value()).map_err(Refusal::Broken)?;
            count += 1;
        }
        Ok(count)
    }

    /// The payload at a place.
    ///
    /// # Errors
    /// The disk cannot be read, or the record is no longer what was checked at the start.
    pub fn get(&self, room: &str, number: u64) -> Result<Option<Vec<u8>>, Trouble> {
        let read = self.records.begin_read().map_err(Trouble::of)?;
        let table = read.open_table(RECORDS).map_err(Trouble::of)?;
        let Some(record) = table.get((room, number)).map_err(Trouble::of)? else {
            return Ok(None);
        };
        record::open(&self.owner, room, number, record.value())
            .map(|p| Some(p.to_vec()))
            .map_err(Trouble::of)
    }

    /// All that a room holds, in the order of its numbers.
    ///
    /// # Errors
    /// As [`Store::get`].
    pub fn room(&self, room: &str) -> Result<Vec<(u64, Vec<u8>)>, Trouble> {
        let read = self.records.begin_read().map_err(Trouble::of)?;
        let table = read.open_table(RECORDS).map_err(Trouble::of)?;
        let rows = table
            .range((room, 0)..=(room, u64::MAX))
            .map_err(Trouble::of)?;
        rows.map(|row| {
            let (place, record) = row.map_err(Trouble::of)?;
            let number = place.value().1;
            let payload =
                record::open(&self.owner, room, number, record.value()).map_err(Trouble::of)?;
            Ok((number, payload.to_vec()))
        })
        .collect()
    }

    /// Makes all changes or none, in their order. They are on the disk when this returns.
    ///
    /// # Errors
    /// The disk does not take them; whether it keeps them is not known then.
    pub fn commit(&self, changes: &[Change<'_>]) -> Result<(), Trouble> {
        let write = self.records.begin_write().map_err(Trouble::of)?;
        {
            let mut table = write.open_table(RECORDS).map_err(Trouble::of)?;
            for change in changes {
                match *change {
                    Change::Put(room, number, payload) => {
                        let record = record::seal(&self.owner, room, number, payload);
                        table
                            .insert((room, number), record.as_slice())
                            .map_err(Trouble::of)?;
                    }
                    Change::RemoveFrom(room, first) => table
                        .retain_in((room, first)..=(room, u64::MAX), |_, _| false)
                        .map_err(Trouble::of)?,
                    Change::RemoveBelow(room, end) => {
                        table
                            .retain_in((room, 0)..(room, end), |_, _| false)
                            .map_err(Trouble::of)?;
                    }
                }
            }
        }
        write.commit().map_err(Trouble::of)
    }
}

fn builder() -> redb::Builder {
    let mut builder = Database::builder();
    // Every page of the trees is compared with its checksum before anything is believed.
    builder
        .set_cache_size(CACHE)
        .set_check_integrity_on_open(true);
    builder
}
