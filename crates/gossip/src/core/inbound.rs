//! Validates received datagrams and dispatches their content.

use super::{Core, MAX_TRANSIT_TIME};
use crate::Micros;
use crate::fragments::FRAGMENT_KINDS;
use crate::frame::{
    self, Content, DropReason, KIND_FAREWELL, KIND_OBSERVATION, KIND_SYNC_REQUEST, KIND_VIEW,
    MessagePart,
};
use crate::observation_table::Observation;
use std::net::SocketAddr;

impl Core {
    /// Handles a datagram received from an address.
    pub fn handle_datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.counts.received += 1;
        let is_allowed =
            self.networks.iter().any(|net| net.contains(&from.ip())) || self.seeds.contains(&from);
        if !is_allowed {
            return self.record_drop(DropReason::Unknown);
        }
        let (head, content) = match frame::read(bytes, &self.cluster) {
            Ok(read) => read,
            Err(why) => return self.record_drop(why),
        };
        match head.content {
            Content::Membership => self.handle_membership(now, from, content),
            Content::Updates => {
                let Some(zone) = self.members.get(&from).map(|known| known.zone) else {
                    return self.record_drop(DropReason::Unknown);
                };
                self.record_contact(now, zone, false);
                let age = now.saturating_sub(head.sent_at);
                if age < -self.skew || age > self.skew + MAX_TRANSIT_TIME {
                    return self.record_drop(DropReason::Clock);
                }
                for part in frame::message_parts(content) {
                    match part {
                        Ok(MessagePart {
                            kind: KIND_OBSERVATION,
                            bytes,
                        }) => match postcard::from_bytes::<Observation>(bytes) {
                            Ok(observation) => self.handle_observation(now, observation),
                            Err(_) => self.record_drop(DropReason::Malformed),
                        },
                        Ok(MessagePart {
                            kind: KIND_SYNC_REQUEST,
                            ..
                        }) => self.answer_sync(now, from),
                        Ok(MessagePart {
                            kind: KIND_VIEW,
                            bytes,
                        }) => self.handle_view(now, head.sent_at, from, bytes),
                        Ok(MessagePart {
                            kind: KIND_FAREWELL,
                            bytes,
                        }) => self.handle_fragment(now, from, KIND_FAREWELL, bytes),
                        Ok(MessagePart { kind, bytes }) if FRAGMENT_KINDS.contains(&kind) => {
                            self.handle_fragment(now, from, kind, bytes);
                        }
                        Ok(_) => self.record_drop(DropReason::Kind),
                        Err(why) => self.record_drop(why),
                    }
                }
            }
        }
    }
}
