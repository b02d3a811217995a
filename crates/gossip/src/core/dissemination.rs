//! Dissemination of health observations by rumor mongering.
//!
//! A member forwards each new observation to a few random members a fixed number of times (Demers
//! et al., "Epidemic algorithms for replicated database maintenance", PODC 1987, section 1.4), so
//! its traffic does not grow with the fleet.

use super::{ACTIVE_TICK, Core, FANOUT};
use crate::Micros;
use crate::frame::{
    self, Content, DropReason, FrameHeader, KIND_OBSERVATION, KIND_VIEW, MessagePart,
};
use crate::observation_table::Observation;
use rand::RngExt;
use std::cmp::Reverse;

/// Number of times that each member forwards an update. With nine sends and no loss, one member in
/// 400 is missed per update; with 30 % loss and repeats by other members, one in 500 (e to the
/// minus nine or six).
pub(super) const MAX_SENDS: u8 = 9;
/// Maximum number of updates to forward; the oldest are dropped.
const MAX_PENDING_UPDATES: usize = 512;

/// An observation, and how many more times to forward it.
pub(super) struct PendingUpdate {
    pub(super) observation: Observation,
    pub(super) remaining_sends: u8,
}

impl Core {
    pub(super) fn disseminate(&mut self, now: Micros, observation: Observation) {
        self.pending_updates.retain(|n| {
            (
                n.observation.origin,
                n.observation.process,
                n.observation.zone,
            ) != (observation.origin, observation.process, observation.zone)
        });
        if self.pending_updates.len() >= MAX_PENDING_UPDATES {
            self.pending_updates.pop_front();
            self.record_drop(DropReason::Full);
        }
        self.pending_updates.push_back(PendingUpdate {
            observation,
            remaining_sends: MAX_SENDS,
        });
        self.schedule_active_tick(now);
    }

    /// Schedules the next tick within the active interval.
    pub(super) fn schedule_active_tick(&mut self, now: Micros) {
        self.next_tick = self.next_tick.min(now + ACTIVE_TICK);
    }

    /// Sends pending updates, the least forwarded first.
    pub(super) fn send_updates(&mut self, now: Micros) {
        self.pending_updates.retain(|n| {
            n.remaining_sends > 0 && now - n.observation.seen < self.policy.max_staleness
        });
        self.fragments.expire(now, self.skew);
        if (self.pending_updates.is_empty() && self.fragments.is_empty())
            || self.member_addresses.is_empty()
        {
            return;
        }
        for _ in 0..FANOUT.min(self.member_addresses.len()) {
            let to = self.member_addresses[self.rng.random_range(0..self.member_addresses.len())];
            self.pending_updates
                .make_contiguous()
                .sort_by_key(|n| Reverse(n.remaining_sends));
            let head = FrameHeader {
                cluster: &self.cluster,
                sent_at: now,
                content: Content::Updates,
            };
            let mut bytes = frame::begin(&head);
            let mut has_parts = false;
            if let Some(view) = self.next_view_message(now) {
                has_parts = frame::try_append(
                    &mut bytes,
                    &MessagePart {
                        kind: KIND_VIEW,
                        bytes: &view,
                    },
                );
            }
            for update in self
                .pending_updates
                .iter_mut()
                .filter(|n| n.remaining_sends > 0)
            {
                let Ok(observation) = postcard::to_stdvec(&update.observation) else {
                    continue;
                };
                if !frame::try_append(
                    &mut bytes,
                    &MessagePart {
                        kind: KIND_OBSERVATION,
                        bytes: &observation,
                    },
                ) {
                    break;
                }
                update.remaining_sends -= 1;
                has_parts = true;
            }
            for fragment in self.fragments.queued() {
                let part = MessagePart {
                    kind: fragment.kind,
                    bytes: &fragment.envelope,
                };
                // A shorter fragment may still fit.
                if frame::try_append(&mut bytes, &part) {
                    fragment.remaining_sends -= 1;
                    has_parts = true;
                }
            }
            if has_parts {
                self.send(to, bytes);
            }
        }
    }
}
