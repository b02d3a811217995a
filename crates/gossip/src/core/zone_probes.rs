//! Probes of members in a doubted zone: pings of the membership protocol, which all versions
//! answer.

use super::Core;
use crate::Micros;
use crate::frame::{self, Content, FrameHeader};
use crate::member::Member;
use crate::membership_table::{Departure, MembershipEntry};
use foca::{Header, Message};
use rand::RngExt;

/// A member to probe.
struct ProbeTarget {
    member: Member,
    /// Whether it counts as running; otherwise it is asked to join again.
    is_running: bool,
}

impl Core {
    /// Probes some members of a zone, or of any zone.
    pub(super) fn probe_zone(&mut self, now: Micros, zone: Option<u64>, count: usize) {
        for target in self.draw_probe_targets(zone, count) {
            self.probe(now, target);
        }
    }

    fn draw_probe_targets(&mut self, zone: Option<u64>, count: usize) -> Vec<ProbeTarget> {
        let is_candidate = |entry: &&MembershipEntry| {
            // Members of silent zones cannot show whether this member is isolated.
            zone.map_or_else(
                || !self.tracker.is_zone_silent(entry.zone),
                |z| entry.zone == z,
            ) && matches!(entry.departure, None | Some((Departure::Unreachable, _)))
        };
        let entries = self.membership.entries().map(|(_, entry)| entry);
        let mut candidates: Vec<ProbeTarget> = entries
            .filter(is_candidate)
            .map(|entry| ProbeTarget {
                member: entry.member.clone(),
                is_running: entry.departure.is_none(),
            })
            .collect();
        // Sorted, because the iteration order of a map does not follow from the seed.
        candidates.sort_by_key(|probed| probed.member.address);
        (0..count.min(candidates.len()))
            .map(|_| candidates.swap_remove(self.rng.random_range(0..candidates.len())))
            .collect()
    }

    fn probe(&mut self, now: Micros, target: ProbeTarget) {
        self.last_probe_number = self.last_probe_number.wrapping_add(1);
        let message = if target.is_running {
            Message::Ping(self.last_probe_number)
        } else {
            Message::Announce
        };
        let to = target.member.address;
        let header = Header {
            src: self.identity.clone(),
            src_incarnation: 0,
            dst: target.member,
            message,
        };
        let frame = frame::begin(&FrameHeader {
            cluster: &self.cluster,
            sent_at: now,
            content: Content::Membership,
        });
        if let Ok(bytes) = postcard::to_extend(&header, frame) {
            self.send(to, bytes);
        }
    }
}
