//! Sends and receives message fragments of other crates.

use super::dissemination::MAX_SENDS;
use super::{Core, FANOUT};
use crate::Micros;
use crate::effects::ReceivedFragment;
use crate::fragments::{FragmentEnvelope, FragmentError, MAX_FRAGMENT_AGE, ReceiveResult};
use crate::frame::{self, Content, DropReason, FrameHeader, KIND_FAREWELL, MessagePart};
use rand::RngExt;
use std::net::SocketAddr;

impl Core {
    /// Broadcasts a fragment to all members in the way of observations: each member that receives
    /// it forwards it nine times, in datagrams with other updates, which take precedence. Each
    /// member that is reached outputs it once; this member does not.
    ///
    /// # Errors
    /// Returns the reason why the fragment was not accepted; nothing is sent then.
    pub fn broadcast_fragment(
        &mut self,
        now: Micros,
        kind: u8,
        bytes: &[u8],
    ) -> Result<(), FragmentError> {
        let envelope = self.envelope(now, kind, bytes, true)?;
        self.forward_fragment(now, kind, envelope, now);
        Ok(())
    }

    /// Sends a fragment to one member, immediately and in a datagram of its own. It may be lost.
    ///
    /// # Errors
    /// Returns the reason why the fragment was not sent.
    pub fn send_fragment(
        &mut self,
        now: Micros,
        recipient: u64,
        kind: u8,
        bytes: &[u8],
    ) -> Result<(), FragmentError> {
        let address = *self
            .addresses_by_origin
            .get(&recipient)
            .ok_or(FragmentError::UnknownMember)?;
        let envelope = self.envelope(now, kind, bytes, false)?;
        let mut frame = frame::begin(&FrameHeader {
            cluster: &self.cluster,
            sent_at: now,
            content: Content::Updates,
        });
        if !frame::try_append(
            &mut frame,
            &MessagePart {
                kind,
                bytes: &envelope,
            },
        ) {
            return Err(FragmentError::TooLong);
        }
        self.send(address, frame);
        Ok(())
    }

    /// Returns distinct random members, at most `max_members`, for use with
    /// [`Core::send_fragment`].
    pub fn random_members(&mut self, max_members: usize) -> Vec<u64> {
        let mut chosen = Vec::new();
        // Twice as many draws find nearly as many distinct members.
        for _ in 0..2 * max_members.min(self.member_addresses.len()) {
            let address =
                self.member_addresses[self.rng.random_range(0..self.member_addresses.len())];
            let origin = self.members.get(&address).map(|known| known.origin);
            chosen.extend(
                origin.filter(|origin| chosen.len() < max_members && !chosen.contains(origin)),
            );
        }
        chosen
    }

    fn envelope(
        &mut self,
        now: Micros,
        kind: u8,
        body: &[u8],
        broadcast: bool,
    ) -> Result<Vec<u8>, FragmentError> {
        let sequence = self
            .fragments
            .next_sequence(now, kind, body.len(), broadcast)?;
        self.counts.fragments_sent += 1;
        let (origin, incarnation) = (self.origin, self.identity.incarnation);
        let envelope = FragmentEnvelope {
            origin,
            incarnation,
            sequence,
            created_at: now,
            broadcast,
            body,
        };
        postcard::to_stdvec(&envelope).map_err(|_| FragmentError::TooLong)
    }

    fn forward_fragment(&mut self, now: Micros, kind: u8, envelope: Vec<u8>, created_at: Micros) {
        if !self
            .fragments
            .enqueue(kind, envelope, created_at, MAX_SENDS)
        {
            self.record_drop(DropReason::Full);
        }
        self.schedule_active_tick(now);
    }

    /// Announces the departure of this member to a few members, which forward it.
    pub(super) fn send_farewell(&mut self, now: Micros) {
        let (origin, incarnation, sequence) = (
            self.origin,
            self.identity.incarnation,
            self.fragments.final_sequence(),
        );
        let envelope = FragmentEnvelope {
            origin,
            incarnation,
            sequence,
            created_at: now,
            broadcast: true,
            body: &[],
        };
        let Ok(envelope) = postcard::to_stdvec(&envelope) else {
            return;
        };
        for to in self.random_members(2 * FANOUT) {
            let address = self.addresses_by_origin.get(&to).copied();
            let mut frame = frame::begin(&FrameHeader {
                cluster: &self.cluster,
                sent_at: now,
                content: Content::Updates,
            });
            if let Some(to) = address.filter(|_| {
                frame::try_append(
                    &mut frame,
                    &MessagePart {
                        kind: KIND_FAREWELL,
                        bytes: &envelope,
                    },
                )
            }) {
                self.send(to, frame);
            }
        }
    }

    /// Handles a fragment received from a member.
    pub(super) fn handle_fragment(
        &mut self,
        now: Micros,
        from: SocketAddr,
        kind: u8,
        bytes: &[u8],
    ) {
        let Ok(envelope) = postcard::from_bytes::<FragmentEnvelope<'_>>(bytes) else {
            return self.record_drop(DropReason::Malformed);
        };
        if envelope.body.len() > crate::fragments::max_body_bytes(envelope.broadcast) {
            return self.record_drop(DropReason::TooLong);
        }
        if envelope.origin == self.origin {
            // Own fragments are ignored when they return. One with an unused sequence number is
            // forged.
            if envelope.incarnation >= self.identity.incarnation
                && envelope.sequence > self.fragments.last_sequence()
            {
                self.record_drop(DropReason::Forged);
            }
            return;
        }
        if !envelope.broadcast
            && self
                .members
                .get(&from)
                .is_none_or(|known| known.origin != envelope.origin)
        {
            return self.record_drop(DropReason::Forged);
        }
        if envelope.created_at > now + self.skew {
            return self.record_drop(DropReason::Clock);
        }
        if now - envelope.created_at >= MAX_FRAGMENT_AGE {
            return self.record_drop(DropReason::Stale);
        }
        match self.fragments.record_received(now, &envelope) {
            ReceiveResult::Duplicate => return,
            ReceiveResult::Full => return self.record_drop(DropReason::Full),
            ReceiveResult::New => {}
        }
        if kind == KIND_FAREWELL {
            self.membership
                .record_announced_departure(envelope.origin, envelope.incarnation);
        } else {
            self.counts.fragments_received += 1;
            self.effects.fragments.push(ReceivedFragment {
                origin: envelope.origin,
                incarnation: envelope.incarnation,
                kind,
                bytes: envelope.body.to_vec(),
            });
        }
        if envelope.broadcast {
            self.forward_fragment(now, kind, bytes.to_vec(), envelope.created_at);
        }
    }
}
