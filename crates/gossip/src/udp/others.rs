//! The other members, for whoever hosts message parts of its own.

use super::Fleet;
use crate::core::Others;

impl Fleet {
    /// The hash of the own name.
    pub fn origin(&self) -> u64 {
        self.core.borrow().origin()
    }

    /// Who is there; see [`Others`].
    pub fn others(&self) -> Others {
        self.with(|core, now| core.others(now))
    }
}
