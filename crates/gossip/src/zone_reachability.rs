//! Reachability of one other zone: reachable, lost in one or both directions, or recovering.
//!
//! A zone that no member of the own zone has heard for [`DOUBT_AFTER`] is probed, by more probes at
//! a time the longer the silence lasts, and is lost after [`LOST_AFTER`]. That leaves time for
//! three probe periods of one second, ticks and clock skew. Probes distinguish silence from loss:
//! with 30 % datagram loss in each direction, 26 probes fail together once in 40 million doubts
//! that no other member of the zone could end. Only probes that had time to be answered count as
//! unanswered.

use crate::connectivity::Direction;
use crate::zone_contacts::ZoneContacts;
use crate::{Micros, SECOND};

/// Silence after which a zone is probed: several times the usual gap between two contacts with any
/// member of the own zone.
pub const DOUBT_AFTER: Micros = 12 * SECOND / 10;
/// Silence after which a zone is lost if enough probes are unanswered.
pub const LOST_AFTER: Micros = 26 * SECOND / 10;
/// The same for its reports that it hears this zone: they arrive only with views, so they are
/// usually older, also at the start of a partition.
const DOUBT_AFTER_REPORT: Micros = 16 * SECOND / 10;
const LOST_AFTER_REPORT: Micros = 28 * SECOND / 10;
/// A silent zone reports through a third zone that it hears this one: that takes the updates of two
/// more zones, each of some seconds.
const LOST_BOTH_WAYS_AFTER: Micros = 9 * SECOND;
/// Silence towards this member after which the zone is lost whatever other members of the own zone
/// report, so that a faulty member cannot hide a loss for longer.
const LOST_AFTER_OWN_SILENCE: Micros = 6 * SECOND;
/// Interval of probes before that, the number of probes per interval (one at first, as it usually
/// ends the doubt), and the number that must be unanswered.
pub const PROBE_INTERVAL: Micros = SECOND / 5;
const SINGLE_PROBES: u32 = 2;
const PROBES_PER_ROUND: u32 = 6;
pub const UNANSWERED_UNTIL_LOST: u32 = 26;
const UNANSWERED_UNTIL_LOST_ALONE: u32 = 40;
/// Probe interval of a lost zone.
pub const LOST_PROBE_INTERVAL: Micros = 2 * SECOND;
/// How long a zone must be heard before it is reachable again, so that an intermittent connection
/// stays lost.
pub const RECOVERY_TIME: Micros = 2 * SECOND;
/// A zone with fewer members, or a smaller share of all, is heard too rarely for this: it is lost
/// once membership has lost all of its members.
const MIN_TRACKED_MEMBERS: usize = 3;
const MIN_SHARE_DIVISOR: usize = 8;

/// What is known about a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneFacts {
    /// Hash of its name.
    pub zone: u64,
    /// Members known to run there; in the own zone including this one.
    pub running: usize,
    /// Those and the ones that were lost along with the zone.
    pub known: usize,
    /// When an endpoint there last served this member.
    pub last_served: Option<Micros>,
    /// Whether discovery lists ready endpoints there; `None` without a recent answer of discovery.
    pub has_ready_endpoints: Option<bool>,
}

/// Probes of a zone since it was last heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSchedule {
    next_round: Micros,
    /// Number of probes sent.
    pub unanswered: u32,
}

impl ProbeSchedule {
    /// Returns the number of probes to send now.
    pub fn start_round(&mut self, now: Micros, interval: Micros) -> usize {
        if now < self.next_round {
            return 0;
        }
        self.next_round = now + interval;
        let probes = if self.unanswered < SINGLE_PROBES {
            1
        } else {
            PROBES_PER_ROUND
        };
        self.unanswered = self.unanswered.saturating_add(probes);
        probes as usize
    }
}

#[derive(Clone, Copy, Debug)]
struct SilentZone {
    /// When that was concluded.
    since: Micros,
    direction: Direction,
    died: bool,
    heard_since: Option<Micros>,
}

/// Reachability of one zone.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneReachability {
    probe_schedule: ProbeSchedule,
    silent: Option<SilentZone>,
}

/// Result of an assessment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneAssessment {
    /// Number of its members to probe.
    pub probes: usize,
    /// The zone may be lost soon.
    pub doubted: bool,
    /// When to assess it again.
    pub next_assessment: Micros,
}

impl ZoneReachability {
    /// Returns the direction in which the zone is lost, if it has not failed.
    pub fn lost_direction(&self) -> Option<Direction> {
        self.silent.filter(|s| !s.died).map(|s| s.direction)
    }

    /// Returns whether the zone has failed.
    pub fn is_dead(&self) -> bool {
        self.silent.is_some_and(|s| s.died)
    }

    /// Returns whether the zone cannot be heard.
    pub fn is_silent(&self) -> bool {
        self.silent
            .is_some_and(|s| s.direction != Direction::ToThem)
    }

    /// Returns when the zone was lost.
    pub fn lost_since(&self) -> Option<Micros> {
        self.silent.map(|s| s.since)
    }

    /// Assesses the zone for a member of `own_zone`; `total` members are known, and contacts before
    /// `baseline` are ignored.
    pub fn assess(
        &mut self,
        now: Micros,
        (own_zone, facts, total): (u64, &ZoneFacts, usize),
        contacts: &ZoneContacts,
        baseline: Micros,
    ) -> ZoneAssessment {
        let age = |at: Option<Micros>| now - at.unwrap_or(baseline).max(baseline);
        let (silence_from, silence_to) = (
            age(contacts.last_contact(own_zone, facts.zone)),
            age(contacts.last_contact(facts.zone, own_zone)),
        );
        let is_small = facts.known < MIN_TRACKED_MEMBERS || facts.known * MIN_SHARE_DIVISOR < total;
        let doubted = !is_small && (silence_from > DOUBT_AFTER || silence_to > DOUBT_AFTER_REPORT);
        let (mut probes, mut lost) = (
            0,
            (
                facts.running == 0 && facts.known > 0,
                facts.running == 0 && facts.known > 0,
            ),
        );
        if !is_small {
            // Probes sent now cannot have been answered yet.
            let unanswered = self.probe_schedule.unanswered;
            let own_silence = age(contacts.last_own_contact(facts.zone))
                .min(age(contacts.last_answer(facts.zone)));
            if doubted || own_silence >= LOST_AFTER_OWN_SILENCE / 2 {
                let is_unreachable = self.silent.is_some_and(|s| s.heard_since.is_none());
                probes = self.probe_schedule.start_round(
                    now,
                    if is_unreachable {
                        LOST_PROBE_INTERVAL
                    } else {
                        PROBE_INTERVAL
                    },
                );
            } else {
                self.probe_schedule.unanswered = 0;
            }
            let has_unanswered = |count: u32| unanswered >= count;
            let lost_from = (silence_from >= LOST_AFTER && has_unanswered(UNANSWERED_UNTIL_LOST))
                || (own_silence >= LOST_AFTER_OWN_SILENCE
                    && has_unanswered(UNANSWERED_UNTIL_LOST_ALONE));
            lost = (
                lost_from,
                silence_to >= LOST_AFTER_REPORT && has_unanswered(UNANSWERED_UNTIL_LOST),
            );
        }
        let previous_direction = self.silent.map(|s| s.direction);
        let heard_since = |s: SilentZone| {
            contacts
                .last_contact(facts.zone, own_zone)
                .is_some_and(|at| at > s.since)
        };
        let direction = match (lost, self.silent) {
            ((true, _), _) if silence_to >= LOST_BOTH_WAYS_AFTER => Some(Direction::Both),
            ((true, _), Some(s)) if s.direction == Direction::FromThem || heard_since(s) => {
                Some(Direction::FromThem)
            }
            ((true, _), None) if silence_to <= DOUBT_AFTER_REPORT => Some(Direction::FromThem),
            ((true, _), _) => Some(Direction::Both),
            // Silence that is not yet loss may belong to the same partition, whose reports arrived
            // a little earlier.
            ((false, true), _) if silence_from <= DOUBT_AFTER => Some(Direction::ToThem),
            ((false, true), _) => previous_direction,
            ((false, false), _) => None,
        };
        match (&mut self.silent, direction) {
            (None, None) => {}
            (None, Some(direction)) => {
                self.silent = Some(SilentZone {
                    since: now,
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
                if silent.heard_since.is_some_and(|t| now - t >= RECOVERY_TIME) {
                    *self = Self::default();
                }
            }
        }
        if let Some(silent) = &mut self.silent {
            // Contacts of other zones and servers of the zone show that it has not failed,
            // otherwise discovery decides; if nothing is known, it is partitioned.
            let is_alive = silent.direction != Direction::Both
                || contacts.heard_elsewhere(own_zone, facts.zone, silent.since)
                || facts.last_served.is_some_and(|at| at > silent.since);
            silent.died = !is_alive && facts.has_ready_endpoints == Some(false);
        }
        let time_to_doubt = (DOUBT_AFTER - silence_from)
            .min(DOUBT_AFTER_REPORT - silence_to)
            .max(0)
            + 1;
        let next = now
            + if doubted {
                PROBE_INTERVAL / 2
            } else {
                time_to_doubt
            };
        ZoneAssessment {
            probes,
            doubted: doubted && self.silent.is_none(),
            next_assessment: next,
        }
    }
}

#[cfg(test)]
mod tests;
