//! Dissemination of health observations by rumor mongering.
//!
//! What is new to a member it passes on to a few members drawn at random, a fixed number of times
//! (Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987, section
//! 1.4). So a member sends no more in a large fleet than in a small one.

use super::{Core, FANOUT, TICK};
use crate::Micros;
use crate::frame::{self, Content, Dropped, Head, MessagePart, OBSERVATION, VIEW};
use crate::observation_table::Observation;
use rand::RngExt;
use std::cmp::Reverse;

/// How often a fragment of news is forwarded in all: of those who hear of it one in 400 is missed
/// by nine draws without loss, one in 500 with three draws in ten lost and repeats by others (e to
/// the minus nine or six).
pub(super) const MAX_SENDS: u8 = 9;
/// News that wait to be forwarded; the oldest make room.
const MAX_PENDING_UPDATES: usize = 512;

/// Observations, and how often it is still to be forwarded.
pub(super) struct PendingUpdate {
    pub(super) observation: Observation,
    pub(super) left: u8,
}

impl Core {
    pub(super) fn disseminate(&mut self, now: Micros, observation: Observation) {
        self.news.retain(|n| {
            (
                n.observation.origin,
                n.observation.process,
                n.observation.zone,
            ) != (observation.origin, observation.process, observation.zone)
        });
        if self.news.len() >= MAX_PENDING_UPDATES {
            self.news.pop_front();
            self.drop_one(Dropped::Full);
        }
        self.news.push_back(PendingUpdate {
            observation,
            left: MAX_SENDS,
        });
        self.wake(now);
    }

    /// There is something to do: the next tick comes soon.
    pub(super) fn wake(&mut self, now: Micros) {
        self.next_tick = self.next_tick.min(now + TICK);
    }

    /// Passes on news: the ones that left least often come first.
    pub(super) fn gossip(&mut self, now: Micros) {
        self.news
            .retain(|n| n.left > 0 && now - n.observation.seen < self.policy.max_staleness);
        self.fragments.expire(now, self.skew);
        if (self.news.is_empty() && self.fragments.is_empty()) || self.drawn.is_empty() {
            return;
        }
        for _ in 0..FANOUT.min(self.drawn.len()) {
            let to = self.drawn[self.rng.random_range(0..self.drawn.len())];
            self.news.make_contiguous().sort_by_key(|n| Reverse(n.left));
            let head = Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Updates,
            };
            let mut bytes = frame::begin(&head);
            let mut any = false;
            if let Some(view) = self.view_due(now) {
                any = frame::add(
                    &mut bytes,
                    &MessagePart {
                        kind: VIEW,
                        bytes: &view,
                    },
                );
            }
            for news in self.news.iter_mut().filter(|n| n.left > 0) {
                let Ok(observation) = postcard::to_stdvec(&news.observation) else {
                    continue;
                };
                if !frame::add(
                    &mut bytes,
                    &MessagePart {
                        kind: OBSERVATION,
                        bytes: &observation,
                    },
                ) {
                    break;
                }
                news.left -= 1;
                any = true;
            }
            for waiting in self.fragments.waiting() {
                let part = MessagePart {
                    kind: waiting.kind,
                    bytes: &waiting.envelope,
                };
                // A shorter one may still fit.
                if frame::add(&mut bytes, &part) {
                    waiting.left -= 1;
                    any = true;
                }
            }
            if any {
                self.send(to, bytes);
            }
        }
    }
}
