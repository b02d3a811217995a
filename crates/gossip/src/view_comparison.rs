//! Compares the membership views of other members with that of this one.

use crate::Micros;
use crate::SECOND;
use std::collections::VecDeque;

/// Number of parts of a digest. About as many parts differ as members do; from about 110 differing
/// members on all parts do, and the number cannot be estimated.
pub const DIGEST_PARTS: usize = 32;
/// Fraction of the members by which views may differ: one or two members may be updates in
/// progress, or lost by one member only.
const MAX_DIFFERING_FRACTION: f64 = 0.05;
/// Number of recent comparisons that are considered.
const COMPARISONS: usize = 8;
/// Maximum propagation time of a failure: a probe, 4 s of suspicion and a few hops. A difference
/// that lasts longer is a real one.
pub const MAX_PROPAGATION_TIME: Micros = 10 * SECOND;
/// How long views must agree before they no longer count as divergent, which prevents flapping.
const AGREEMENT_TIME: Micros = 2 * SECOND;

/// Digest of a view: the known running members by the hash of their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest {
    parts: [u8; DIGEST_PARTS],
    members: usize,
}

impl Digest {
    /// Returns the digest of these members, which include the one with this view.
    pub fn from_origins(origins: impl Iterator<Item = u64>) -> Self {
        let mut digest = Self {
            parts: [0; DIGEST_PARTS],
            members: 0,
        };
        for origin in origins {
            digest.members += 1;
            // Names are hashed already: the low bits select the part, other bits are mixed into it.
            digest.parts[(origin % DIGEST_PARTS as u64) as usize] ^= ((origin >> 8) as u8).max(1);
        }
        digest
    }

    /// Reconstructs a received digest.
    pub fn from_parts(parts: [u8; DIGEST_PARTS], members: u32) -> Self {
        Self {
            parts,
            members: members as usize,
        }
    }

    /// Returns the parts and the number of members, for sending.
    pub fn parts(&self) -> ([u8; DIGEST_PARTS], u32) {
        (self.parts, u32::try_from(self.members).unwrap_or(u32::MAX))
    }

    /// Returns whether two views differ by more than they may. The number of differing members is
    /// estimated from the number of equal parts (linear counting: Whang et al., ACM TODS 15, 1990,
    /// p. 208).
    pub fn differs(&self, other: &Self) -> bool {
        let equal_parts = self
            .parts
            .iter()
            .zip(&other.parts)
            .filter(|(a, b)| a == b)
            .count();
        let members = self.members.max(other.members) as f64;
        let differing_members =
            DIGEST_PARTS as f64 * (DIGEST_PARTS as f64 / equal_parts.max(1) as f64).ln();
        equal_parts == 0 || differing_members > MAX_DIFFERING_FRACTION * members
    }
}

/// The results of recent comparisons.
#[derive(Clone, Debug, Default)]
pub struct ViewComparison {
    recent: VecDeque<bool>,
    /// Whether most comparisons differ, and since when.
    majority: Option<(bool, Micros)>,
    divergent: bool,
}

impl ViewComparison {
    /// Records the result of a comparison.
    pub fn record(&mut self, now: Micros, differs: bool) {
        if self.recent.len() == COMPARISONS {
            self.recent.pop_front();
        }
        self.recent.push_back(differs);
        let differing = self.recent.iter().filter(|d| **d).count();
        let majority_differs = 2 * differing > COMPARISONS;
        if self
            .majority
            .is_none_or(|(differed, _)| differed != majority_differs)
        {
            self.majority = Some((majority_differs, now));
        }
    }

    /// Returns whether views have differed for longer than updates take to propagate.
    pub fn is_divergent(&mut self, now: Micros) -> bool {
        match self.majority {
            Some((true, since)) if now - since >= MAX_PROPAGATION_TIME => self.divergent = true,
            Some((false, since)) if now - since >= AGREEMENT_TIME => self.divergent = false,
            _ => {}
        }
        self.divergent
    }
}

#[cfg(test)]
mod tests;
