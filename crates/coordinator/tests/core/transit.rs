//! Messages in transit between coordinators, platform and callers.

use crate::world::{PATIENCE, World};
use load_balancer_coordinator::core::{Input, Output, Reply};
use load_balancer_maintenance::{Action, Answer, Outcome, Unclear};

/// What is on its way.
pub enum Parcel {
    /// For a seat.
    Input(usize, Input),
    /// For the platform, by a seat.
    Action(usize, Action),
    Question(usize, Unclear),
}

impl World {
    fn put(&mut self, parcel: Parcel) {
        self.sent += 1;
        let at = self.now + self.random.u64(1..=self.net.delay);
        self.wire.insert((at, self.sent), parcel);
    }

    pub fn lost(&mut self) -> bool {
        self.random.u64(0..1_000) < self.net.loss
    }

    /// Gives a coordinator something, and does what it says.
    pub fn give(&mut self, place: usize, input: Input) {
        let now = self.clock(place);
        if self.now < self.slots[place].stopped_until {
            // It is given once the process goes on.
            let parcel = Parcel::Input(place, input);
            self.sent += 1;
            let at = self.slots[place].stopped_until;
            return drop(self.wire.insert((at, self.sent), parcel));
        }
        let Some(coordinator) = &mut self.slots[place].coordinator else {
            return;
        };
        coordinator.take(now, input);
        match coordinator.drive(now) {
            Ok(output) => self.perform(place, output),
            Err(_) => self.crash(place),
        }
    }

    fn perform(&mut self, place: usize, output: Output) {
        for (to, message) in output.messages {
            let Some(to) = self.slots.iter().position(|slot| slot.name == to) else {
                continue;
            };
            if self.slots[to].side == self.slots[place].side && !self.lost() {
                let from = self.slots[place].name.clone();
                self.put(Parcel::Input(to, Input::Message(from, message)));
            }
        }
        if !output.acts.is_empty() || !output.questions.is_empty() {
            self.may_order(place);
        }
        for order in output.acts {
            self.moment();
            // Now and then one is on its way for much longer than anybody waits for it.
            if self.random.u64(0..1_000) < self.net.loss / 2 {
                self.sent += 1;
                let at = self.now + self.random.u64(20..200);
                self.wire
                    .insert((at, self.sent), Parcel::Action(place, order.what));
            } else {
                self.put(Parcel::Action(place, order.what));
            }
        }
        for order in output.questions {
            self.moment();
            self.put(Parcel::Question(place, order.what));
        }
        for (caller, reply) in output.replies {
            if let (Some(request), Reply::Agreed(Outcome::Booked { window, .. })) =
                (self.asked.remove(&caller), reply)
            {
                let before = self.booked.insert(request.name.clone(), window);
                assert!(
                    before.is_none_or(|before| before == window),
                    "two windows for {}",
                    request.name
                );
            }
        }
    }

    /// Whoever orders leads, or has been deposed for no longer than a majority's word lasts.
    fn may_order(&mut self, place: usize) {
        let Some(coordinator) = &self.slots[place].coordinator else {
            return;
        };
        let own = coordinator.replica_status().term;
        let later = self.terms.iter().find(|(term, _)| **term > own);
        let late = later.is_some_and(|(_, since)| self.now > since + PATIENCE as u64);
        assert!(!late, "s{place} orders in term {own}, and {later:?} leads");
    }

    /// Something happened to a server's window.
    fn moment(&mut self) {
        self.moments += 1;
        if self.kill_at == Some(self.moments)
            && let Some(leader) = self.leader()
        {
            self.crash(leader);
        }
    }

    pub fn deliver(&mut self) {
        let later = self.wire.split_off(&(self.now + 1, 0));
        for (_, parcel) in std::mem::replace(&mut self.wire, later) {
            match parcel {
                Parcel::Input(place, input) => {
                    if matches!(input, Input::Acted(..) | Input::Cleared(..)) {
                        self.moment();
                    }
                    self.give(place, input);
                }
                Parcel::Action(place, act) => {
                    // It gets there or not, and is heard of or not, whether who sent it lives or
                    // not.
                    let answer = if self.lost() {
                        None
                    } else {
                        Some(self.platform.act(&act))
                    };
                    self.moment();
                    let answer: Option<Answer> = answer.filter(|_| !self.lost());
                    self.put(Parcel::Input(place, Input::Acted(act, answer)));
                }
                Parcel::Question(place, question) => {
                    let clear = !self.lost() && self.platform.clear(&question);
                    self.put(Parcel::Input(place, Input::Cleared(question, clear)));
                }
            }
        }
    }
}
