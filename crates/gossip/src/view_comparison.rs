//! Compares the membership views of other members with this one's.

use crate::Micros;
use crate::SECOND;
use std::collections::VecDeque;

/// Parts of a digest. As many differ as differing members fall into; from some 110 on all do, and
/// no number can be told.
pub const PARTS: usize = 32;
/// Part of the members by which views may differ: a member or two are news under way, or lost to
/// somebody.
const ALIKE: f64 = 0.05;
/// Comparisons that are held against each other.
const COMPARED: usize = 8;
/// News of a death need a probe, 4 s of suspicion and some hops; a difference that outlasts this is
/// none of news.
pub const NEWS_NEED: Micros = 10 * SECOND;
/// How long views must agree before a dispute is over, so that it does not come and go.
const SETTLED: Micros = 2 * SECOND;

/// A view in short: who is known to run, by the hash of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    parts: [u8; PARTS],
    members: usize,
}

impl Digest {
    /// Of these members, the one that sees them included.
    pub fn of(origins: impl Iterator<Item = u64>) -> Self {
        let mut digest = Self {
            parts: [0; PARTS],
            members: 0,
        };
        for origin in origins {
            digest.members += 1;
            // Names are hashed already: low bits choose the part, others are what is mixed in.
            digest.parts[(origin % PARTS as u64) as usize] ^= ((origin >> 8) as u8).max(1);
        }
        digest
    }

    /// As it was written.
    pub fn read(parts: [u8; PARTS], members: u32) -> Self {
        Self {
            parts,
            members: members as usize,
        }
    }

    /// To be written.
    pub fn parts(&self) -> ([u8; PARTS], u32) {
        (self.parts, u32::try_from(self.members).unwrap_or(u32::MAX))
    }

    /// Whether two views differ by more than they may: so many balls thrown into the parts leave
    /// the others empty (linear counting: Whang et al., ACM TODS 15, 1990, p. 208).
    pub fn differs(&self, other: &Self) -> bool {
        let same = self
            .parts
            .iter()
            .zip(&other.parts)
            .filter(|(a, b)| a == b)
            .count();
        let members = self.members.max(other.members) as f64;
        let by = PARTS as f64 * (PARTS as f64 / same.max(1) as f64).ln();
        same == 0 || by > ALIKE * members
    }
}

/// What came of comparing.
#[derive(Clone, Debug, Default)]
pub struct ViewComparison {
    last: VecDeque<bool>,
    /// Since when most differ, or most agree.
    most: Option<(bool, Micros)>,
    divergent: bool,
}

impl ViewComparison {
    /// A view was compared.
    pub fn compared(&mut self, now: Micros, differs: bool) {
        if self.last.len() == COMPARED {
            self.last.pop_front();
        }
        self.last.push_back(differs);
        let differing = self.last.iter().filter(|d| **d).count();
        let most = 2 * differing > COMPARED;
        if self.most.is_none_or(|(was, _)| was != most) {
            self.most = Some((most, now));
        }
    }

    /// Whether they differ for longer than news need.
    pub fn divergent(&mut self, now: Micros) -> bool {
        match self.most {
            Some((true, since)) if now - since >= NEWS_NEED => self.divergent = true,
            Some((false, since)) if now - since >= SETTLED => self.divergent = false,
            _ => {}
        }
        self.divergent
    }
}

#[cfg(test)]
mod tests;
