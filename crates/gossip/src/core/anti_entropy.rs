//! Anti-entropy at a join: a new member requests what other members know.

use super::{Core, FANOUT};
use crate::frame::{
    self, Content, DropReason, FrameHeader, KIND_OBSERVATION, KIND_SYNC_REQUEST, MessagePart,
};
use crate::observation_table::{Observation, ObservedHealth};
use crate::{Micros, SECOND};
use rand::RngExt;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// How many times a new member requests observations, and the interval between requests.
pub(super) const SYNC_REQUESTS: u8 = 3;
const SYNC_REQUEST_INTERVAL: Micros = SECOND / 2;
/// Datagrams in one answer, and answers per second and per burst.
const DATAGRAMS_PER_SYNC_ANSWER: usize = 2;
pub(super) const SYNC_ANSWER_RATE: f64 = 20.0;

impl Core {
    /// Requests observations from a few members while this member is new.
    pub(super) fn request_sync(&mut self, now: Micros) {
        let (remaining, next_request) = self.sync_requests;
        if remaining == 0 || now < next_request || self.member_addresses.is_empty() {
            return;
        }
        self.sync_requests = (remaining - 1, now + SYNC_REQUEST_INTERVAL);
        for _ in 0..FANOUT {
            let to = self.member_addresses[self.rng.random_range(0..self.member_addresses.len())];
            let mut bytes = frame::begin(&FrameHeader {
                cluster: &self.cluster,
                sent_at: now,
                content: Content::Updates,
            });
            if frame::try_append(
                &mut bytes,
                &MessagePart {
                    kind: KIND_SYNC_REQUEST,
                    bytes: &[],
                },
            ) {
                self.send(to, bytes);
            }
        }
    }

    /// Answers a new member with the observations of endpoints that any member found unhealthy, the
    /// newest first.
    pub(super) fn answer_sync(&mut self, now: Micros, to: SocketAddr) {
        if !self
            .sync_answer_tokens
            .take(now, SYNC_ANSWER_RATE, SYNC_ANSWER_RATE)
        {
            return self.record_drop(DropReason::Full);
        }
        let mut observations: Vec<Observation> = Vec::new();
        for process in self.table.processes() {
            let process_observations: Vec<Observation> = self
                .table
                .observations_of(process)
                .flat_map(|(_, data)| data)
                .copied()
                .collect();
            if process_observations
                .iter()
                .any(|d| d.health == ObservedHealth::Unhealthy)
            {
                observations.extend(process_observations);
            }
        }
        observations.sort_by_key(|d| Reverse(d.seen));
        let mut remaining = observations.into_iter().peekable();
        for _ in 0..DATAGRAMS_PER_SYNC_ANSWER {
            let mut bytes = frame::begin(&FrameHeader {
                cluster: &self.cluster,
                sent_at: now,
                content: Content::Updates,
            });
            let mut has_observations = false;
            while let Some(observation) = remaining.peek() {
                let Ok(part) = postcard::to_stdvec(observation) else {
                    break;
                };
                if !frame::try_append(
                    &mut bytes,
                    &MessagePart {
                        kind: KIND_OBSERVATION,
                        bytes: &part,
                    },
                ) {
                    break;
                }
                remaining.next();
                has_observations = true;
            }
            if has_observations {
                self.send(to, bytes);
            }
        }
    }
}
