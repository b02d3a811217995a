//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A running process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Source and destination address of its datagrams.
    pub address: SocketAddr,
    /// Its name, the same in all incarnations.
    pub name: String,
    /// Its zone; empty if there is none.
    pub zone: String,
    /// Increases with each start.
    pub incarnation: u64,
}

impl Member {
    /// A member of which only the address is known.
    pub fn with_address(address: SocketAddr) -> Self {
        Self {
            address,
            name: String::new(),
            zone: String::new(),
            incarnation: 0,
        }
    }
}

/// There is one member per address; of two the higher incarnation wins. A member that was declared
/// down by mistake rejoins with the next incarnation.
impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Self {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}
