//! The order in which windows are placed: priority, waiting time, rotation between zones.

use std::collections::BTreeMap;

use crate::disruption_budget::DisruptionBudget;
use crate::machine::Machine;
use crate::timeline::Placement;
use crate::window::Window;

impl Machine {
    /// A window's priority, increased by the time it has waited.
    pub(crate) fn effective_priority(&self, budget: &DisruptionBudget, window: &Window) -> i64 {
        let waited = self.at_ms.saturating_sub(window.asked_ms).max(0);
        i64::from(window.request.priority).saturating_add(waited / budget.patience_ms.max(1))
    }

    /// Indexes of the placements in the order of that number, the same on all replicas. Effective
    /// priority comes first; within one priority, order 0 rotates between zones, orders 1 to 4 put
    /// the longest, heaviest, largest and most urgent first, and later orders are pseudorandom.
    pub(crate) fn placement_order(
        &self,
        budget: &DisruptionBudget,
        placements: &[Placement],
        number: usize,
    ) -> Vec<usize> {
        let zone_turns = self.zone_turns(placements);
        let priority = |placement: &Placement| {
            self.windows
                .get(&placement.window)
                .map_or(0, |w| self.effective_priority(budget, w))
        };
        let mut order: Vec<(i64, i128, usize, usize)> = placements
            .iter()
            .enumerate()
            .map(|(index, placement)| {
                let (span, weight) = (
                    i128::from(placement.span_ms),
                    i128::from(placement.outage_after_repair.weights[0].max(1)),
                );
                let key = match number {
                    0 => 0,
                    1 => -span,
                    2 => -weight,
                    3 => -span.saturating_mul(weight),
                    4 => i128::from(placement.latest_start_ms),
                    _ => i128::from(mix((number as u64) << 32 | index as u64)),
                };
                (-priority(placement), key, zone_turns[index], index)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, _, index)| index).collect()
    }

    /// Indexes of the placements in the order of their current times, those without one last.
    pub(crate) fn start_order(&self, placements: &[Placement]) -> Vec<usize> {
        let start = |placement: &Placement| {
            let window = self.windows.get(&placement.window)?;
            placement
                .slots
                .iter()
                .filter_map(|index| window.slots.get(*index)?.start_ms)
                .max()
        };
        let mut order: Vec<usize> = (0..placements.len()).collect();
        order.sort_by_key(|index| start(&placements[*index]).unwrap_or(i64::MAX));
        order
    }

    /// Each placement's position in a rotation between zones, starting with the zone whose last
    /// admission is oldest; within a zone, in the order of the requests.
    fn zone_turns(&self, placements: &[Placement]) -> Vec<usize> {
        let mut zones: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, placement) in placements.iter().enumerate() {
            let zone = placement
                .servers
                .first()
                .and_then(|name| self.servers.get(name));
            zones
                .entry(zone.map_or("", |known| &known.zone))
                .or_default()
                .push(index);
        }
        let mut rounds: Vec<(usize, u64, &str, usize)> = Vec::with_capacity(placements.len());
        for (zone, members) in zones {
            let last_admission = self.turns.get(zone).copied().unwrap_or(0);
            rounds.extend(
                members
                    .into_iter()
                    .enumerate()
                    .map(|(round, index)| (round, last_admission, zone, index)),
            );
        }
        rounds.sort_unstable();
        let mut turns = vec![0; placements.len()];
        for (turn, (_, _, _, index)) in rounds.into_iter().enumerate() {
            turns[index] = turn;
        }
        turns
    }
}

/// Maps a number to a pseudorandom one: the finalizer of splitmix64 (Steele, Lea and Flood, 2014).
fn mix(number: u64) -> u64 {
    let mut z = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
