//! Asks members of a zone that is doubted whether they hear this one: by pings of the membership
//! protocol, which members of any version answer.

use super::Core;
use crate::Micros;
use crate::frame::{self, Content, Head};
use crate::member::Member;
use crate::membership_table::{Departure, Entry};
use foca::{Header, Message};
use rand::RngExt;

/// A member that is to be asked.
struct Probed {
    member: Member,
    /// Whether it counts as running: one that does not is asked to join anew.
    runs: bool,
}

impl Core {
    /// Asks some members of a zone, or of any, whether they hear.
    pub(super) fn ask_zone(&mut self, now: Micros, zone: Option<u64>, count: usize) {
        for probed in self.draw_probed(zone, count) {
            self.probe(now, probed);
        }
    }

    fn draw_probed(&mut self, zone: Option<u64>, count: usize) -> Vec<Probed> {
        let is_candidate = |entry: &&Entry| {
            // Who is lost cannot tell whether all are.
            zone.map_or_else(|| !self.tracker.silent(entry.zone), |z| entry.zone == z)
                && matches!(entry.left, None | Some((Departure::Unreachable, _)))
        };
        let entries = self.membership.entries().map(|(_, entry)| entry);
        let mut candidates: Vec<Probed> = entries
            .filter(is_candidate)
            .map(|entry| Probed {
                member: entry.member.clone(),
                runs: entry.left.is_none(),
            })
            .collect();
        // A map has no order that a seed repeats.
        candidates.sort_by_key(|probed| probed.member.address);
        (0..count.min(candidates.len()))
            .map(|_| candidates.swap_remove(self.rng.random_range(0..candidates.len())))
            .collect()
    }

    fn probe(&mut self, now: Micros, probed: Probed) {
        self.asked = self.asked.wrapping_add(1);
        let message = if probed.runs {
            Message::Ping(self.asked)
        } else {
            Message::Announce
        };
        let to = probed.member.address;
        let header = Header {
            src: self.me.clone(),
            src_incarnation: 0,
            dst: probed.member,
            message,
        };
        let begun = frame::begin(&Head {
            cluster: &self.cluster,
            sent: now,
            content: Content::Membership,
        });
        if let Ok(bytes) = postcard::to_extend(&header, begun) {
            self.send(to, bytes);
        }
    }
}
