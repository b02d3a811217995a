//! Drives foca's membership protocol.

use super::{Core, FANOUT};
use crate::effects::Note;
use crate::frame::{self, Content, Dropped, Head, MAX_DATAGRAM_BYTES};
use crate::member::Member;
use crate::section::FleetSection;
use crate::{Micros, SECOND, hash};
use foca::{Header, Message, OwnedNotification};
use rand::RngExt;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// How often the seeds are asked while nobody is known.
const SEEDS: Micros = SECOND;
/// How often they are asked all the same, so that two parts of a fleet that lost each other for
/// long find together.
const SEEDS_AGAIN: Micros = 20 * SECOND;
/// Room that a datagram's beginning takes at most: marks, the longest name of a fleet, a time.
const MAX_HEADER_BYTES: usize = 64;

/// A member that runs.
pub(super) struct Known {
    pub(super) member: Member,
    pub(super) origin: u64,
    pub(super) zone: u64,
    pub(super) since: Micros,
}

pub(super) fn foca_config(section: &FleetSection) -> foca::Config {
    let mut config =
        foca::Config::new_lan(NonZeroU32::new(section.members).unwrap_or(NonZeroU32::MIN));
    let usize_of = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    config.max_packet_size = usize_of(MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES);
    // Four probes: with three datagrams in ten lost, hardly anybody is taken for dead who is not.
    config.suspect_to_down_after = Duration::from_secs(4);
    config.probe_rtt = Duration::from_millis(400);
    // A cut that heals is found out within some seconds, at the cost of two datagrams in that time.
    config.periodic_announce_to_down_members = Some(foca::PeriodicParams {
        frequency: Duration::from_secs(5),
        num_members: usize_of(2),
    });
    config.periodic_announce = Some(foca::PeriodicParams {
        frequency: Duration::from_secs(30),
        num_members: usize_of(1),
    });
    config.remove_down_after = Some(Duration::from_secs(600));
    config.max_transmissions = config
        .max_transmissions
        .max(NonZeroU8::new(6).unwrap_or(NonZeroU8::MIN));
    config
}

impl Core {
    pub(super) fn membership(&mut self, now: Micros, from: SocketAddr, content: &[u8]) {
        // Whoever speaks is who it says it is: else one could speak for all.
        match postcard::take_from_bytes::<Header<Member>>(content) {
            Ok((header, _)) if header.src.address == from => {
                if !header.src.name.is_empty() {
                    self.record_contact(
                        now,
                        hash(&header.src.zone),
                        matches!(header.message, Message::Ack(_)),
                    );
                }
            }
            Ok(_) => return self.drop_one(Dropped::Unknown),
            Err(_) => return self.drop_one(Dropped::Malformed),
        }
        if self.foca.handle_data(content, &mut self.runtime).is_err() {
            self.drop_one(Dropped::Malformed);
        }
        self.follow(now);
    }

    /// Carries out what foca wants.
    pub(super) fn follow(&mut self, now: Micros) {
        while let Some((to, content)) = self.runtime.to_send() {
            let head = Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Membership,
            };
            let mut bytes = frame::begin(&head);
            bytes.extend_from_slice(&content);
            self.send(to.address, bytes);
        }
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_number += 1;
            let after = Micros::try_from(after.as_micros()).unwrap_or(SECOND);
            self.timers
                .insert((now.saturating_add(after), self.timer_number), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(member) => self.up(now, member),
                OwnedNotification::MemberDown(member) => self.missed(now, &member.address),
                OwnedNotification::Rename(old, new) => {
                    if self.members.contains_key(&old.address) {
                        self.up(now, new);
                    }
                }
                OwnedNotification::Rejoin(me) => self.me = me,
                OwnedNotification::Active
                | OwnedNotification::Idle
                | OwnedNotification::Defunct => {}
            }
        }
    }

    pub(super) fn up(&mut self, now: Micros, member: Member) {
        self.down(&member.address);
        self.digest = None;
        let counts = self.may_publish() && self.tracks_connectivity;
        if self.membership.up(now, &member, counts) {
            self.effects.notes.push(Note::Quarantined {
                name: member.name.clone(),
            });
        }
        let (address, origin, zone) = (member.address, hash(&member.name), hash(&member.zone));
        self.members.insert(
            address,
            Known {
                member,
                origin,
                zone,
                since: now,
            },
        );
        self.drawn.push(address);
        self.by_origin.insert(origin, address);
        *self.in_zone.entry(zone).or_default() += 1;
    }

    /// That one does not run any more.
    fn missed(&mut self, now: Micros, address: &SocketAddr) {
        if let Some(known) = self.members.get(address) {
            let how = self.left_how(known.zone);
            if self.membership.down(now, &known.member, how) && self.tracks_connectivity {
                self.effects.notes.push(Note::Quarantined {
                    name: known.member.name.clone(),
                });
            }
        }
        self.down(address);
    }

    fn down(&mut self, address: &SocketAddr) {
        let Some(known) = self.members.remove(address) else {
            return;
        };
        self.digest = None;
        self.drawn.retain(|a| a != address);
        if self.by_origin.get(&known.origin) == Some(address) {
            self.by_origin.remove(&known.origin);
        }
        if let Some(count) = self.in_zone.get_mut(&known.zone) {
            *count -= 1;
        }
    }

    pub(super) fn ask_seeds(&mut self, now: Micros) {
        self.next_ask = now
            + if self.members.is_empty() {
                SEEDS
            } else {
                SEEDS_AGAIN
            };
        // A start asks a few at once; later on one is enough.
        let count = if self.members.is_empty() { FANOUT } else { 1 };
        for _ in 0..count.min(self.seeds.len()) {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            // What cannot be sent now is sent at the next turn.
            let _ = self.foca.announce(Member::at(seed), &mut self.runtime);
        }
        self.follow(now);
    }

    /// Takes members as known to run, without telling others of them: what was known before, or is
    /// known from elsewhere.
    pub fn restore_incarnation(&mut self, now: Micros, members: impl Iterator<Item = Member>) {
        let alive = members.map(foca::Member::alive);
        // Who does not run is found out as anyone is.
        let _ = self.foca.apply_many(alive, false, &mut self.runtime);
        self.follow(now);
    }

    /// Tells others that this member leaves.
    pub fn leave(&mut self, now: Micros) {
        if self.tracks_connectivity {
            self.farewell(now);
        }
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.follow(now);
    }
}
