//! The messages by which this member finds out its connectivity state.
//!
//! Each beat of a second a member tells its view to two others, one of its own zone, with news that
//! go anyway or in a datagram of its own: so at most two more a second, four while it is not whole,
//! whatever the size of the fleet. A zone that is doubted is asked by foca's own pings, which
//! members of any version answer.

use super::{Core, FANOUT};
use crate::connectivity::{Connectivity, ConnectivityState, Observations, Trials};
use crate::effects::Note;
use crate::frame::{self, Content, Dropped, Head, MessagePart, VIEW};
use crate::member::Member;
use crate::membership_table::Departure;
use crate::observation_table::Process;
use crate::view_comparison::Digest;
use crate::zone_reachability::ZoneFacts;
use crate::{Micros, SECOND, hash};
use foca::{Header, Message};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How often a view is told, and to how many; to twice as many by one that is not whole, as others
/// are to learn of it.
const BEAT: Micros = SECOND;
const TOLD: u8 = 2;
/// Pairs of zones that were heard longer ago than this are not told: they are lost to all.
const TELLS: Micros = 10 * SECOND;
/// Discovery's word counts for so long: two of its usual answers.
const FRESH: Micros = 5 * SECOND;
/// Members that were missed so long before their zone was lost were cut off with it.
const MISSED_WITH: Micros = 15 * SECOND;
/// Longest text of a version, in bytes.
pub(super) const MAX_VERSION_BYTES: usize = 32;

/// A member's view as it is written.
#[derive(Serialize, Deserialize)]
struct View<'a> {
    origin: u64,
    version: &'a str,
    parts: [u8; crate::view_comparison::PARTS],
    members: u32,
    zones: Vec<u64>,
    /// For two zones by their place: how long before the datagram the first last heard the second,
    /// in milliseconds.
    pairs: Vec<(u8, u8, u16)>,
}

impl Core {
    /// Where this member stands.
    pub fn connectivity(&self) -> &Connectivity {
        self.tracker.connectivity()
    }

    /// The version of the program, as others' membership table show it; to be said before it runs.
    pub fn set_version(&mut self, version: &str) {
        let end = (0..=MAX_VERSION_BYTES.min(version.len()))
            .rev()
            .find(|n| version.is_char_boundary(*n));
        self.version = version[..end.unwrap_or(0)].to_owned();
    }

    /// Discovery has answered: the list is as new as this.
    pub fn list_seen(&mut self, now: Micros) {
        self.list_seen = Some(now);
    }

    /// Where the endpoints of the own list stand, by their numbers: what they say of a zone that is
    /// not heard.
    pub fn placed<'a>(&mut self, zones: impl Iterator<Item = (usize, &'a str)>) {
        self.placed = zones
            .take(super::observations::MAX_ENDPOINTS)
            .map(|(e, zone)| (e, hash(zone)))
            .collect();
    }

    /// Somebody of that zone is heard: an answer to what this one sent, or not.
    pub(super) fn record_contact(&mut self, now: Micros, zone: u64, answer: bool) {
        if self.tracks_connectivity {
            self.tracker.heard.came(now, self.zone, zone, answer);
        }
    }

    /// What it may say and do about endpoints now.
    pub(super) fn may_publish(&self) -> bool {
        self.connectivity().kind.permissions().observations == Observations::Shared
    }

    /// Whether that member may be thought to make trials.
    pub(super) fn may_try(&self, now: Micros, origin: u64, zone: u64) -> bool {
        match self.connectivity().kind.permissions().trials {
            Trials::Shared => !self.quarantined(now, origin),
            Trials::Side => !self.tracker.silent(zone) && !self.quarantined(now, origin),
            Trials::Own | Trials::None => false,
        }
    }

    /// Looks where it stands.
    pub(super) fn update_connectivity(&mut self, now: Micros) {
        if !self.tracks_connectivity {
            return;
        }
        let (members, me) = (&self.members, self.me.address);
        for (name, addresses) in self
            .membership
            .twice(now, |at| at == me || members.contains_key(&at))
        {
            self.effects.notes.push(Note::Twice { name, addresses });
        }
        if now >= self.next_view {
            let told = if self.connectivity().kind == ConnectivityState::Connected {
                TOLD
            } else {
                2 * TOLD
            };
            (self.next_view, self.views_due) = (now + BEAT, told);
            self.membership.expire(now);
        }
        let zones = self.zone_facts(now);
        let was = self.connectivity().clone();
        let lost = |core: &Self| {
            zones
                .iter()
                .map(|z| core.tracker.lost(z.zone))
                .collect::<Vec<_>>()
        };
        let lost_before = lost(self);
        let asks = self.tracker.step(now, self.zone, &zones);
        for ((z, before), after) in zones.iter().zip(lost_before).zip(lost(self)) {
            match (before, after) {
                (false, true) => self.membership.relabel(
                    z.zone,
                    now - MISSED_WITH,
                    Departure::Failed,
                    Departure::Unreachable,
                ),
                (true, false) if z.running == 0 => {
                    self.membership.relabel(
                        z.zone,
                        Micros::MIN,
                        Departure::Unreachable,
                        Departure::Failed,
                    );
                }
                _ => {}
            }
        }
        for (zone, count) in asks {
            self.ask_zone(now, zone, count);
        }
        if *self.connectivity() != was {
            let connectivity = self.connectivity().clone();
            let zones = connectivity
                .cut
                .iter()
                .map(|(zone, direction)| (self.zone_name(*zone), *direction))
                .collect();
            self.effects.notes.push(Note::Connectivity {
                connectivity,
                zones,
            });
        }
        self.next_tick = self.next_tick.min(self.tracker.next());
    }

    fn zone_facts(&self, now: Micros) -> Vec<ZoneFacts> {
        let fresh = self.list_seen.is_some_and(|at| now - at < FRESH);
        let mut zones = self.membership.zones();
        let own = zones.entry(self.zone).or_default();
        (own.0, own.1) = (own.0 + 1, own.1 + 1);
        let facts = zones.into_iter().map(|(zone, (running, known))| {
            let there = || {
                self.listed
                    .values()
                    .filter(|l| self.placed.get(&l.endpoint) == Some(&zone))
            };
            let (served, named) = if self.tracker.silent(zone) {
                let process = |l: &crate::effects::Listed| self.processes.get(&l.endpoint).copied();
                let served = there()
                    .filter_map(process)
                    .filter_map(|p: Process| self.own.get(&p)?.served)
                    .max();
                (served, fresh.then(|| there().any(|l| l.ready)))
            } else {
                (None, None)
            };
            ZoneFacts {
                zone,
                running,
                known,
                served,
                listed: named,
            }
        });
        facts.collect()
    }

    pub(super) fn zone_name(&self, zone: u64) -> String {
        let entry = self.membership.entries().find(|(_, e)| e.zone == zone);
        entry.map_or_else(|| format!("{zone:016x}"), |(_, e)| e.member.zone.clone())
    }

    /// Asks some members of a zone, or of any, whether they hear.
    fn ask_zone(&mut self, now: Micros, zone: Option<u64>, count: usize) {
        let there = |e: &&crate::membership_table::Entry| {
            // Who is lost cannot tell whether all are.
            zone.map_or_else(|| !self.tracker.silent(e.zone), |z| e.zone == z)
                && matches!(e.left, None | Some((Departure::Unreachable, _)))
        };
        let asked: Vec<(Member, bool)> = {
            let entries = self.membership.entries().map(|(_, e)| e).filter(there);
            let mut all: Vec<_> = entries
                .map(|e| (e.member.clone(), e.left.is_none()))
                .collect();
            // A map has no order that a seed repeats.
            all.sort_by_key(|(m, _)| m.address);
            (0..count.min(all.len()))
                .map(|_| all.swap_remove(self.rng.random_range(0..all.len())))
                .collect()
        };
        for (dst, runs) in asked {
            self.asked = self.asked.wrapping_add(1);
            let message = if runs {
                Message::Ping(self.asked)
            } else {
                Message::Announce
            };
            let (to, src) = (dst.address, self.me.clone());
            let header = Header {
                src,
                src_incarnation: 0,
                dst,
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

    /// The own view, where one is to be told now.
    pub(super) fn view_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        if self.views_due == 0 {
            return None;
        }
        self.views_due -= 1;
        let (parts, members) = self.digest().parts();
        let mut zones: Vec<u64> = Vec::new();
        let mut place = |zone: u64| {
            let at = zones.iter().position(|z| *z == zone).unwrap_or_else(|| {
                zones.push(zone);
                zones.len() - 1
            });
            u8::try_from(at).unwrap_or(u8::MAX)
        };
        let age = |at: Micros| u16::try_from((now - at) / 1000).unwrap_or(u16::MAX);
        let pairs = self.tracker.heard.pairs(now - TELLS);
        let pairs = pairs
            .map(|((by, whom), at)| (place(by), place(whom), age(at)))
            .collect();
        let view = View {
            origin: self.origin,
            version: &self.version,
            parts,
            members,
            zones,
            pairs,
        };
        postcard::to_stdvec(&view).ok()
    }

    fn digest(&mut self) -> Digest {
        let origins = self.members.values().map(|k| k.origin);
        *self
            .digest
            .get_or_insert_with(|| Digest::of(origins.chain(std::iter::once(self.origin))))
    }

    /// Tells the views that are due and found no other datagram.
    pub(super) fn publish_views(&mut self, now: Micros) {
        while !self.drawn.is_empty() && self.views_due > 0 {
            let here = self.views_due.is_multiple_of(2);
            let draw = |core: &mut Self| core.drawn[core.rng.random_range(0..core.drawn.len())];
            let zone = self.zone;
            // A few draws find one of the wanted zone, unless it is small.
            let mut to = draw(self);
            for _ in 0..2 * FANOUT {
                if self
                    .members
                    .get(&to)
                    .is_some_and(|k| (k.zone == zone) == here)
                {
                    break;
                }
                to = draw(self);
            }
            let mut bytes = frame::begin(&Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Updates,
            });
            let Some(view) = self.view_due(now) else {
                break;
            };
            if frame::add(
                &mut bytes,
                &MessagePart {
                    kind: VIEW,
                    bytes: &view,
                },
            ) {
                self.send(to, bytes);
            }
        }
    }

    /// A view came from there, sent then.
    pub(super) fn viewed(&mut self, now: Micros, sent: Micros, from: SocketAddr, bytes: &[u8]) {
        let Ok(view) = postcard::from_bytes::<View<'_>>(bytes) else {
            return self.drop_one(Dropped::Malformed);
        };
        let Some((origin, zone)) = self.members.get(&from).map(|k| (k.origin, k.zone)) else {
            return;
        };
        if view.origin != origin || view.version.len() > MAX_VERSION_BYTES {
            return self.drop_one(Dropped::Forged);
        }
        if !self.tracks_connectivity {
            return;
        }
        self.membership.version(origin, view.version);
        for (by, whom, age) in view.pairs {
            if let (Some(by), Some(whom)) = (
                view.zones.get(usize::from(by)),
                view.zones.get(usize::from(whom)),
            ) {
                self.tracker.heard.told(
                    now,
                    self.skew,
                    *by,
                    *whom,
                    sent - Micros::from(age) * 1000,
                );
            }
        }
        if !self.tracker.silent(zone) {
            let differs = self
                .digest()
                .differs(&Digest::read(view.parts, view.members));
            self.tracker.views.compared(now, differs);
        }
    }

    /// Its word does not count for now.
    pub(super) fn quarantined(&self, now: Micros, origin: u64) -> bool {
        self.tracks_connectivity && self.membership.quarantined(now, origin)
    }

    /// How one leaves that is missed now.
    pub(super) fn left_how(&self, zone: u64) -> Departure {
        let all = self.connectivity().kind == ConnectivityState::Isolated;
        if self.tracker.lost(zone) || all {
            Departure::Unreachable
        } else {
            Departure::Failed
        }
    }
}
