//! Exchanges views of the membership with other members.
//!
//! In each interval a member tells its view to two others, one of its own zone, with updates that go
//! anyway or in a datagram of its own: at most two more a second, four while it is not connected,
//! whatever the size of the fleet.

use super::{Core, FANOUT};
use crate::frame::{self, Content, Dropped, Head, MessagePart, VIEW};
use crate::view_comparison::Digest;
use crate::{Micros, SECOND};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How often the view is told.
pub(super) const VIEW_INTERVAL: Micros = SECOND;
/// Members that are told in an interval; twice as many by one that is not connected, as others are
/// to learn of it.
pub(super) const VIEWS_PER_INTERVAL: u8 = 2;
/// Pairs of zones that were heard longer ago than this are not told: they are lost to all.
const TELLS: Micros = 10 * SECOND;
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
            let own_zone = self.views_due.is_multiple_of(2);
            let to = self.draw_viewer(own_zone);
            let Some(view) = self.view_due(now) else {
                break;
            };
            let mut bytes = frame::begin(&Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Updates,
            });
            let part = MessagePart {
                kind: VIEW,
                bytes: &view,
            };
            if frame::add(&mut bytes, &part) {
                self.send(to, bytes);
            }
        }
    }

    /// Draws a member to tell the view, of the own zone or of another one. A few draws find one of
    /// the wanted zone, unless it is small.
    fn draw_viewer(&mut self, own_zone: bool) -> SocketAddr {
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
        self.drawn[self.rng.random_range(0..self.drawn.len())]
    }

    /// Takes a view that came from there, sent then.
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
        self.learn_contacts(now, sent, &view);
        if !self.tracker.silent(zone) {
            let theirs = Digest::read(view.parts, view.members);
            let differs = self.digest().differs(&theirs);
            self.tracker.views.compared(now, differs);
        }
    }

    /// Takes over which zones the sender heard, and when.
    fn learn_contacts(&mut self, now: Micros, sent: Micros, view: &View<'_>) {
        let zone = |place: u8| view.zones.get(usize::from(place)).copied();
        for &(by, whom, age_ms) in &view.pairs {
            let (Some(by), Some(whom)) = (zone(by), zone(whom)) else {
                continue;
            };
            let heard = sent - Micros::from(age_ms) * 1000;
            self.tracker.heard.told(now, self.skew, by, whom, heard);
        }
    }
}
