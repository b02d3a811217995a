//! Anti-entropy at a join: a new member asks for what the others know, and is answered.

use super::{Core, FANOUT};
use crate::frame::{self, ASK, Content, Dropped, Head, MessagePart, OBSERVATION};
use crate::observation_table::{Observation, ObservedHealth};
use crate::{Micros, SECOND};
use rand::RngExt;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// How often a member that has just come asks some others for what they know, and its pause
/// between.
pub(super) const ASKS: u8 = 3;
const ASK_PAUSE: Micros = SECOND / 2;
/// Datagrams of one answer to that, and answers a second and at once.
const ANSWER: usize = 2;
pub(super) const ANSWER_RATE: f64 = 20.0;

impl Core {
    /// Asks a few members for what they know, as one that has just come knows nothing.
    pub(super) fn ask(&mut self, now: Micros) {
        let (left, next) = self.asks;
        if left == 0 || now < next || self.drawn.is_empty() {
            return;
        }
        self.asks = (left - 1, now + ASK_PAUSE);
        for _ in 0..FANOUT {
            let to = self.drawn[self.rng.random_range(0..self.drawn.len())];
            let mut bytes = frame::begin(&Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Updates,
            });
            if frame::add(
                &mut bytes,
                &MessagePart {
                    kind: ASK,
                    bytes: &[],
                },
            ) {
                self.send(to, bytes);
            }
        }
    }

    /// Tells one that has just come of the endpoints that members have found sick, the newest
    /// first.
    pub(super) fn answer(&mut self, now: Micros, to: SocketAddr) {
        if !self.answers.take(now, ANSWER_RATE, ANSWER_RATE) {
            return self.drop_one(Dropped::Full);
        }
        let mut data: Vec<Observation> = Vec::new();
        for process in self.table.processes() {
            let of: Vec<Observation> = self
                .table
                .of(process)
                .flat_map(|(_, data)| data)
                .copied()
                .collect();
            if of.iter().any(|d| d.health == ObservedHealth::Unhealthy) {
                data.extend(of);
            }
        }
        data.sort_by_key(|d| Reverse(d.seen));
        let mut data = data.into_iter().peekable();
        for _ in 0..ANSWER {
            let mut bytes = frame::begin(&Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Updates,
            });
            let mut any = false;
            while let Some(observation) = data.peek() {
                let Ok(part) = postcard::to_stdvec(observation) else {
                    break;
                };
                if !frame::add(
                    &mut bytes,
                    &MessagePart {
                        kind: OBSERVATION,
                        bytes: &part,
                    },
                ) {
                    break;
                }
                data.next();
                any = true;
            }
            if any {
                self.send(to, bytes);
            }
        }
    }
}
