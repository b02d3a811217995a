//! Plans the times of waiting windows.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::admission::blackout_free_ms;
use crate::calendar::Span;
use crate::disruption_budget::DisruptionBudget;
use crate::ledger::CapacityLedger;
use crate::machine::Machine;
use crate::timeline::{Blocker, Outage, Placement, Timeline};
use crate::window::{ServerSlot, Window};

/// Placements that one plan tries over all its orders together; keeps the planning of a thousand
/// placements under a second.
const MAX_PLACEMENTS: usize = 8_192;
/// Most orders that one plan tries; small plans reach it.
const MAX_ORDERS: usize = 32;

/// Planned start of each placement, by index.
pub(crate) type StartTimes = Vec<Option<i64>>;

/// The rank of a plan, lowest is best; see [`Machine::best_start_times`].
type PlanRank = (Vec<usize>, usize, i64, i128, i128);

/// The limit of a search without a latest end: later than any request may name.
pub(crate) const OPEN_END_MS: i64 = i64::MAX / 4;

impl Machine {
    /// The current outages: admitted servers until their end, unhealthy and unobserved ones for the
    /// repair time.
    pub(crate) fn current_timeline<'a>(
        &'a self,
        budget: &DisruptionBudget,
        ledger: &CapacityLedger<'_>,
    ) -> Timeline<'a> {
        let now = self.at_ms;
        let repaired_ms = now.saturating_add(budget.repair_ms);
        let capacity = Outage {
            away: i64::from(budget.most_away),
            weights: ledger
                .listed
                .iter()
                .zip(&ledger.limits.keep)
                .map(|(l, k)| slack(*l, *k))
                .collect(),
        };
        let known_until = if budget.blackouts.is_empty() {
            i64::MAX
        } else {
            self.calendar.until_ms
        };
        let mut timeline = Timeline::new(
            now,
            capacity,
            repaired_ms,
            &self.calendar.spans,
            known_until,
        );
        let admissions = self.admissions();
        for name in ledger.debits.keys() {
            let mut load = Outage::zero(ledger.listed.len());
            load.away = 1;
            if let Some(known) = self.servers.get(*name) {
                ledger
                    .limits
                    .limits_of(known)
                    .for_each(|number| load.weights[number] = i64::from(known.weight));
            }
            let end = match admissions.get(name) {
                Some((id, slot)) if !slot.late => {
                    let span = self.windows.get(id).map_or(0, |w| w.request.span_ms());
                    slot.start_ms
                        .unwrap_or(now)
                        .saturating_add(span)
                        .max(now + 1)
                }
                _ => repaired_ms,
            };
            let span = Span {
                from_ms: now,
                until_ms: end,
            };
            timeline.add_outage(span, &load);
            if admissions.contains_key(name) {
                timeline.occupy(name, span);
            }
        }
        timeline
    }

    /// The waiting slots of a window: each on its own, or all together if the window can't be
    /// split.
    pub(crate) fn placements(
        &self,
        budget: &DisruptionBudget,
        ledger: &CapacityLedger<'_>,
        window: &Window,
    ) -> Vec<Placement> {
        let waiting: Vec<usize> = (0..window.slots.len())
            .filter(|i| window.slots[*i].state.is_waiting())
            .collect();
        let groups: Vec<Vec<usize>> = match (window.request.split, waiting.is_empty()) {
            (_, true) => Vec::new(),
            (true, _) => waiting.into_iter().map(|index| vec![index]).collect(),
            (false, _) => vec![waiting],
        };
        let request = &window.request;
        groups
            .into_iter()
            .map(|slots| {
                let mut placement = Placement {
                    window: window.id,
                    servers: slots
                        .iter()
                        .map(|i| window.slots[*i].server.clone())
                        .collect(),
                    slots,
                    outage_while_down: Outage::zero(ledger.listed.len()),
                    outage_after_repair: Outage::zero(ledger.listed.len()),
                    earliest_start_ms: request.earliest_ms.max(self.at_ms),
                    latest_start_ms: request.latest_ms.saturating_sub(request.span_ms()),
                    span_ms: request.span_ms(),
                    blackout_free_ms: blackout_free_ms(budget, window),
                    listed: true,
                };
                for name in &placement.servers {
                    let Some(known) = self.servers.get(name) else {
                        placement.listed = false;
                        continue;
                    };
                    let mut load = Outage::zero(ledger.listed.len());
                    load.away = 1;
                    ledger
                        .limits
                        .limits_of(known)
                        .for_each(|number| load.weights[number] = i64::from(known.weight));
                    placement.outage_after_repair.add(&load);
                    if !ledger.debits.contains_key(name.as_str()) {
                        placement.outage_while_down.add(&load);
                    }
                }
                placement
            })
            .collect()
    }

    /// Tries several orders and returns the best plan: the most placements, counted by effective
    /// priority; then the fewest that lose their current time; then the earliest end over all, over
    /// each zone, and over each placement. The last order tried is that of the current times, in
    /// which no placement ends later unless something else has changed, so that replanning loses no
    /// window.
    pub(crate) fn best_times(
        &self,
        base: &Timeline<'_>,
        budget: &DisruptionBudget,
        placements: &[Placement],
        previous: &StartTimes,
    ) -> StartTimes {
        let count = (MAX_PLACEMENTS / placements.len().max(1)).clamp(1, MAX_ORDERS);
        let orders = (0..count).map(|number| self.placement_order(budget, placements, number));
        let mut best: Option<(PlanRank, StartTimes)> = None;
        for order in orders.chain(std::iter::once(self.start_order(placements))) {
            let mut timeline = base.clone();
            let mut times = vec![None; placements.len()];
            for index in order {
                if let Ok(start) =
                    timeline.earliest_start(&placements[index], placements[index].latest_start_ms)
                {
                    timeline.add_placement(&placements[index], start);
                    times[index] = Some(start);
                }
            }
            let rank = self.plan_rank(budget, placements, previous, &times);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, times));
            }
        }
        best.map_or_else(Vec::new, |(_, times)| times)
    }

    fn plan_rank(
        &self,
        budget: &DisruptionBudget,
        placements: &[Placement],
        previous: &StartTimes,
        starts: &StartTimes,
    ) -> PlanRank {
        let mut unplaced: BTreeMap<Reverse<i64>, usize> = BTreeMap::new();
        for (placement, time) in placements.iter().zip(starts) {
            let priority = self
                .windows
                .get(&placement.window)
                .map_or(0, |w| self.effective_priority(budget, w));
            *unplaced.entry(Reverse(priority)).or_default() += usize::from(time.is_none());
        }
        let lost_times = previous
            .iter()
            .zip(starts)
            .filter(|(had, time)| had.is_some() && time.is_none())
            .count();
        let mut zones: BTreeMap<&str, i64> = BTreeMap::new();
        let mut sum_of_ends = 0i128;
        for (placement, time) in placements.iter().zip(starts) {
            let Some(start) = time else { continue };
            let end = start.saturating_add(placement.span_ms);
            sum_of_ends += i128::from(end);
            for zone in placement
                .servers
                .iter()
                .filter_map(|name| self.servers.get(name))
            {
                let last = zones.entry(&zone.zone).or_insert(end);
                *last = end.max(*last);
            }
        }
        let last_end = zones.values().copied().max().unwrap_or(0);
        (
            unplaced.into_values().collect(),
            lost_times,
            last_end,
            zones.values().map(|end| i128::from(*end)).sum(),
            sum_of_ends,
        )
    }

    /// What prevents a placement, as text.
    pub(crate) fn blocker_text(
        &self,
        ledger: &CapacityLedger<'_>,
        blocker: Blocker,
        placement: &Placement,
    ) -> String {
        match blocker {
            Blocker::TooManyAway => "too many servers would be away at once (most_away)".into(),
            Blocker::BelowLimit(number) => {
                let (name, keep) = (ledger.limits.name(number), ledger.limits.keep[number]);
                let listed = ledger.listed[number];
                format!("{name} would fall below {keep} of {listed}")
            }
            Blocker::Blackout => {
                "a blackout, or a time of which blackouts are not yet known".into()
            }
            Blocker::InOtherWindow => {
                format!("{} is in another window", placement.servers.join(", "))
            }
            Blocker::Unlisted => "a server is not in the list".into(),
        }
    }
}

/// How much may be away; negative if the listed weight itself is below what must remain.
fn slack(listed: u64, keep: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX / 2);
    signed(listed) - signed(keep)
}

/// Actual or planned end of a slot, with overrun, in milliseconds of Unix time.
pub(crate) fn slot_end_ms(window: &Window, slot: &ServerSlot) -> Option<i64> {
    Some(slot.start_ms?.saturating_add(window.request.span_ms()))
}
