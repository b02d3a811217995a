//! Weighs the health observations of sidecars into one status of each server.

use load_balancer_maintenance::{Health, Server, ServerObservation};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// What one sidecar says: `GET /fleet/servers`, docs/gossip.md.
#[derive(Clone, Debug, Deserialize)]
pub struct Page {
    /// Its name.
    pub member: String,
    /// Whether its connectivity state lets it answer.
    pub answers: bool,
    /// Servers of its list.
    pub servers: Vec<SidecarAnswer>,
}

/// What it says of one server.
#[derive(Clone, Debug, Deserialize)]
pub struct SidecarAnswer {
    /// The server's name.
    pub name: String,
    /// When its process started, in milliseconds of Unix time; 0 for long ago.
    pub started_ms: i64,
    /// How it is.
    pub state: State,
    /// How long ago that was seen, in milliseconds.
    pub age_ms: i64,
    /// Whether it is warm, where that is said.
    #[serde(default)]
    pub warm: Option<bool>,
}

/// How a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum State {
    /// It serves.
    #[serde(rename = "well")]
    Healthy,
    /// It does not.
    #[serde(rename = "sick")]
    Unhealthy,
    /// The member cannot tell.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A page that came.
#[derive(Clone, Debug)]
pub struct ZoneObservations {
    /// The zone under which the sidecar is configured.
    pub zone: String,
    /// How long ago it was asked for, in milliseconds: what it says is older by that.
    pub asked_ago_ms: u64,
    /// What it says.
    pub page: Page,
}

/// How pages are weighed.
#[derive(Clone, Debug)]
pub struct Weights {
    /// Members of each zone that must say the same.
    pub agree: BTreeMap<String, usize>,
    /// No process counts as warm before this age, in milliseconds; from it on one does unless
    /// members say that it is not.
    pub warm_after_ms: i64,
}

/// What was said, and how long ago that was asked for in milliseconds.
type Aged<'a> = (&'a SidecarAnswer, u64);

/// What one zone's members say of a server.
struct Opinion {
    state: State,
    started: u64,
    age_ms: u64,
    warm: bool,
}

/// The observations of all listed servers of which enough was said. Nobody counts twice, nor
/// anybody whose connectivity state does not let it answer. Enough members of a zone, and more than
/// half of those that can tell, say the same of a process, or the zone says nothing; zones that
/// contradict each other can't tell.
pub fn weigh(
    weights: &Weights,
    unix_ms: i64,
    listed: &[Server],
    heard: &[ZoneObservations],
) -> Vec<ServerObservation> {
    let mut zones: BTreeMap<&str, Vec<&ZoneObservations>> = BTreeMap::new();
    let mut counted: BTreeSet<&str> = BTreeSet::new();
    for one in heard {
        if one.page.answers && counted.insert(&one.page.member) {
            zones.entry(&one.zone).or_default().push(one);
        }
    }
    // Of each zone, what is said of each server.
    let mut said: BTreeMap<&str, BTreeMap<&str, Vec<Aged>>> = BTreeMap::new();
    for (zone, members) in &zones {
        for one in members {
            let mut names = BTreeSet::new();
            for server in one
                .page
                .servers
                .iter()
                .filter(|said| names.insert(said.name.as_str()))
            {
                let of = said
                    .entry(&server.name)
                    .or_default()
                    .entry(zone)
                    .or_default();
                of.push((server, one.asked_ago_ms));
            }
        }
    }
    let mut words = Vec::new();
    for server in listed {
        let Some(by_zone) = said.get(server.name.as_str()) else {
            continue;
        };
        let opinions: Vec<Opinion> = by_zone
            .iter()
            .filter_map(|(zone, all)| opinion(weights, zone, unix_ms, all))
            .collect();
        let Some(newest) = opinions.iter().map(|o| o.started).max() else {
            continue;
        };
        let of_newest = || opinions.iter().filter(|o| o.started == newest);
        let well = of_newest()
            .filter(|o| o.state == State::Healthy)
            .min_by_key(|o| o.age_ms);
        let sick = of_newest()
            .filter(|o| o.state == State::Unhealthy)
            .min_by_key(|o| o.age_ms);
        let (state, of) = match (well, sick) {
            (Some(well), None) => (Health::Healthy, well),
            (None, Some(sick)) => (Health::Unhealthy, sick),
            (Some(well), Some(_)) => (Health::Unknown, well),
            (None, None) => continue,
        };
        words.push(ServerObservation {
            server: server.name.clone(),
            state,
            warm: state == Health::Healthy && of.warm,
            started: of.started,
            age_ms: of.age_ms,
            enough: true,
        });
    }
    words
}

fn opinion(weights: &Weights, zone: &str, unix_ms: i64, said: &[Aged]) -> Option<Opinion> {
    let mut camps: BTreeMap<(i64, State), Vec<Aged>> = BTreeMap::new();
    for (one, ago_ms) in said.iter().filter(|(one, _)| one.state != State::Unknown) {
        camps
            .entry((one.started_ms, one.state))
            .or_default()
            .push((one, *ago_ms));
    }
    let least = weights
        .agree
        .get(zone)
        .copied()
        .unwrap_or(usize::MAX)
        .max(1);
    // More than half: of two camps neither says anything, however large both are.
    let all: usize = camps.values().map(Vec::len).sum();
    let ((started_ms, state), camp) = camps
        .into_iter()
        .find(|(_, camp)| camp.len() >= least && camp.len() > all / 2)?;
    let age = |(one, ago_ms): &Aged| {
        u64::try_from(one.age_ms)
            .unwrap_or(0)
            .saturating_add(*ago_ms)
    };
    let mut ages: Vec<u64> = camp.iter().map(age).collect();
    ages.sort_unstable();
    let told: Vec<bool> = camp.iter().filter_map(|(one, _)| one.warm).collect();
    let old = started_ms <= 0 || unix_ms.saturating_sub(started_ms) >= weights.warm_after_ms;
    let warm = old && (told.is_empty() || told.iter().filter(|warm| **warm).count() >= least);
    Some(Opinion {
        state,
        started: u64::try_from(started_ms).unwrap_or(0),
        // So many have seen it as young as that: fewer who say younger do not count.
        age_ms: ages.get(least - 1).copied().unwrap_or(u64::MAX),
        warm,
    })
}
