//! Books requested windows, and replans booked ones.

use std::collections::{BTreeMap, BTreeSet};

use crate::disruption_budget::DisruptionBudget;
use crate::event::{Booking, Outcome, Refusal};
use crate::invalid::Invalid;
use crate::machine::Machine;
use crate::plan::{OPEN_END_MS, StartTimes, slot_end_ms};
use crate::request::{MAX_NAMED_SERVERS, Request, Target};
use crate::timeline::Placement;
use crate::window::{ServerSlot, State, Window};

/// Most slots of open windows together: every server of the longest list in one window.
pub(crate) const MAX_SLOTS: usize = 4_096;

impl Machine {
    /// Handles a request. It is accepted only with a plan in which every window that had a time
    /// keeps one.
    pub(crate) fn request_window(&mut self, request: Request) -> Outcome {
        let Some(budget) = self.budget.clone() else {
            return Outcome::Refused(Refusal::NoAgreement);
        };
        if let Some(window) = self
            .windows
            .values()
            .find(|w| w.request.name == request.name)
        {
            if window.request == request {
                return booked_outcome(window);
            }
            let reason = "is the name of another request";
            return Outcome::Refused(Refusal::Invalid(Invalid::new("name", reason)));
        }
        if let Err(invalid) = request.check(&budget, self.at_ms) {
            return Outcome::Refused(Refusal::Invalid(invalid));
        }
        let names = match self.resolve_target(&request.target) {
            Ok(names) => names,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        let open = self.windows.values().filter(|w| !w.is_closed());
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
        match self.plan_with(&budget, id) {
            Ok(()) => {
                self.last_window = id;
                self.windows
                    .get(&id)
                    .map_or(Outcome::Ignored, booked_outcome)
            }
            Err(infeasible) => {
                self.windows.remove(&id);
                infeasible
            }
        }
    }

    /// Resolves a target to the names of its servers.
    fn resolve_target(&self, target: &Target) -> Result<Vec<String>, Refusal> {
        let already_in_windows: BTreeSet<&str> = self
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
                let mut servers: Vec<&String> = self
                    .servers
                    .iter()
                    .filter(|(_, k)| k.zone == *zone)
                    .map(|(name, _)| name)
                    .collect();
                let count = (servers.len() * *share_permille as usize).div_ceil(1_000);
                servers.sort_by_key(|name| (already_in_windows.contains(name.as_str()), *name));
                servers.into_iter().take(count).cloned().collect()
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

    /// Finds a plan that includes a new window: replans everything, or else places the new window
    /// around the times already given.
    fn plan_with(&mut self, budget: &DisruptionBudget, id: u64) -> Result<(), Outcome> {
        let ledger = self.capacity_ledger(budget, self.at_ms);
        let timeline = self.current_timeline(budget, &ledger);
        let placements: Vec<Placement> = self
            .windows
            .values()
            .flat_map(|w| self.placements(budget, &ledger, w))
            .collect();
        let previous: StartTimes = placements
            .iter()
            .map(|placement| self.kept_start(placement))
            .collect();
        let times = self.best_times(&timeline, budget, &placements, &previous);
        let is_kept = |(index, placement): (usize, &Placement)| {
            times[index].is_some() || (placement.window != id && previous[index].is_none())
        };
        if placements.iter().enumerate().all(is_kept) {
            self.set_times(&placements, &times);
            return Ok(());
        }
        let mut with_previous = timeline.clone();
        for (placement, start) in placements.iter().zip(&previous) {
            if let Some(start) = start {
                with_previous.add_placement(placement, *start);
            }
        }
        let (mut fits, mut blocker) = (true, None);
        let (mut start_ms, mut end_ms) = (Some(i64::MAX), Some(i64::MIN));
        let mut times = previous.clone();
        for (index, placement) in placements
            .iter()
            .enumerate()
            .filter(|(_, placement)| placement.window == id)
        {
            let start = with_previous.earliest_start(placement, OPEN_END_MS);
            let too_late = start.map_or(true, |start| start > placement.latest_start_ms);
            if too_late && blocker.is_none() {
                let blocked = with_previous
                    .earliest_start(placement, placement.latest_start_ms)
                    .err();
                blocker = blocked.map(|block| self.blocker_text(&ledger, block, placement));
            }
            fits &= !too_late;
            times[index] = start.ok();
            match start {
                Ok(start) => {
                    start_ms = start_ms.map(|least| least.min(start));
                    end_ms = end_ms.map(|most| most.max(start.saturating_add(placement.span_ms)));
                    with_previous.add_placement(placement, start);
                }
                Err(_) => (start_ms, end_ms) = (None, None),
            }
        }
        if fits {
            self.set_times(&placements, &times);
            return Ok(());
        }
        let reason = blocker.unwrap_or_default();
        Err(Outcome::Infeasible {
            reason,
            earliest_ms: start_ms,
            end_ms: end_ms.filter(|_| start_ms.is_some()),
        })
    }

    fn kept_start(&self, placement: &Placement) -> Option<i64> {
        let window = self.windows.get(&placement.window)?;
        let starts = placement
            .slots
            .iter()
            .map(|index| window.slots.get(*index).and_then(|slot| slot.start_ms));
        let start = starts.max().flatten()?;
        // A time in the past is not kept: a window that could not start then is planned again.
        (start >= self.at_ms).then_some(start)
    }

    fn set_times(&mut self, placements: &[Placement], times: &StartTimes) {
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

    /// Replans every window that waits.
    pub(crate) fn replan(&mut self, budget: &DisruptionBudget) {
        let ledger = self.capacity_ledger(budget, self.at_ms);
        let placements: Vec<Placement> = self
            .windows
            .values()
            .flat_map(|w| self.placements(budget, &ledger, w))
            .collect();
        if placements.is_empty() {
            return;
        }
        let previous: StartTimes = placements
            .iter()
            .map(|placement| self.kept_start(placement))
            .collect();
        let times = self.best_times(
            &self.current_timeline(budget, &ledger),
            budget,
            &placements,
            &previous,
        );
        self.set_times(&placements, &times);
    }
}

/// The outcome of an accepted request.
fn booked_outcome(window: &Window) -> Outcome {
    let waves_by_start = waves_by_start(window);
    let times = window.slots.iter().map(|slot| Booking {
        server: slot.server.clone(),
        wave: slot
            .start_ms
            .and_then(|start| waves_by_start.get(&start).copied())
            .unwrap_or(0),
        start_ms: slot.start_ms,
        end_ms: slot_end_ms(window, slot),
    });
    Outcome::Booked {
        window: window.id,
        times: times.collect(),
    }
}

/// The wave numbers of a window, by start time.
fn waves_by_start(window: &Window) -> BTreeMap<i64, u32> {
    let starts: BTreeSet<i64> = window
        .slots
        .iter()
        .filter_map(|slot| slot.start_ms)
        .collect();
    starts.into_iter().zip(0u32..).collect()
}
