//! Runs foca's membership protocol.

use super::{Core, FANOUT};
use crate::effects::Note;
use crate::frame::{self, Content, DropReason, FrameHeader, MAX_DATAGRAM_BYTES};
use crate::member::Member;
use crate::section::FleetSection;
use crate::{Micros, SECOND, hash};
use foca::{Header, Message, OwnedNotification};
use rand::RngExt;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Interval of announcements to seeds while no member is known.
const SEED_INTERVAL_ALONE: Micros = SECOND;
/// Interval of announcements to seeds otherwise, so that two parts of a fleet that were partitioned
/// for long find each other again.
const SEED_INTERVAL: Micros = 20 * SECOND;
/// Maximum size of the frame header: magic, version, the longest cluster name and a time.
const MAX_HEADER_BYTES: usize = 64;

/// A running member.
pub(super) struct RunningMember {
    pub(super) member: Member,
    pub(super) origin: u64,
    pub(super) zone: u64,
    pub(super) known_since: Micros,
}

pub(super) fn foca_config(section: &FleetSection) -> foca::Config {
    let mut config =
        foca::Config::new_lan(NonZeroU32::new(section.members).unwrap_or(NonZeroU32::MIN));
    let usize_of = |n| NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN);
    config.max_packet_size = usize_of(MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES);
    // Four probes: with 30 % datagram loss hardly any live member is declared down.
    config.suspect_to_down_after = Duration::from_secs(4);
    config.probe_rtt = Duration::from_millis(400);
    // A healed partition is detected within seconds, at the cost of two datagrams per interval.
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
    pub(super) fn handle_membership(&mut self, now: Micros, from: SocketAddr, content: &[u8]) {
        // The sender must be the member it claims to be; otherwise one member could speak for all.
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
            Ok(_) => return self.record_drop(DropReason::Unknown),
            Err(_) => return self.record_drop(DropReason::Malformed),
        }
        if self.foca.handle_data(content, &mut self.runtime).is_err() {
            self.record_drop(DropReason::Malformed);
        }
        self.run_membership_effects(now);
    }

    /// Performs the outputs of foca.
    pub(super) fn run_membership_effects(&mut self, now: Micros) {
        while let Some((to, content)) = self.runtime.to_send() {
            let head = FrameHeader {
                cluster: &self.cluster,
                sent_at: now,
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
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => self.record_up(now, member),
                OwnedNotification::MemberDown(member) => self.record_down(now, &member.address),
                OwnedNotification::Rename(old, new) => {
                    if self.members.contains_key(&old.address) {
                        self.record_up(now, new);
                    }
                }
                OwnedNotification::Rejoin(me) => self.identity = me,
                OwnedNotification::Active
                | OwnedNotification::Idle
                | OwnedNotification::Defunct => {}
            }
        }
    }

    pub(super) fn record_up(&mut self, now: Micros, member: Member) {
        self.remove_member(&member.address);
        self.digest = None;
        let count_crashes = self.may_publish_observations() && self.tracks_connectivity;
        if self.membership.record_up(now, &member, count_crashes) {
            self.effects.notes.push(Note::Quarantined {
                name: member.name.clone(),
            });
        }
        let (address, origin, zone) = (member.address, hash(&member.name), hash(&member.zone));
        self.members.insert(
            address,
            RunningMember {
                member,
                origin,
                zone,
                known_since: now,
            },
        );
        self.member_addresses.push(address);
        self.addresses_by_origin.insert(origin, address);
        *self.members_per_zone.entry(zone).or_default() += 1;
    }

    /// Records that a member no longer runs.
    fn record_down(&mut self, now: Micros, address: &SocketAddr) {
        if let Some(known) = self.members.get(address) {
            let departure = self.departure_reason(known.zone);
            if self.membership.record_down(now, &known.member, departure)
                && self.tracks_connectivity
            {
                self.effects.notes.push(Note::Quarantined {
                    name: known.member.name.clone(),
                });
            }
        }
        self.remove_member(address);
    }

    fn remove_member(&mut self, address: &SocketAddr) {
        let Some(known) = self.members.remove(address) else {
            return;
        };
        self.digest = None;
        self.member_addresses.retain(|a| a != address);
        if self.addresses_by_origin.get(&known.origin) == Some(address) {
            self.addresses_by_origin.remove(&known.origin);
        }
        if let Some(count) = self.members_per_zone.get_mut(&known.zone) {
            *count -= 1;
        }
    }

    pub(super) fn announce_to_seeds(&mut self, now: Micros) {
        self.next_seed_announcement = now
            + if self.members.is_empty() {
                SEED_INTERVAL_ALONE
            } else {
                SEED_INTERVAL
            };
        // At the start several seeds are contacted at once; later one is enough.
        let count = if self.members.is_empty() { FANOUT } else { 1 };
        for _ in 0..count.min(self.seeds.len()) {
            let seed = self.seeds[self.rng.random_range(0..self.seeds.len())];
            // What cannot be sent now is sent in the next interval.
            let _ = self
                .foca
                .announce(Member::with_address(seed), &mut self.runtime);
        }
        self.run_membership_effects(now);
    }

    /// Adds members as running without announcing them to others: restored, or known from
    /// elsewhere.
    pub fn add_known_members(&mut self, now: Micros, members: impl Iterator<Item = Member>) {
        let members = members.map(foca::Member::alive);
        // Members that do not run are detected as usual.
        let _ = self.foca.apply_many(members, false, &mut self.runtime);
        self.run_membership_effects(now);
    }

    /// Announces the departure of this member.
    pub fn leave(&mut self, now: Micros) {
        if self.tracks_connectivity {
            self.send_farewell(now);
        }
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.run_membership_effects(now);
    }
}
