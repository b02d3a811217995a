//! Books requested windows, and plans booked ones anew.

use std::collections::{BTreeMap, BTreeSet};

use crate::disruption_budget::DisruptionBudget;
use crate::event::{Booking, Outcome, Refusal};
use crate::invalid::Invalid;
use crate::machine::Machine;
use crate::plan::{OPEN_END_MS, Times, end_of};
use crate::request::{MAX_NAMED_SERVERS, Request, Target};
use crate::timeline::Placement;
use crate::window::{ServerSlot, State, Window};

/// Most slots of open windows together: every server in one window, by the longest list.
pub(crate) const MAX_SLOTS: usize = 4_096;

impl Machine {
    /// Answers a request. It is accepted only with a plan in which no window that had a time loses
    /// it.
    pub(crate) fn ask(&mut self, request: Request) -> Outcome {
        let Some(budget) = self.budget.clone() else {
            return Outcome::Refused(Refusal::NoAgreement);
        };
        if let Some(window) = self
            .windows
            .values()
            .find(|w| w.request.name == request.name)
        {
            if window.request == request {
                return booked(window);
            }
            let reason = "is the name of another request";
            return Outcome::Refused(Refusal::Invalid(Invalid::new("name", reason)));
        }
        if let Err(invalid) = request.check(&budget, self.at_ms) {
            return Outcome::Refused(Refusal::Invalid(invalid));
        }
        let names = match self.resolve(&request.target) {
            Ok(names) => names,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        let open = self.windows.values().filter(|w| !w.closed());
        let (count, slots) = open.fold((0u32, 0usize), |(n, s), w| (n + 1, s + w.slots.len()));
        if count >= budget.most_open {
            let reason = format!("{} requests are open (most_open)", budget.most_open);
            return Outcome::Refused(Refusal::Full(reason));
        }
        if slots + names.len() > MAX_SLOTS {
            return Outcome::Refused(Refusal::Full(format!(
                "{MAX_SLOTS} servers are in open windows"
            )));
        }
        let id = self.last_window + 1;
        let window = Window {
            id,
            request,
            asked_ms: self.at_ms,
            slots: names.into_iter().map(ServerSlot::new).collect(),
            cancelled: false,
        };
        self.windows.insert(id, window);
        match self.fit(&budget, id) {
            Ok(()) => {
                self.last_window = id;
                self.windows.get(&id).map_or(Outcome::Ignored, booked)
            }
            Err(infeasible) => {
                self.windows.remove(&id);
                infeasible
            }
        }
    }

    /// The servers of a target, by name.
    fn resolve(&self, target: &Target) -> Result<Vec<String>, Refusal> {
        let taken: BTreeSet<&str> = self
            .windows
            .values()
            .flat_map(|w| &w.slots)
            .filter(|slot| slot.state != State::Closed)
            .map(|slot| slot.server.as_str())
            .collect();
        let names: BTreeSet<String> = match target {
            Target::Servers(names) => {
                if let Some(name) = names.iter().find(|name| !self.servers.contains_key(*name)) {
                    return Err(Refusal::Unknown(format!(
                        "server {name:?} is not in the list"
                    )));
                }
                names.iter().cloned().collect()
            }
            Target::Group(group) => self
                .servers
                .iter()
                .filter(|(_, k)| k.group == *group)
                .map(|(name, _)| name.clone())
                .collect(),
            Target::Zone {
                zone,
                share_permille,
            } => {
                let mut all: Vec<&String> = self
                    .servers
                    .iter()
                    .filter(|(_, k)| k.zone == *zone)
                    .map(|(name, _)| name)
                    .collect();
                let share = (all.len() * *share_permille as usize).div_ceil(1_000);
                all.sort_by_key(|name| (taken.contains(name.as_str()), *name));
                all.into_iter().take(share).cloned().collect()
            }
        };
        match names.len() {
            0 => Err(Refusal::Unknown("the list names no such server".into())),
            1..=MAX_NAMED_SERVERS => Ok(names.into_iter().collect()),
            _ => Err(Refusal::Full(format!(
                "the target has more than {MAX_NAMED_SERVERS} servers"
            ))),
        }
    }

    /// Finds a plan with a new window in it: all planned anew, or else the new one around the times
    /// that were given.
    fn fit(&mut self, budget: &DisruptionBudget, id: u64) -> Result<(), Outcome> {
        let ledger = self.ledger(budget, self.at_ms);
        let base = self.timeline(budget, &ledger);
        let placements: Vec<Placement> = self
            .windows
            .values()
            .flat_map(|w| self.placements(budget, &ledger, w))
            .collect();
        let had: Times = placements
            .iter()
            .map(|placement| self.start_of(placement))
            .collect();
        let times = self.best(&base, budget, &placements, &had);
        let kept = |(index, placement): (usize, &Placement)| {
            times[index].is_some() || (placement.window != id && had[index].is_none())
        };
        if placements.iter().enumerate().all(kept) {
            self.book(&placements, &times);
            return Ok(());
        }
        let mut around = base.clone();
        for (placement, start) in placements.iter().zip(&had) {
            if let Some(start) = start {
                around.put(placement, *start);
            }
        }
        let (mut fits, mut block) = (true, None);
        let (mut start_ms, mut end_ms) = (Some(i64::MAX), Some(i64::MIN));
        let mut times = had.clone();
        for (index, placement) in placements
            .iter()
            .enumerate()
            .filter(|(_, placement)| placement.window == id)
        {
            let found = around.place(placement, OPEN_END_MS);
            let too_late = found.map_or(true, |start| start > placement.upper_ms);
            if too_late && block.is_none() {
                let tried = around.place(placement, placement.upper_ms).err();
                block = tried.map(|block| self.against(&ledger, block, placement));
            }
            fits &= !too_late;
            times[index] = found.ok();
            match found {
                Ok(start) => {
                    start_ms = start_ms.map(|least| least.min(start));
                    end_ms = end_ms.map(|most| most.max(start.saturating_add(placement.span_ms)));
                    around.put(placement, start);
                }
                Err(_) => (start_ms, end_ms) = (None, None),
            }
        }
        if fits {
            self.book(&placements, &times);
            return Ok(());
        }
        let reason = block.unwrap_or_default();
        Err(Outcome::Infeasible {
            reason,
            earliest_ms: start_ms,
            end_ms: end_ms.filter(|_| start_ms.is_some()),
        })
    }

    fn start_of(&self, placement: &Placement) -> Option<i64> {
        let window = self.windows.get(&placement.window)?;
        let starts = placement
            .slots
            .iter()
            .map(|index| window.slots.get(*index).and_then(|slot| slot.start_ms));
        let start = starts.max().flatten()?;
        // A time that has passed is not kept for ever: whoever could not go then is planned anew.
        (start >= self.at_ms).then_some(start)
    }

    fn book(&mut self, placements: &[Placement], times: &Times) {
        for (placement, time) in placements.iter().zip(times) {
            let Some(window) = self.windows.get_mut(&placement.window) else {
                continue;
            };
            for index in &placement.slots {
                let slot = &mut window.slots[*index];
                slot.start_ms = *time;
                slot.state = if time.is_some() {
                    State::Booked
                } else {
                    State::Asked
                };
            }
        }
    }

    /// Plans all that waits anew.
    pub(crate) fn replan(&mut self, budget: &DisruptionBudget) {
        let ledger = self.ledger(budget, self.at_ms);
        let placements: Vec<Placement> = self
            .windows
            .values()
            .flat_map(|w| self.placements(budget, &ledger, w))
            .collect();
        if placements.is_empty() {
            return;
        }
        let had: Times = placements
            .iter()
            .map(|placement| self.start_of(placement))
            .collect();
        let times = self.best(&self.timeline(budget, &ledger), budget, &placements, &had);
        self.book(&placements, &times);
    }
}

/// The answer for an accepted window.
fn booked(window: &Window) -> Outcome {
    let waves = waves(window);
    let times = window.slots.iter().map(|slot| Booking {
        server: slot.server.clone(),
        wave: slot
            .start_ms
            .and_then(|start| waves.get(&start).copied())
            .unwrap_or(0),
        start_ms: slot.start_ms,
        end_ms: end_of(window, slot),
    });
    Outcome::Booked {
        window: window.id,
        times: times.collect(),
    }
}

/// Numbers of a window's waves, by their start.
fn waves(window: &Window) -> BTreeMap<i64, u32> {
    let starts: BTreeSet<i64> = window
        .slots
        .iter()
        .filter_map(|slot| slot.start_ms)
        .collect();
    starts.into_iter().zip(0u32..).collect()
}
