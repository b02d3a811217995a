//! The capacity ledger at one time: what is listed, in service, and debited.

use std::collections::BTreeMap;

use crate::capacity::{CapacityView, Debit, DebitReason, LimitUsage};
use crate::disruption_budget::DisruptionBudget;
use crate::known_server::ServerState;
use crate::machine::Machine;
use crate::window::ServerSlot;

/// The limits on capacity, each with a number: all servers together first, then zones and groups
/// that have a limit of their own.
pub(crate) struct Limits<'a> {
    pub(crate) keep: Vec<u64>,
    names: Vec<String>,
    zones: BTreeMap<&'a str, usize>,
    groups: BTreeMap<&'a str, usize>,
}

impl<'a> Limits<'a> {
    pub(crate) fn new(budget: &'a DisruptionBudget) -> Self {
        let mut shape = Limits {
            keep: vec![budget.keep],
            names: vec!["all".into()],
            zones: BTreeMap::new(),
            groups: BTreeMap::new(),
        };
        for (zone, keep) in &budget.keep_zone {
            shape.zones.insert(zone, shape.keep.len());
            shape.keep.push(*keep);
            shape.names.push(format!("zone {zone}"));
        }
        for (group, keep) in &budget.keep_group {
            shape.groups.insert(group, shape.keep.len());
            shape.keep.push(*keep);
            shape.names.push(format!("group {group}"));
        }
        shape
    }

    /// Numbers of the limits that a server counts toward.
    pub(crate) fn limits_of(&self, known: &ServerState) -> impl Iterator<Item = usize> {
        let zone = self.zones.get(known.zone.as_str()).copied();
        let group = self.groups.get(known.group.as_str()).copied();
        [Some(0), zone, group].into_iter().flatten()
    }

    pub(crate) fn name(&self, number: usize) -> &str {
        self.names.get(number).map_or("", String::as_str)
    }
}

/// Capacity at one time.
pub(crate) struct CapacityLedger<'a> {
    pub(crate) limits: Limits<'a>,
    pub(crate) listed: Vec<u64>,
    pub(crate) present: Vec<u64>,
    pub(crate) away: u32,
    most_away: u32,
    pub(crate) debits: BTreeMap<&'a str, (u32, DebitReason, Option<u64>)>,
}

impl<'a> CapacityLedger<'a> {
    /// Whether every limit holds.
    pub(crate) fn holds(&self) -> bool {
        self.away <= self.most_away && self.violated().next().is_none()
    }

    /// Numbers of the violated weight limits.
    pub(crate) fn violated(&self) -> impl Iterator<Item = usize> {
        let pairs = self.present.iter().zip(&self.limits.keep).enumerate();
        pairs
            .filter(|(_, (present, keep))| present < keep)
            .map(|(number, _)| number)
    }

    /// Whether too many servers are away.
    pub(crate) fn too_many_away(&self) -> bool {
        self.away > self.most_away
    }

    /// Debits a server that counted as in service.
    pub(crate) fn debit(&mut self, name: &'a str, known: &ServerState, window: u64) {
        if self
            .debits
            .insert(name, (known.weight, DebitReason::Granted, Some(window)))
            .is_none()
        {
            self.away += 1;
            for number in self.limits.limits_of(known) {
                self.present[number] -= u64::from(known.weight);
            }
        }
    }

    /// Credits a server that was debited as admitted.
    pub(crate) fn credit(&mut self, name: &str, known: &ServerState) {
        if self.debits.remove(name).is_some() {
            self.away -= 1;
            for number in self.limits.limits_of(known) {
                self.present[number] += u64::from(known.weight);
            }
        }
    }

    pub(crate) fn view(&self) -> CapacityView {
        let rooms = (0..self.limits.keep.len()).map(|number| LimitUsage {
            name: self.limits.name(number).into(),
            listed: self.listed[number],
            present: self.present[number],
            keep: self.limits.keep[number],
        });
        let debits = self
            .debits
            .iter()
            .map(|(server, (weight, reason, window))| Debit {
                server: (*server).into(),
                weight: *weight,
                why: *reason,
                window: *window,
            });
        CapacityView {
            rooms: rooms.collect(),
            away: self.away,
            most_away: self.most_away,
            holds: self.holds(),
            debits: debits.collect(),
        }
    }
}

impl Machine {
    /// Admitted slots by server, with their window's number.
    pub(crate) fn admissions(&self) -> BTreeMap<&str, (u64, &ServerSlot)> {
        let slots = self
            .windows
            .values()
            .flat_map(|w| w.slots.iter().map(move |slot| (w.id, slot)));
        slots
            .filter(|(_, s)| s.state.is_admitted())
            .map(|(id, s)| (s.server.as_str(), (id, s)))
            .collect()
    }

    /// Capacity at `now_ms`, by the observations still recent then and the open admissions.
    pub(crate) fn capacity_ledger<'a>(
        &'a self,
        budget: &'a DisruptionBudget,
        now_ms: i64,
    ) -> CapacityLedger<'a> {
        let shape = Limits::new(budget);
        let zero = vec![0u64; shape.keep.len()];
        let mut ledger = CapacityLedger {
            listed: zero.clone(),
            present: zero,
            away: 0,
            most_away: budget.most_away,
            debits: BTreeMap::new(),
            limits: shape,
        };
        let admissions = self.admissions();
        for (name, (window, slot)) in &admissions {
            if self.debits_admissions() {
                let weight = self.servers.get(*name).map_or(0, |known| known.weight);
                let reason = if slot.late {
                    DebitReason::Late
                } else {
                    DebitReason::Granted
                };
                ledger.debits.insert(name, (weight, reason, Some(*window)));
            }
        }
        for (name, known) in &self.servers {
            for number in ledger.limits.limits_of(known) {
                ledger.listed[number] += u64::from(known.weight);
            }
            if ledger.debits.contains_key(name.as_str()) {
                continue;
            }
            match known.missing(now_ms, budget.evidence_bound_ms) {
                Some(reason) => {
                    ledger.debits.insert(name, (known.weight, reason, None));
                }
                None => {
                    for number in ledger.limits.limits_of(known) {
                        ledger.present[number] += u64::from(known.weight);
                    }
                }
            }
        }
        ledger.away = u32::try_from(ledger.debits.len()).unwrap_or(u32::MAX);
        ledger
    }
}
