//! The other members by number, for message parts that are carried.

use super::Core;
use crate::roster::Left;
use crate::standing::Bindings;
use crate::{Micros, SECOND};

/// One who said that it leaves and has not come back for so long is gone: a restart takes a few seconds.
const RETURNS: Micros = 30 * SECOND;

/// Who is there, each by the hash of its name.
#[derive(Clone, Debug)]
pub struct Others {
    /// This member and those that are known to run.
    pub running: Vec<u64>,
    /// These and all who may run without being heard: whoever is missed and did not say that it leaves, until it is
    /// forgotten. Nobody where none of the members that it should ask at its start was ever heard of.
    pub known: Vec<u64>,
    /// What its standing lets it do with bindings.
    pub bindings: Bindings,
}

impl Core {
    /// The hash of the own name.
    pub fn origin(&self) -> u64 {
        self.origin
    }

    /// Who is there.
    pub fn others(&self, now: Micros) -> Others {
        let mut running: Vec<u64> = self.by_origin.keys().copied().collect();
        running.push(self.origin);
        let left = |left: &Option<(Left, Micros)>| match left {
            Some((Left::SaidSo, at)) => now - *at >= RETURNS,
            _ => false,
        };
        let mut known: Vec<u64> = self
            .roster
            .entries()
            .filter(|(_, e)| !left(&e.left))
            .map(|(origin, _)| origin)
            .collect();
        if !known.is_empty() || self.seeds.is_empty() {
            known.push(self.origin);
        }
        Others {
            running,
            known,
            bindings: self.standing().kind.may().bindings,
        }
    }
}
