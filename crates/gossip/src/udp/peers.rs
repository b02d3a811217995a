//! The other members, for whoever hosts message parts of its own.

use super::Fleet;
use crate::core::Peers;

impl Fleet {
    /// The hash of the own name.
    pub fn origin(&self) -> u64 {
        self.core.borrow().origin()
    }

    /// Who is there; see [`Peers`].
    pub fn peers(&self) -> Peers {
        self.with(|core, now| core.peers(now))
    }
}
