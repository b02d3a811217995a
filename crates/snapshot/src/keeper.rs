//! The stored state over two stores: begins an incarnation, and commits changes.

use crate::Micros;
use crate::belief::plausible;
use crate::directory::{FileKind, Place};
use crate::form::{self, Unread};
use crate::known::{Changes, Known};
use load_balancer_record_store::{Change, Store, Trouble};
use std::path::PathBuf;

/// Where the highest incarnation that was ever given lies among the numbers.
const INCARNATION: &str = "incarnation";

/// Something that was set aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Aside {
    /// Where it lies now.
    pub file: PathBuf,
    /// Why.
    pub why: String,
}

/// What a start found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// What was kept and is plausible.
    pub known: Known,
    /// This life's incarnation: the clock's time in microseconds, or one more than any that was given before where
    /// that is higher. It is on the disk.
    pub incarnation: u64,
    /// What was set aside.
    pub asides: Vec<Aside>,
}

/// The stores of one owner, in a life that has begun.
#[derive(Debug)]
pub struct Keeper {
    store: Store,
}

impl Keeper {
    /// Begins a life at this time: reads what is kept, sets aside what cannot be, and reserves its incarnation.
    ///
    /// # Errors
    /// The disk does not do what is asked; what it has kept stays.
    pub fn begin(place: &dyn Place, owner: &str, now: Micros) -> Result<(Self, Found), Trouble> {
        let mut asides = Vec::new();
        let incarnation = incarnation(place, owner, now, &mut asides)?;
        let store = opened(place, FileKind::Known, owner, &mut asides)?;
        let read = match form::read(&store) {
            Ok(known) => plausible(&known, now).map(|()| known),
            Err(Unread::Trouble(trouble)) => return Err(trouble),
            Err(unread) => Err(unread.to_string()),
        };
        let (store, known) = match read {
            Ok(known) => (store, known),
            Err(why) => {
                drop(store);
                asides.push(Aside {
                    file: place.set_aside(FileKind::Known)?,
                    why,
                });
                (
                    opened(place, FileKind::Known, owner, &mut asides)?,
                    Known::default(),
                )
            }
        };
        Ok((
            Self { store },
            Found {
                known,
                incarnation,
                asides,
            },
        ))
    }

    /// Keeps changes, all or none; how many bytes of payload they were. They are on the disk when this returns.
    ///
    /// # Errors
    /// The disk does not take them. Whether they are kept is not known then: begin anew.
    pub fn keep(&self, changes: &Changes) -> Result<u64, Trouble> {
        form::write(&self.store, changes)
    }
}

fn opened(
    place: &dyn Place,
    file: FileKind,
    owner: &str,
    asides: &mut Vec<Aside>,
) -> Result<Store, Trouble> {
    let opened = place.open(file, owner)?;
    asides.extend(opened.aside.map(|aside| Aside {
        file: aside.file,
        why: aside.why.to_string(),
    }));
    Ok(opened.store)
}

/// One that was never given before, on the disk before anybody hears of it.
fn incarnation(
    place: &dyn Place,
    owner: &str,
    now: Micros,
    asides: &mut Vec<Aside>,
) -> Result<u64, Trouble> {
    let store = opened(place, FileKind::Numbers, owner, asides)?;
    let last = last_incarnation(&store)?;
    let next = last
        .checked_add(1)
        .ok_or_else(|| Trouble("all incarnations are used up".to_owned()))?;
    let given = next.max(now.max(0).unsigned_abs());
    store.commit(&[Change::Put(INCARNATION, 0, &given.to_le_bytes())])?;
    Ok(given)
}

/// The highest that was ever given; 0 before any.
pub(crate) fn last_incarnation(store: &Store) -> Result<u64, Trouble> {
    let Some(bytes) = store.get(INCARNATION, 0)? else {
        return Ok(0);
    };
    let number = bytes.try_into().map(u64::from_le_bytes);
    number.map_err(|_| Trouble("the last incarnation has no number's form".to_owned()))
}
