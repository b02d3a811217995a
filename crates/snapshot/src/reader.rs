//! Reads a state directory without touching it: each file is copied into memory and read there.

use crate::Micros;
use crate::directory::FileKind;
use crate::encoding;
use crate::snapshot::Snapshot;
use crate::snapshot_store::last_incarnation;
use crate::validation::check_plausible;
use load_balancer_record_store::disk::Disk;
use load_balancer_record_store::{Corruption, OpenError, Store};
use std::path::Path;
use std::time::Duration;

/// A file that is being written may be copied half old, half new: it is copied so often in all, so
/// long apart.
const COPIES: usize = 10;
const APART: Duration = Duration::from_millis(20);

/// What a directory holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Contents {
    /// Whose it is, cluster and name.
    pub owner: Option<String>,
    /// The highest incarnation that was given.
    pub incarnation: Option<u64>,
    /// What is kept.
    pub known: Snapshot,
    /// What a start would not believe, file by file.
    pub problems: Vec<String>,
}

/// Reads a directory, of a sidecar that runs or a copied one.
pub fn contents(directory: &Path, now: Micros) -> Contents {
    let mut contents = Contents::default();
    let known = copied(directory, FileKind::Snapshot, |store| {
        let known = encoding::read(store).map_err(|e| e.to_string())?;
        check_plausible(&known, now).map(|()| known)
    });
    let numbers = copied(directory, FileKind::Numbers, |store| {
        last_incarnation(store).map_err(|e| e.to_string())
    });
    match known {
        Ok((owner, known)) => (contents.owner, contents.known) = (Some(owner), known),
        Err(why) => contents.problems.push(why),
    }
    match numbers {
        Ok((owner, last)) => {
            if contents.owner.as_ref().is_some_and(|other| *other != owner) {
                contents.problems.push(format!(
                    "{}: its owner is {owner:?}",
                    FileKind::Numbers.name()
                ));
            }
            contents.owner.get_or_insert(owner);
            contents.incarnation = Some(last);
        }
        Err(why) => contents.problems.push(why),
    }
    contents
}

/// What is read of a copy of a file, and whose it is.
fn copied<T>(
    directory: &Path,
    file: FileKind,
    read: impl Fn(&Store) -> Result<T, String>,
) -> Result<(String, T), String> {
    let path = directory.join(file.name());
    let mut last = String::new();
    for copy in 0..COPIES {
        if copy > 0 {
            std::thread::sleep(APART);
        }
        let bytes = std::fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        match opened(&bytes).and_then(|(owner, store)| read(&store).map(|it| (owner, it))) {
            Ok(found) => return Ok(found),
            Err(why) => last = why,
        }
    }
    Err(format!("{}: {last}", path.display()))
}

/// The store in these bytes, and whose it is: the record that is refused to nobody says so.
fn opened(bytes: &[u8]) -> Result<(String, Store), String> {
    if bytes.is_empty() {
        return Err("it is empty".to_owned());
    }
    let owner = match Store::on(Disk::holding(bytes.to_vec()), "") {
        Err(OpenError::Corruption(Corruption::Owner(owner))) => owner,
        Err(refusal) => return Err(refusal.to_string()),
        Ok(_) => String::new(),
    };
    let store = Store::on(Disk::holding(bytes.to_vec()), &owner).map_err(|e| e.to_string())?;
    Ok((owner, store))
}
