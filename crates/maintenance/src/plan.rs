//! Plans times for waiting windows.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::admission::hard_ms;
use crate::calendar::Span;
use crate::disruption_budget::DisruptionBudget;
use crate::ledger::Ledger;
use crate::machine::Machine;
use crate::timeline::{Block, Load, Placement, Timeline};
use crate::window::{ServerSlot, Window};

/// Placements that one plan may try in all its orders together; keeps a plan of a thousand
/// fragments under a second.
const MAX_PLACEMENTS: usize = 8_192;
/// Most orders that one plan tries, which small plans reach.
const MAX_ORDERS: usize = 32;

/// Times of the fragments, in the order of the fragments.
pub(crate) type Times = Vec<Option<i64>>;

/// What a plan is judged by, the least being best; see [`Machine::best`].
type Rank = (Vec<usize>, usize, i64, i128, i128);

/// The end of time for a search without latest end: beyond what any request may name.
pub(crate) const OPEN_END_MS: i64 = i64::MAX / 4;

impl Machine {
    /// Loads by what is away now: by grant to its end, dead or unheard of for the time of a repair.
    pub(crate) fn timeline<'a>(
        &'a self,
        budget: &DisruptionBudget,
        ledger: &Ledger<'_>,
    ) -> Timeline<'a> {
        let now = self.at_ms;
        let repaired = now.saturating_add(budget.repair_ms);
        let most = Load {
            away: i64::from(budget.most_away),
            weights: ledger
                .listed
                .iter()
                .zip(&ledger.shape.keep)
                .map(|(l, k)| gap(*l, *k))
                .collect(),
        };
        let known_until = if budget.blackouts.is_empty() {
            i64::MAX
        } else {
            self.calendar.until_ms
        };
        let mut timeline = Timeline::new(now, most, repaired, &self.calendar.spans, known_until);
        let admissions = self.admissions();
        for name in ledger.debits.keys() {
            let mut load = Load::zero(ledger.listed.len());
            load.away = 1;
            if let Some(known) = self.servers.get(*name) {
                ledger
                    .shape
                    .of(known)
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
                _ => repaired,
            };
            let span = Span {
                from_ms: now,
                until_ms: end,
            };
            timeline.load(span, &load);
            if admissions.contains_key(name) {
                timeline.occupy(name, span);
            }
        }
        timeline
    }

    /// The fragments of a window that wait: its waves' single servers, or all together if it can't
    /// be split.
    pub(crate) fn placements(
        &self,
        budget: &DisruptionBudget,
        ledger: &Ledger<'_>,
        window: &Window,
    ) -> Vec<Placement> {
        let waiting: Vec<usize> = (0..window.slots.len())
            .filter(|i| window.slots[*i].state.waits())
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
                    live: Load::zero(ledger.listed.len()),
                    full: Load::zero(ledger.listed.len()),
                    lower_ms: request.earliest_ms.max(self.at_ms),
                    upper_ms: request.latest_ms.saturating_sub(request.span_ms()),
                    span_ms: request.span_ms(),
                    hard_ms: hard_ms(budget, window),
                    listed: true,
                };
                for name in &placement.servers {
                    let Some(known) = self.servers.get(name) else {
                        placement.listed = false;
                        continue;
                    };
                    let mut load = Load::zero(ledger.listed.len());
                    load.away = 1;
                    ledger
                        .shape
                        .of(known)
                        .for_each(|number| load.weights[number] = i64::from(known.weight));
                    placement.full.add(&load);
                    if !ledger.debits.contains_key(name.as_str()) {
                        placement.live.add(&load);
                    }
                }
                placement
            })
            .collect()
    }

    /// The best of several orders: most fragments placed, those of the highest class first; then
    /// fewest that lose the time they had; then all ended soonest, then each zone, then each
    /// fragment. The last order is that of the times they have: none ends later by it unless
    /// something else has changed, so a plan that is made anew loses no window.
    pub(crate) fn best(
        &self,
        base: &Timeline<'_>,
        budget: &DisruptionBudget,
        placements: &[Placement],
        had: &Times,
    ) -> Times {
        let count = (MAX_PLACEMENTS / placements.len().max(1)).clamp(1, MAX_ORDERS);
        let orders = (0..count).map(|number| self.order(budget, placements, number));
        let mut best: Option<(Rank, Times)> = None;
        for order in orders.chain(std::iter::once(self.kept_order(placements))) {
            let mut timeline = base.clone();
            let mut times = vec![None; placements.len()];
            for index in order {
                if let Ok(start) = timeline.place(&placements[index], placements[index].upper_ms) {
                    timeline.put(&placements[index], start);
                    times[index] = Some(start);
                }
            }
            let rank = self.rank(budget, placements, had, &times);
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, times));
            }
        }
        best.map_or_else(Vec::new, |(_, times)| times)
    }

    fn rank(
        &self,
        budget: &DisruptionBudget,
        placements: &[Placement],
        had: &Times,
        times: &Times,
    ) -> Rank {
        let mut unplaced: BTreeMap<Reverse<i64>, usize> = BTreeMap::new();
        for (placement, time) in placements.iter().zip(times) {
            let class = self
                .windows
                .get(&placement.window)
                .map_or(0, |w| self.class(budget, w));
            *unplaced.entry(Reverse(class)).or_default() += usize::from(time.is_none());
        }
        let lost = had
            .iter()
            .zip(times)
            .filter(|(had, time)| had.is_some() && time.is_none())
            .count();
        let mut zones: BTreeMap<&str, i64> = BTreeMap::new();
        let mut sum = 0i128;
        for (placement, time) in placements.iter().zip(times) {
            let Some(start) = time else { continue };
            let end = start.saturating_add(placement.span_ms);
            sum += i128::from(end);
            for zone in placement
                .servers
                .iter()
                .filter_map(|name| self.servers.get(name))
            {
                let last = zones.entry(&zone.zone).or_insert(end);
                *last = end.max(*last);
            }
        }
        let last = zones.values().copied().max().unwrap_or(0);
        (
            unplaced.into_values().collect(),
            lost,
            last,
            zones.values().map(|end| i128::from(*end)).sum(),
            sum,
        )
    }

    /// Words for what stands against a fragment.
    pub(crate) fn against(
        &self,
        ledger: &Ledger<'_>,
        block: Block,
        placement: &Placement,
    ) -> String {
        match block {
            Block::Count => "too many servers would be away at once (most_away)".into(),
            Block::Weight(number) => {
                let (name, keep) = (ledger.shape.name(number), ledger.shape.keep[number]);
                let listed = ledger.listed[number];
                format!("{name} would fall below {keep} of {listed}")
            }
            Block::Blackout => "a blackout, or a time of which blackouts are not yet known".into(),
            Block::Busy => format!("{} is in another window", placement.servers.join(", ")),
            Block::Unlisted => "a server is not in the list".into(),
        }
    }
}

/// What may be away: less than nothing where the list itself is below what must stay.
fn gap(listed: u64, keep: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX / 2);
    signed(listed) - signed(keep)
}

/// Real or planned end of a slot with overrun, in milliseconds of Unix time.
pub(crate) fn end_of(window: &Window, slot: &ServerSlot) -> Option<i64> {
    Some(slot.start_ms?.saturating_add(window.request.span_ms()))
}
