//! Auditor: affinity entries expire alike at all members. It reads the dumps of all members and
//! what servers answered (docs/affinity.md).

use super::{Finding, Rule};
use crate::Us;
use crate::affinity_dump::{Dump, DumpedEntry, KeyAtProcess};
use crate::plan::Plan;
use crate::record::{Entry, Seen};
use crate::servers::arrival_of;
use std::collections::{BTreeMap, HashMap, HashSet};

/// As configured unless something else is said: the length of a slot, lives in slots, how far
/// clocks may be off, and how long a word needs.
const SLOT: Us = 500_000;
const FIRST_LIFETIME_SLOTS: i64 = 24;
const RENEWED_LIFETIME_SLOTS: i64 = 72;
const SKEW: Us = 500_000;
const SPREAD: Us = 3_000_000;
/// What an answer is under way, a dump takes, and members' looks are apart.
const SLACK: Us = 1_500_000;
/// Places that are kept of a key: who has as many need not have a further one.
const PLACES: usize = 2;
/// Part of what members should hold that may be missing: datagrams are lost, and what carries a
/// word may miss a member.
const MISSED: f64 = 0.01;
/// Fewer looks than this tell nothing of a part.
const MIN_LOOKS: usize = 200;

type Binding = (KeyAtProcess, u64);

/// What one sidecar held, and what of it was gone.
#[derive(Default)]
struct Member {
    held: HashMap<Binding, i64>,
    gone: HashMap<Binding, i64>,
    /// Its last dumps in time, and since when it hears the others at each.
    dumps: Vec<(Us, Dump)>,
}

fn alive(dump: &Dump) -> impl Iterator<Item = &DumpedEntry> {
    dump.entries.iter().filter(|held| dump.slot < held.ends)
}

/// Holds all dumps of a run against each other and against what was answered.
pub fn ageing(plan: &Plan, began_ms: u64, record: &[Entry]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let (mut members, mut of) = (BTreeMap::<usize, Member>::new(), HashMap::new());
    let mut used: HashMap<(u64, usize), Vec<Us>> = HashMap::new();
    let mut closed: HashSet<usize> = HashSet::new();
    for (at, seen) in record {
        match seen {
            Seen::Attempt {
                number,
                request: Some(request),
                server,
                ..
            } => {
                if let Some(arrival) = plan.arrivals.get(arrival_of(*request)) {
                    of.insert(*number, (arrival.key, *server));
                }
            }
            Seen::AttemptAnswered {
                number,
                status: 200,
                ..
            } => {
                if let Some(of) = of.remove(number) {
                    used.entry(of).or_default().push(*at);
                }
            }
            Seen::PlatformConfig { server, state, .. }
                if *state == crate::directory::State::Leaving =>
            {
                closed.insert(*server);
            }
            Seen::ServerDown { server } => drop(closed.insert(*server)),
            Seen::SidecarDown { sidecar, .. } => drop(members.remove(sidecar)),
            Seen::Dump(dump) => {
                // By a clock that is off it tells of other slots.
                if plan
                    .sidecars
                    .get(dump.sidecar)
                    .is_some_and(|s| s.clock_offset_ms != 0)
                {
                    continue;
                }
                let member = members.entry(dump.sidecar).or_default();
                comes_back(member, *at, dump, began_ms, &used, &mut findings);
                member.dumps.push((*at, (**dump).clone()));
            }
            _ => {}
        }
    }
    findings.extend(differs(&members, &closed));
    findings
}

/// What was gone is not there again with no later end, and nothing was used later than servers
/// know.
fn comes_back(
    member: &mut Member,
    at: Us,
    dump: &Dump,
    began_ms: u64,
    used: &HashMap<(u64, usize), Vec<Us>>,
    findings: &mut Vec<Finding>,
) {
    let mut broken = |what: String| {
        findings.push(Finding {
            rule: Rule::Ageing,
            at,
            what,
        })
    };
    let now: HashMap<Binding, i64> = alive(dump)
        .map(|held| ((held.place, held.epoch), held.ends))
        .collect();
    for held in alive(dump) {
        let (binding, sidecar) = ((held.place, held.epoch), dump.sidecar);
        if member
            .gone
            .get(&binding)
            .is_some_and(|gone| held.ends <= *gone)
        {
            broken(format!(
                "{:?} was gone at sidecar {sidecar} and is back",
                held.place
            ));
        }
        let lifetime = if held.renewed {
            RENEWED_LIFETIME_SLOTS
        } else {
            FIRST_LIFETIME_SLOTS
        };
        // The beginning of the slot of its last use, on the clock of the run.
        let last = (held.ends - lifetime) * SLOT as i64 - (began_ms * 1000) as i64;
        let truly = used
            .get(&(held.place.key, held.place.server))
            .and_then(|times| times.last());
        let latest = truly.map_or(i64::MIN, |at| (*at + SKEW + SLACK) as i64);
        if last > latest {
            let late = truly.map(|at| last - *at as i64);
            broken(format!(
                "{:?} at sidecar {sidecar} tells of a use {late:?} us after any",
                held.place
            ));
        }
    }
    for (binding, ends) in member.held.drain() {
        if !now.contains_key(&binding) {
            member.gone.insert(binding, ends);
        }
    }
    member.held = now;
}

/// What most members that hear the others held for as long as a word needs, all of them hold:
/// whatever is missing at some went early there, or came never.
fn differs(members: &BTreeMap<usize, Member>, closed: &HashSet<usize>) -> Option<Finding> {
    let (mut looked, mut missed) = (0, 0);
    let (mut first, mut example) = (0, String::new());
    let ends = members
        .values()
        .filter_map(|m| m.dumps.last())
        .map(|(at, _)| *at)
        .max()
        .unwrap_or(0);
    let needs = SPREAD + SLACK;
    let mut round = needs;
    while round <= ends {
        // Who heard all the while: the dumps around the two instants.
        let at = |m: &Member, t: Us| m.dumps.partition_point(|(at, _)| *at <= t).checked_sub(1);
        let heard: Vec<(&Dump, &Dump)> = members
            .values()
            .filter_map(|m| {
                let (then, now) = (at(m, round - needs)?, at(m, round)?);
                let fresh = |n: usize, t: Us| t - m.dumps[n].0 < SLACK;
                let all = m.dumps[then..=now].iter().all(|(_, dump)| dump.in_contact);
                let steady = all && fresh(then, round - needs) && fresh(now, round);
                steady.then(|| (&m.dumps[then].1, &m.dumps[now].1))
            })
            .collect();
        let mut held: HashMap<KeyAtProcess, usize> = HashMap::new();
        let edge = ((needs + 2 * SKEW) / SLOT) as i64 + 2;
        for (then, _) in &heard {
            for h in then
                .entries
                .iter()
                .filter(|h| h.ends > then.slot + edge && !closed.contains(&h.place.server))
            {
                *held.entry(h.place).or_default() += 1;
            }
        }
        held.retain(|_, count| *count * 2 > heard.len());
        for (_, now) in &heard {
            let mut places: HashMap<u64, Vec<KeyAtProcess>> = HashMap::new();
            alive(now).for_each(|h| places.entry(h.place.key).or_default().push(h.place));
            for place in held.keys() {
                let here = places.get(&place.key);
                let (has, full) =
                    here.map_or((false, false), |p| (p.contains(place), p.len() >= PLACES));
                looked += 1;
                if !has && !full {
                    missed += 1;
                    if example.is_empty() {
                        (first, example) = (round, format!("{place:?} at sidecar {}", now.sidecar));
                    }
                }
            }
        }
        round += needs;
    }
    let part = missed as f64 / f64::max(looked as f64, 1.0);
    (looked >= MIN_LOOKS && part > MISSED).then(|| Finding {
        rule: Rule::Ageing,
        at: first,
        what: format!(
            "{missed} of {looked} bindings that most held were missing at some: first {example}"
        ),
    })
}

#[cfg(test)]
mod tests;
