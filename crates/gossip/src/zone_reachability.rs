//! The state of one other zone: reachable, lost in one direction or both, or found again.
//!
//! A zone that nobody here has heard for [`DOUBT`] is asked, by more members at a time the longer
//! it lasts; it is lost at [`LOST`], which leaves three probe periods of a second with the ticks
//! and the skew of clocks on top. Asking makes the difference between silence and loss: with three
//! datagrams in ten lost each way 26 answers fail together once in 40 million doubts that nobody
//! else of the zone could end. Only what can have been answered counts as unanswered.

use crate::connectivity::Direction;
use crate::zone_contacts::ZoneContacts;
use crate::{Micros, SECOND};

/// Silence from which on a zone is asked: some gaps between two words from it to anybody of the own
/// zone.
pub const DOUBT: Micros = 12 * SECOND / 10;
/// Silence from which on it is lost, where it was asked often enough.
pub const LOST: Micros = 26 * SECOND / 10;
/// The same where it is its word on this zone that grows old: that comes by views alone, so it is
/// older as a rule, also at the beginning of a cut.
const DOUBT_TOLD: Micros = 16 * SECOND / 10;
const LOST_TOLD: Micros = 28 * SECOND / 10;
/// A zone that is not heard tells through a third one that it hears: two more zones' updates, each
/// of some seconds.
const LOST_THROUGH: Micros = 9 * SECOND;
/// Own silence from which on it is lost whatever others of the own zone say: one that lies hides
/// nothing for longer.
const OWN_LOST: Micros = 6 * SECOND;
/// How often it is asked before that, by how many probes at a time (one at first, as most doubts
/// end with it), and how many must have stayed without answer.
pub const ROUND: Micros = SECOND / 5;
const FIRST: u32 = 2;
const PROBES: u32 = 6;
pub const ASKED: u32 = 26;
const ASKED_OWN: u32 = 40;
/// How often a lost one is asked.
pub const ROUND_LOST: Micros = 2 * SECOND;
/// How long it must be heard before it is found again, so that a way that comes and goes stays
/// lost.
pub const FOUND: Micros = 2 * SECOND;
/// Members of a zone, and its part of all, below which it is heard too seldom for this: such a one
/// is lost once membership misses all of them.
const FEW: usize = 3;
const SMALL_PART: usize = 8;

/// What is known of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneFacts {
    /// Hash of its name.
    pub zone: u64,
    /// Members known to run there, this one included.
    pub running: usize,
    /// Those, and the ones that were missed when it was lost.
    pub known: usize,
    /// When an endpoint there last served this member.
    pub served: Option<Micros>,
    /// Discovery answered of late, and names ready endpoints there, or none.
    pub listed: Option<bool>,
}

/// Probes since somebody was heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSchedule {
    next: Micros,
    /// How many.
    pub asked: u32,
}

impl ProbeSchedule {
    /// How many are to be sent now.
    pub fn round(&mut self, now: Micros, pause: Micros) -> usize {
        if now < self.next {
            return 0;
        }
        self.next = now + pause;
        let probes = if self.asked < FIRST { 1 } else { PROBES };
        self.asked = self.asked.saturating_add(probes);
        probes as usize
    }
}

#[derive(Clone, Copy, Debug)]
struct Silent {
    /// When that was concluded.
    at: Micros,
    direction: Direction,
    died: bool,
    heard_since: Option<Micros>,
}

/// One zone, followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneReachability {
    asking: ProbeSchedule,
    silent: Option<Silent>,
}

/// What came of a look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneAssessment {
    /// Members of it to be asked.
    pub ask: usize,
    /// It may be lost in a moment.
    pub doubted: bool,
    /// When to look again.
    pub next: Micros,
}

impl ZoneReachability {
    /// Which way it is lost, where it did not die.
    pub fn lost(&self) -> Option<Direction> {
        self.silent.filter(|s| !s.died).map(|s| s.direction)
    }

    /// It died.
    pub fn died(&self) -> bool {
        self.silent.is_some_and(|s| s.died)
    }

    /// It is not heard.
    pub fn silent(&self) -> bool {
        self.silent
            .is_some_and(|s| s.direction != Direction::ToThem)
    }

    /// When it was lost.
    pub fn at(&self) -> Option<Micros> {
        self.silent.map(|s| s.at)
    }

    /// Looks at it for a member of zone `here`; `all` members are known, and nothing before
    /// `baseline` says anything.
    pub fn look(
        &mut self,
        now: Micros,
        (here, z, all): (u64, &ZoneFacts, usize),
        heard: &ZoneContacts,
        baseline: Micros,
    ) -> ZoneAssessment {
        let age = |at: Option<Micros>| now - at.unwrap_or(baseline).max(baseline);
        let (from, to) = (age(heard.last(here, z.zone)), age(heard.last(z.zone, here)));
        let small = z.known < FEW || z.known * SMALL_PART < all;
        let doubted = !small && (from > DOUBT || to > DOUBT_TOLD);
        let (mut ask, mut lost) = (
            0,
            (z.running == 0 && z.known > 0, z.running == 0 && z.known > 0),
        );
        if !small {
            // What is asked now cannot have been answered yet.
            let before = self.asking.asked;
            let own = age(heard.own(z.zone)).min(age(heard.acked(z.zone)));
            if doubted || own >= OWN_LOST / 2 {
                let gone = self.silent.is_some_and(|s| s.heard_since.is_none());
                ask = self
                    .asking
                    .round(now, if gone { ROUND_LOST } else { ROUND });
            } else {
                self.asking.asked = 0;
            }
            let asked = |n: u32| before >= n;
            let from_lost = (from >= LOST && asked(ASKED)) || (own >= OWN_LOST && asked(ASKED_OWN));
            lost = (from_lost, to >= LOST_TOLD && asked(ASKED));
        }
        let was = self.silent.map(|s| s.direction);
        let heard_since = |s: Silent| heard.last(z.zone, here).is_some_and(|at| at > s.at);
        let direction = match (lost, self.silent) {
            ((true, _), _) if to >= LOST_THROUGH => Some(Direction::Both),
            ((true, _), Some(s)) if s.direction == Direction::FromThem || heard_since(s) => {
                Some(Direction::FromThem)
            }
            ((true, _), None) if to <= DOUBT_TOLD => Some(Direction::FromThem),
            ((true, _), _) => Some(Direction::Both),
            // Silence that is not yet loss may be the same cut, of which their word came a little
            // later.
            ((false, true), _) if from <= DOUBT => Some(Direction::ToThem),
            ((false, true), _) => was,
            ((false, false), _) => None,
        };
        match (&mut self.silent, direction) {
            (None, None) => {}
            (None, Some(direction)) => {
                self.silent = Some(Silent {
                    at: now,
                    direction,
                    died: false,
                    heard_since: None,
                })
            }
            (Some(silent), Some(direction)) => {
                (silent.direction, silent.heard_since) = (direction, None)
            }
            (Some(silent), None) => {
                if !doubted {
                    silent.heard_since.get_or_insert(now);
                }
                if silent.heard_since.is_some_and(|since| now - since >= FOUND) {
                    *self = Self::default();
                }
            }
        }
        if let Some(silent) = &mut self.silent {
            // Members of other zones and servers there speak for its incarnation, then discovery;
            // where nobody can tell, it is cut off.
            let lives = silent.direction != Direction::Both
                || heard.elsewhere(here, z.zone, silent.at)
                || z.served.is_some_and(|at| at > silent.at);
            silent.died = !lives && z.listed == Some(false);
        }
        let calm = (DOUBT - from).min(DOUBT_TOLD - to).max(0) + 1;
        let next = now + if doubted { ROUND / 2 } else { calm };
        ZoneAssessment {
            ask,
            doubted: doubted && self.silent.is_none(),
            next,
        }
    }
}

#[cfg(test)]
mod tests;
