//! Received datagrams: which are accepted, and which part of the core takes their content.

use super::{Core, UNDER_WAY};
use crate::Micros;
use crate::fragments::CARRIED;
use crate::frame::{self, ASK, Content, Dropped, FAREWELL, MessagePart, OBSERVATION, VIEW};
use crate::observation_table::Observation;
use std::net::SocketAddr;

impl Core {
    /// A datagram came from there.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        self.counts.received += 1;
        let known =
            self.networks.iter().any(|net| net.contains(&from.ip())) || self.seeds.contains(&from);
        if !known {
            return self.drop_one(Dropped::Unknown);
        }
        let (head, content) = match frame::read(bytes, &self.cluster) {
            Ok(read) => read,
            Err(why) => return self.drop_one(why),
        };
        match head.content {
            Content::Membership => self.membership(now, from, content),
            Content::Updates => {
                let Some(zone) = self.members.get(&from).map(|known| known.zone) else {
                    return self.drop_one(Dropped::Unknown);
                };
                self.record_contact(now, zone, false);
                let late = now.saturating_sub(head.sent);
                if late < -self.skew || late > self.skew + UNDER_WAY {
                    return self.drop_one(Dropped::Clock);
                }
                for part in frame::message_parts(content) {
                    match part {
                        Ok(MessagePart {
                            kind: OBSERVATION,
                            bytes,
                        }) => match postcard::from_bytes::<Observation>(bytes) {
                            Ok(observation) => self.receive(now, observation),
                            Err(_) => self.drop_one(Dropped::Malformed),
                        },
                        Ok(MessagePart { kind: ASK, .. }) => self.answer(now, from),
                        Ok(MessagePart { kind: VIEW, bytes }) => {
                            self.viewed(now, head.sent, from, bytes)
                        }
                        Ok(MessagePart {
                            kind: FAREWELL,
                            bytes,
                        }) => self.carried(now, from, FAREWELL, bytes),
                        Ok(MessagePart { kind, bytes }) if CARRIED.contains(&kind) => {
                            self.carried(now, from, kind, bytes);
                        }
                        Ok(_) => self.drop_one(Dropped::Kind),
                        Err(why) => self.drop_one(why),
                    }
                }
            }
        }
    }
}
