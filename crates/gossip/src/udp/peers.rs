//! The other members, for the hosts of message fragments.

use super::GossipHandle;
use crate::core::Peers;

impl GossipHandle {
    /// Returns the hash of this member's name.
    pub fn origin(&self) -> u64 {
        self.core.borrow().origin()
    }

    /// Returns the known members; see [`Peers`].
    pub fn peers(&self) -> Peers {
        self.with(|core, now| core.peers(now))
    }
}
