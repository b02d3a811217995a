//! Carries message parts of other crates.

use super::news::SENDS;
use super::{Core, FANOUT};
use crate::Micros;
use crate::carrier::{BOUND, Came, Letter, NotCarried};
use crate::effects::Carried;
use crate::frame::{self, Content, Dropped, FAREWELL, Head, Piece};
use rand::RngExt;
use std::net::SocketAddr;

impl Core {
    /// Spreads a piece to all members, as news are spread: nine sends by each that hears of it, in datagrams with what
    /// else there is to say, evidence first. It comes out once at each that is reached, and not here.
    ///
    /// # Errors
    /// Why it is not; nothing was sent then.
    pub fn carry(&mut self, now: Micros, kind: u8, bytes: &[u8]) -> Result<(), NotCarried> {
        let letter = self.letter(now, kind, bytes, true)?;
        self.keep_carrying(now, kind, letter, now);
        Ok(())
    }

    /// Sends a piece to one member alone, at once, in a datagram of its own. It may be lost.
    ///
    /// # Errors
    /// Why it is not sent.
    pub fn carry_to(
        &mut self,
        now: Micros,
        to: u64,
        kind: u8,
        bytes: &[u8],
    ) -> Result<(), NotCarried> {
        let to = *self.by_origin.get(&to).ok_or(NotCarried::Nobody)?;
        let letter = self.letter(now, kind, bytes, false)?;
        let mut frame = frame::begin(&Head {
            cluster: &self.cluster,
            sent: now,
            content: Content::News,
        });
        if !frame::add(
            &mut frame,
            &Piece {
                kind,
                bytes: &letter,
            },
        ) {
            return Err(NotCarried::TooLong);
        }
        self.send(to, frame);
        Ok(())
    }

    /// Members drawn at random, at most so many, none twice: to ask them for something by [`Core::carry_to`].
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

    fn letter(
        &mut self,
        now: Micros,
        kind: u8,
        body: &[u8],
        spreads: bool,
    ) -> Result<Vec<u8>, NotCarried> {
        let sequence = self.carrier.next(now, kind, body.len(), spreads)?;
        self.counts.carried += 1;
        let (origin, incarnation) = (self.origin, self.me.incarnation);
        let letter = Letter {
            origin,
            incarnation,
            sequence,
            said: now,
            spreads,
            body,
        };
        postcard::to_stdvec(&letter).map_err(|_| NotCarried::TooLong)
    }

    fn keep_carrying(&mut self, now: Micros, kind: u8, letter: Vec<u8>, said: Micros) {
        if !self.carrier.pass_on(kind, letter, said, SENDS) {
            self.drop_one(Dropped::Full);
        }
        self.wake(now);
    }

    /// Says to some that it leaves; they pass it on.
    pub(super) fn farewell(&mut self, now: Micros) {
        let (origin, incarnation, sequence) =
            (self.origin, self.me.incarnation, self.carrier.last());
        let letter = Letter {
            origin,
            incarnation,
            sequence,
            said: now,
            spreads: true,
            body: &[],
        };
        let Ok(letter) = postcard::to_stdvec(&letter) else {
            return;
        };
        for to in self.neighbours(2 * FANOUT) {
            let to = self.by_origin.get(&to).copied();
            let mut frame = frame::begin(&Head {
                cluster: &self.cluster,
                sent: now,
                content: Content::News,
            });
            if let Some(to) = to.filter(|_| {
                frame::add(
                    &mut frame,
                    &Piece {
                        kind: FAREWELL,
                        bytes: &letter,
                    },
                )
            }) {
                self.send(to, frame);
            }
        }
    }

    /// A carried piece came from there, a member.
    pub(super) fn carried(&mut self, now: Micros, from: SocketAddr, kind: u8, bytes: &[u8]) {
        let Ok(letter) = postcard::from_bytes::<Letter<'_>>(bytes) else {
            return self.drop_one(Dropped::Malformed);
        };
        if letter.body.len() > crate::carrier::longest(letter.spreads) {
            return self.drop_one(Dropped::TooLong);
        }
        if letter.origin == self.origin {
            // The own word comes back, which is nothing; one that was never given is another's.
            if letter.incarnation >= self.me.incarnation && letter.sequence > self.carrier.given() {
                self.drop_one(Dropped::Forged);
            }
            return;
        }
        if !letter.spreads
            && self
                .members
                .get(&from)
                .is_none_or(|known| known.origin != letter.origin)
        {
            return self.drop_one(Dropped::Forged);
        }
        if letter.said > now + self.skew {
            return self.drop_one(Dropped::Clock);
        }
        if now - letter.said >= BOUND {
            return self.drop_one(Dropped::Stale);
        }
        match self.carrier.came(now, &letter) {
            Came::Before => return,
            Came::Full => return self.drop_one(Dropped::Full),
            Came::New => {}
        }
        if kind == FAREWELL {
            self.roster.said_so(letter.origin, letter.incarnation);
        } else {
            self.counts.handed_out += 1;
            self.effects.carried.push(Carried {
                origin: letter.origin,
                incarnation: letter.incarnation,
                kind,
                bytes: letter.body.to_vec(),
            });
        }
        if letter.spreads {
            self.keep_carrying(now, kind, bytes.to_vec(), letter.said);
        }
    }
}
