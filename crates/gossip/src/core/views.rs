//! Exchange of membership views.
//!
//! In each interval a member sends its view to two others, one of them in its own zone, along with
//! pending updates or in a datagram of its own. That is at most two extra datagrams per second,
//! four while not connected, independent of the fleet size.

use super::{Core, FANOUT};
use crate::frame::{self, Content, DropReason, FrameHeader, KIND_VIEW, MessagePart};
use crate::view_comparison::Digest;
use crate::{Micros, SECOND};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Interval at which views are sent.
pub(super) const VIEW_INTERVAL: Micros = SECOND;
/// Views sent per interval; twice as many while not connected, so that others learn of it sooner.
pub(super) const VIEWS_PER_INTERVAL: u8 = 2;
/// Contacts between zones older than this are not sent: they are lost for all members.
const MAX_REPORTED_AGE: Micros = 10 * SECOND;
/// Maximum length of a version string in bytes.
pub(super) const MAX_VERSION_BYTES: usize = 32;

/// A membership view as sent to other members.
#[derive(Serialize, Deserialize)]
struct ViewMessage<'a> {
    origin: u64,
    version: &'a str,
    parts: [u8; crate::view_comparison::DIGEST_PARTS],
    members: u32,
    zones: Vec<u64>,
    /// Pairs of indexes into `zones`: how long before the datagram the first zone last heard the
    /// second, in milliseconds.
    pairs: Vec<(u8, u8, u16)>,
}

impl Core {
    /// Returns the encoded view if one is due.
    pub(super) fn next_view_message(&mut self, now: Micros) -> Option<Vec<u8>> {
        if self.views_due == 0 {
            return None;
        }
        self.views_due -= 1;
        let (parts, members) = self.digest().parts();
        let mut zones: Vec<u64> = Vec::new();
        let mut zone_index = |zone: u64| {
            let index = zones.iter().position(|z| *z == zone).unwrap_or_else(|| {
                zones.push(zone);
                zones.len() - 1
            });
            u8::try_from(index).unwrap_or(u8::MAX)
        };
        let age = |at: Micros| u16::try_from((now - at) / 1000).unwrap_or(u16::MAX);
        let pairs = self.tracker.zone_contacts.pairs(now - MAX_REPORTED_AGE);
        let pairs = pairs
            .map(|((by, whom), at)| (zone_index(by), zone_index(whom), age(at)))
            .collect();
        let view = ViewMessage {
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
        *self.digest.get_or_insert_with(|| {
            Digest::from_origins(origins.chain(std::iter::once(self.origin)))
        })
    }

    /// Sends the views that are due and were not sent along with other updates.
    pub(super) fn publish_views(&mut self, now: Micros) {
        while !self.member_addresses.is_empty() && self.views_due > 0 {
            let own_zone = self.views_due.is_multiple_of(2);
            let to = self.draw_view_recipient(own_zone);
            let Some(view) = self.next_view_message(now) else {
                break;
            };
            let mut bytes = frame::begin(&FrameHeader {
                cluster: &self.cluster,
                sent_at: now,
                content: Content::Updates,
            });
            let part = MessagePart {
                kind: KIND_VIEW,
                bytes: &view,
            };
            if frame::try_append(&mut bytes, &part) {
                self.send(to, bytes);
            }
        }
    }

    /// Draws a recipient of a view, from the own zone or from another one. A few draws suffice
    /// unless that zone is small.
    fn draw_view_recipient(&mut self, own_zone: bool) -> SocketAddr {
        let mut drawn = self.draw_member();
        for _ in 0..2 * FANOUT {
            let member = self.members.get(&drawn);
            if member.is_some_and(|known| (known.zone == self.zone) == own_zone) {
                break;
            }
            drawn = self.draw_member();
        }
        drawn
    }

    fn draw_member(&mut self) -> SocketAddr {
        self.member_addresses[self.rng.random_range(0..self.member_addresses.len())]
    }

    /// Handles a view received from a member.
    pub(super) fn handle_view(
        &mut self,
        now: Micros,
        sent: Micros,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        let Ok(view) = postcard::from_bytes::<ViewMessage<'_>>(bytes) else {
            return self.record_drop(DropReason::Malformed);
        };
        let Some((origin, zone)) = self.members.get(&from).map(|k| (k.origin, k.zone)) else {
            return;
        };
        if view.origin != origin || view.version.len() > MAX_VERSION_BYTES {
            return self.record_drop(DropReason::Forged);
        }
        if !self.tracks_connectivity {
            return;
        }
        self.membership.record_version(origin, view.version);
        self.merge_contacts(now, sent, &view);
        if !self.tracker.is_zone_silent(zone) {
            let their_digest = Digest::from_parts(view.parts, view.members);
            let differs = self.digest().differs(&their_digest);
            self.tracker.view_comparison.record(now, differs);
        }
    }

    /// Merges the contacts between zones that the sender reports.
    fn merge_contacts(&mut self, now: Micros, sent: Micros, view: &ViewMessage<'_>) {
        let zone_at = |place: u8| view.zones.get(usize::from(place)).copied();
        for &(by, whom, age_ms) in &view.pairs {
            let (Some(by), Some(whom)) = (zone_at(by), zone_at(whom)) else {
                continue;
            };
            let heard = sent - Micros::from(age_ms) * 1000;
            self.tracker
                .zone_contacts
                .record_report(now, self.skew, by, whom, heard);
        }
    }
}
