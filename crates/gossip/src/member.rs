//! The identity of a member.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A running process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where its datagrams arrive, and leave.
    pub address: SocketAddr,
    /// Its name, the same over all its incarnations.
    pub name: String,
    /// Its zone; empty where there is none.
    pub zone: String,
    /// Grows with each start.
    pub incarnation: u64,
}

impl Member {
    /// Someone of whom only the address is known.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            name: String::new(),
            zone: String::new(),
            incarnation: 0,
        }
    }
}

/// One address is one member; the later life of two wins. Who was declared dead by mistake comes
/// back by itself under the next number.
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
