//! Carries message parts of other crates.

use super::dissemination::MAX_SENDS;
use super::{Core, FANOUT};
use crate::Micros;
use crate::effects::CarriedFragment;
use crate::fragments::{BOUND, FragmentEnvelope, FragmentRefused, Receipt};
use crate::frame::{self, Content, Dropped, FAREWELL, Head, MessagePart};
use rand::RngExt;
use std::net::SocketAddr;

impl Core {
    /// Spreads a fragment to all members, as news are spread: nine sends by each that hears of it,
    /// in datagrams with what else there is to say, observations first. It comes out once at each
    /// that is reached, and not here.
    ///
    /// # Errors
    /// Why it is not; nothing was sent then.
    pub fn carry(&mut self, now: Micros, kind: u8, bytes: &[u8]) -> Result<(), FragmentRefused> {
        let envelope = self.envelope(now, kind, bytes, true)?;
        self.keep_carrying(now, kind, envelope, now);
        Ok(())
    }

    /// Sends a fragment to one member alone, at once, in a datagram of its own. It may be lost.
    ///
    /// # Errors
    /// Why it is not sent.
    pub fn carry_to(
        &mut self,
        now: Micros,
        to: u64,
        kind: u8,
        bytes: &[u8],
    ) -> Result<(), FragmentRefused> {
        let to = *self.by_origin.get(&to).ok_or(FragmentRefused::Nobody)?;
        let envelope = self.envelope(now, kind, bytes, false)?;
        let mut frame = frame::begin(&Head {
            cluster: &self.cluster,
            sent: now,
            content: Content::Updates,
        });
        if !frame::add(
            &mut frame,
            &MessagePart {
                kind,
                bytes: &envelope,
            },
        ) {
            return Err(FragmentRefused::TooLong);
        }
        self.send(to, frame);
        Ok(())
    }

    /// Members drawn at random, at most so many, none twice: to ask them for something by
    /// [`Core::carry_to`].
    pub fn neighbours(&mut self, most: usize) -> Vec<u64> {
        let mut drawn = Vec::new();
        // Twice the draws find as many as there are, or nearly.
        for _ in 0..2 * most.min(self.drawn.len()) {
            let at = self.drawn[self.rng.random_range(0..self.drawn.len())];
            let origin = self.members.get(&at).map(|known| known.origin);
            drawn.extend(origin.filter(|origin| drawn.len() < most && !drawn.contains(origin)));
        }
        drawn
    }

    fn envelope(
        &mut self,
        now: Micros,
        kind: u8,
        body: &[u8],
        spreads: bool,
    ) -> Result<Vec<u8>, FragmentRefused> {
        let sequence = self.fragments.next(now, kind, body.len(), spreads)?;
        self.counts.carried += 1;
        let (origin, incarnation) = (self.origin, self.me.incarnation);
        let envelope = FragmentEnvelope {
            origin,
            incarnation,
            sequence,
            said: now,
            spreads,
            body,
        };
        postcard::to_stdvec(&envelope).map_err(|_| FragmentRefused::TooLong)
    }

    fn keep_carrying(&mut self, now: Micros, kind: u8, envelope: Vec<u8>, said: Micros) {
        if !self.fragments.disseminate(kind, envelope, said, MAX_SENDS) {
            self.drop_one(Dropped::Full);
        }
        self.wake(now);
    }

    /// Says to some that it leaves; they pass it on.
    pub(super) fn farewell(&mut self, now: Micros) {
        let (origin, incarnation, sequence) =
            (self.origin, self.me.incarnation, self.fragments.last());
        let envelope = FragmentEnvelope {
            origin,
            incarnation,
            sequence,
            said: now,
            spreads: true,
            body: &[],
        };
        let Ok(envelope) = postcard::to_stdvec(&envelope) else {
            return;
        };
        for to in self.neighbours(2 * FANOUT) {
            let to = self.by_origin.get(&to).copied();
            let mut frame = frame::begin(&Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::Updates,
            });
            if let Some(to) = to.filter(|_| {
                frame::add(
                    &mut frame,
                    &MessagePart {
                        kind: FAREWELL,
                        bytes: &envelope,
                    },
                )
            }) {
                self.send(to, frame);
            }
        }
    }

    /// A carried fragment came from there, a member.
    pub(super) fn carried(&mut self, now: Micros, from: SocketAddr, kind: u8, bytes: &[u8]) {
        let Ok(envelope) = postcard::from_bytes::<FragmentEnvelope<'_>>(bytes) else {
            return self.drop_one(Dropped::Malformed);
        };
        if envelope.body.len() > crate::fragments::longest(envelope.spreads) {
            return self.drop_one(Dropped::TooLong);
        }
        if envelope.origin == self.origin {
            // The own word comes back, which is nothing; one that was never given is another's.
            if envelope.incarnation >= self.me.incarnation
                && envelope.sequence > self.fragments.given()
            {
                self.drop_one(Dropped::Forged);
            }
            return;
        }
        if !envelope.spreads
            && self
                .members
                .get(&from)
                .is_none_or(|known| known.origin != envelope.origin)
        {
            return self.drop_one(Dropped::Forged);
        }
        if envelope.said > now + self.skew {
            return self.drop_one(Dropped::Clock);
        }
        if now - envelope.said >= BOUND {
            return self.drop_one(Dropped::Stale);
        }
        match self.fragments.came(now, &envelope) {
            Receipt::Before => return,
            Receipt::Full => return self.drop_one(Dropped::Full),
            Receipt::New => {}
        }
        if kind == FAREWELL {
            self.membership
                .announced(envelope.origin, envelope.incarnation);
        } else {
            self.counts.handed_out += 1;
            self.effects.carried.push(CarriedFragment {
                origin: envelope.origin,
                incarnation: envelope.incarnation,
                kind,
                bytes: envelope.body.to_vec(),
            });
        }
        if envelope.spreads {
            self.keep_carrying(now, kind, bytes.to_vec(), envelope.said);
        }
    }
}
