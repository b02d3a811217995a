//! What members send each other and make of it. Changes with what is exchanged, and when.

use crate::member::Bindings;
use crate::piece::{LONGEST, Piece, Refused};
use crate::report::Told;
use crate::time::Slot;
use crate::{Micros, mix};

/// How often [`Bindings::tick`] is to be called.
pub const TICK: Micros = 100_000;
/// Time from one pulse to the next.
const PULSE: Micros = 500_000;
/// Members that are answered at a time, and keys in one turn of an answer: they fit into one piece or two.
const MOST_ASKED: usize = 4;
const ANSWER: usize = 16;
/// Least room of a pulse for members that are clear of a process.
const REPORT_ROOM: usize = 48;

impl Bindings {
    /// A piece came from a member. Gives whether it is a sign of contact: it came in time, from one that knows who left.
    ///
    /// # Errors
    /// Why it was refused; nothing of it was taken in.
    pub fn hear(&mut self, now: Micros, from: u64, bytes: &[u8]) -> Result<bool, Refused> {
        let read = Piece::read(bytes).and_then(|piece| match piece.stamp <= now + self.times.skew {
            true => Ok(piece),
            false => Err(Refused::Clock),
        });
        let piece = read.inspect_err(|_| self.census.refused += 1)?;
        let (newest, oldest) = (self.times.slot(now + self.times.skew), self.times.slot(now));
        for (process, phase) in piece.phases().filter(|(_, phase)| phase.since.0 <= newest) {
            // One that finds no room stops all bindings here until it does.
            let _ = self.phases.merge(process, phase);
        }
        for (process, epoch, member) in piece.reports() {
            self.phases.report(process, epoch, member);
        }
        for (key, process, mut word) in piece.each_word() {
            if !self.guards.ages_from_use {
                word.ends = oldest + self.times.life(word.held);
            }
            let ended = self.phases.ended(process, word.era) && self.guards.refuses_ended;
            let counts = word.last(&self.times) <= newest && oldest < word.ends && !ended;
            match counts && self.table.merge(key, process, word) {
                true => self.census.heard += 1,
                false => self.census.passed_over += 1,
            }
        }
        if piece.asks && self.asked.len() < MOST_ASKED && self.asked.iter().all(|(who, _)| *who != from) {
            self.asked.push_back((from, None));
        }
        if piece.ends {
            self.asks = 0;
        }
        if let Some(floor) = piece.floor.filter(|(slot, _)| *slot <= newest + self.times.life_held) {
            self.table.raise(floor);
        }
        let in_time = piece.stamp >= now - self.times.late - self.times.skew;
        Ok(piece.sound && in_time && (self.hearing.sound() || piece.stamp > self.begun))
    }

    /// Every [`TICK`]: ages out what is past its life and says what is to be sent.
    pub fn tick(&mut self, now: Micros) -> Told {
        let slot = self.times.slot(now);
        if slot != self.slot {
            self.slot = slot;
            self.turn_of_slot(slot);
        }
        let phases = &self.phases;
        let era = |process| Some(phases.era(process)).filter(|era| !phases.ended(process, *era));
        let words = self.telling.due_now(now, &self.table, &self.times, era);
        for (key, process, word) in &words {
            self.census.told += 1;
            self.table.merge(*key, *process, *word);
        }
        let mut told = Told::default();
        told.spread.extend(Piece::words(now, words).iter().map(Piece::bytes));
        if now >= self.pulses_at.saturating_add(PULSE) || now < self.pulses_at {
            self.pulses_at = now;
            told.nearby = Some(self.pulse(now));
        }
        told.direct.extend(self.answer(now));
        told
    }

    fn turn_of_slot(&mut self, slot: Slot) {
        let (phases, times) = (&self.phases, &self.times);
        self.table.age(slot);
        if phases.iter().next().is_some() {
            let moved = |key, process, era| phases.moves(key, process, era, times).is_some_and(|m| m <= slot);
            self.table.retain(|key, process, word| !moved(key, process, word.era));
        }
        let left: Vec<_> = phases.iter().filter(|(_, phase)| phase.leaves).collect();
        for (process, phase) in left {
            if !self.under_way.contains_key(&process) && !self.table.holds(process) {
                self.phases.report(process, phase.epoch, self.member);
            }
        }
    }

    /// What is told to a few again and again: who left, who is clear, what was dropped.
    pub(crate) fn pulse(&mut self, now: Micros) -> Vec<u8> {
        let mut piece = Piece::at(now);
        piece.sound = self.hearing.sound() && self.phases.whole();
        piece.asks = self.asks > 0;
        piece.floor = self.table.floor();
        self.asks = self.asks.saturating_sub(1);
        self.phases.iter().for_each(|(process, phase)| piece.phase(process, phase));
        let left: Vec<_> = self.phases.iter().filter(|(_, phase)| phase.leaves).collect();
        self.turn = mix(self.turn, 1);
        for i in 0..left.len() {
            let (process, phase) = left[(i + self.turn as usize % left.len()) % left.len()];
            let reported = self.phases.reported(process);
            let skip = self.turn as usize % reported.clone().count().max(1);
            let around = reported.clone().skip(skip).chain(reported.take(skip));
            if piece.bytes().len() + REPORT_ROOM > LONGEST {
                break;
            }
            piece.report(process, phase.epoch, around);
        }
        piece.bytes()
    }

    /// The next turn of the answer to a member that asked.
    fn answer(&mut self, now: Micros) -> Vec<(u64, Vec<u8>)> {
        let Some((who, from)) = self.asked.pop_front() else { return Vec::new() };
        let (mut words, mut rank) = (Vec::new(), from);
        for at in self.table.below(from).take(ANSWER) {
            words.extend(self.table.words(at.2).map(|(process, word)| (at.2, process, word)));
            rank = Some(at);
        }
        if rank == from {
            let mut end = Piece::at(now);
            end.ends = true;
            return vec![(who, end.bytes())];
        }
        self.asked.push_back((who, rank));
        Piece::words(now, words).iter().map(|piece| (who, piece.bytes())).collect()
    }
}
