//! Messages in transit between coordinators, platform and callers.

use crate::world::{PATIENCE, World};
use load_balancer_coordinator::core::{Input, Output, Reply};
use load_balancer_maintenance::{Action, Answer, DrainCheck, Outcome};

/// A message in transit.
pub enum InTransit {
    /// To a coordinator.
    Input(usize, Input),
    /// To the platform, from a coordinator.
    Action(usize, Action),
    DrainCheck(usize, DrainCheck),
}

impl World {
    fn send(&mut self, item: InTransit) {
        self.sent += 1;
        let at = self.now + self.random.u64(1..=self.network.delay);
        self.in_transit.insert((at, self.sent), item);
    }

    pub fn is_lost(&mut self) -> bool {
        self.random.u64(0..1_000) < self.network.loss
    }

    /// Passes an input to a coordinator and performs its outputs.
    pub fn deliver_input(&mut self, place: usize, input: Input) {
        let now = self.clock(place);
        if self.now < self.hosts[place].stopped_until {
            // A suspended process receives it when it resumes.
            let item = InTransit::Input(place, input);
            self.sent += 1;
            let at = self.hosts[place].stopped_until;
            return drop(self.in_transit.insert((at, self.sent), item));
        }
        let Some(coordinator) = &mut self.hosts[place].coordinator else {
            return;
        };
        coordinator.handle_input(now, input);
        match coordinator.process(now) {
            Ok(output) => self.perform_output(place, output),
            Err(_) => self.crash(place),
        }
    }

    fn perform_output(&mut self, place: usize, output: Output) {
        for (recipient, message) in output.messages {
            let Some(to) = self.hosts.iter().position(|slot| slot.name == recipient) else {
                continue;
            };
            if self.hosts[to].partition == self.hosts[place].partition && !self.is_lost() {
                let from = self.hosts[place].name.clone();
                self.send(InTransit::Input(to, Input::Message(from, message)));
            }
        }
        if !output.actions.is_empty() || !output.drain_checks.is_empty() {
            self.check_may_order(place);
        }
        for order in output.actions {
            self.record_step();
            // Occasionally an order is in transit for much longer than any timeout.
            if self.random.u64(0..1_000) < self.network.loss / 2 {
                self.sent += 1;
                let at = self.now + self.random.u64(20..200);
                self.in_transit
                    .insert((at, self.sent), InTransit::Action(place, order.item));
            } else {
                self.send(InTransit::Action(place, order.item));
            }
        }
        for order in output.drain_checks {
            self.record_step();
            self.send(InTransit::DrainCheck(place, order.item));
        }
        for (caller, reply) in output.replies {
            if let (Some(request), Reply::Committed(Outcome::Booked { window, .. })) =
                (self.requests.remove(&caller), reply)
            {
                let previous = self.booked.insert(request.name.clone(), window);
                assert!(
                    previous.is_none_or(|before| before == window),
                    "two windows for {}",
                    request.name
                );
            }
        }
    }

    /// Checks that a coordinator that orders actions leads, or was deposed no longer ago than a
    /// majority's confirmation is valid.
    fn check_may_order(&mut self, place: usize) {
        let Some(coordinator) = &self.hosts[place].coordinator else {
            return;
        };
        let own = coordinator.replica_status().term;
        let later = self
            .leader_since_by_term
            .iter()
            .find(|(term, _)| **term > own);
        let too_late = later.is_some_and(|(_, since)| self.now > since + PATIENCE as u64);
        assert!(
            !too_late,
            "s{place} orders in term {own}, but {later:?} leads"
        );
    }

    /// Records a step of a window.
    fn record_step(&mut self) {
        self.steps += 1;
        if self.kill_leader_at_step == Some(self.steps)
            && let Some(leader) = self.leader()
        {
            self.crash(leader);
        }
    }

    pub fn deliver_due(&mut self) {
        let later = self.in_transit.split_off(&(self.now + 1, 0));
        for (_, item) in std::mem::replace(&mut self.in_transit, later) {
            match item {
                InTransit::Input(place, input) => {
                    if matches!(input, Input::ActionResult(..) | Input::DrainResult(..)) {
                        self.record_step();
                    }
                    self.deliver_input(place, input);
                }
                InTransit::Action(place, action) => {
                    // The action and its answer may be lost independently, whether or not the
                    // sender still runs.
                    let answer = if self.is_lost() {
                        None
                    } else {
                        Some(self.platform.perform(&action))
                    };
                    self.record_step();
                    let answer: Option<Answer> = answer.filter(|_| !self.is_lost());
                    self.send(InTransit::Input(place, Input::ActionResult(action, answer)));
                }
                InTransit::DrainCheck(place, check) => {
                    let clear = !self.is_lost() && self.platform.check_clear(&check);
                    self.send(InTransit::Input(place, Input::DrainResult(check, clear)));
                }
            }
        }
    }
}
