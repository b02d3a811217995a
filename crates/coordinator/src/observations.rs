//! Combines the health observations of sidecars into one status per server.

use load_balancer_maintenance::{Health, Server, ServerObservation};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Report of one sidecar: `GET /fleet/servers`, docs/gossip.md.
#[derive(Clone, Debug, Deserialize)]
pub struct SidecarReport {
    /// Name of the sidecar.
    pub member: String,
    /// Whether its connectivity state permits an answer.
    pub answers: bool,
    /// The servers on its list.
    pub servers: Vec<SidecarAnswer>,
}

/// Report of one sidecar on one server.
#[derive(Clone, Debug, Deserialize)]
pub struct SidecarAnswer {
    /// Name of the server.
    pub name: String,
    /// Start time of its process in milliseconds of Unix time; 0 if long ago.
    pub started_ms: i64,
    /// Its health.
    pub state: State,
    /// Age of the observation in milliseconds.
    pub age_ms: i64,
    /// Whether the server is warm, if reported.
    #[serde(default)]
    pub warm: Option<bool>,
}

/// Health of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
pub enum State {
    /// It serves.
    #[serde(rename = "well")]
    Healthy,
    /// It fails.
    #[serde(rename = "sick")]
    Unhealthy,
    /// The sidecar does not know.
    #[serde(rename = "unknown")]
    Unknown,
}

/// A received report.
#[derive(Clone, Debug)]
pub struct ZoneObservations {
    /// Zone under which the sidecar is configured.
    pub zone: String,
    /// Time since the request in milliseconds; the reported ages are increased by it.
    pub request_age_ms: u64,
    /// The report.
    pub report: SidecarReport,
}

/// Rules for combining reports.
#[derive(Clone, Debug)]
pub struct AgreementRules {
    /// Minimum number of agreeing members of each zone.
    pub min_agreeing: BTreeMap<String, usize>,
    /// Age in milliseconds from which a process counts as warm unless members report otherwise;
    /// below it, never.
    pub warm_after_ms: i64,
}

/// A report on a server, and the time since its request in milliseconds.
type Aged<'a> = (&'a SidecarAnswer, u64);

/// What the members of one zone agree on about a server.
struct ZoneOpinion {
    state: State,
    started: u64,
    age_ms: u64,
    warm: bool,
}

/// Returns the observations of the listed servers with enough reports. Each member counts once, and
/// only if its connectivity state permits an answer. A zone counts only if enough of its members,
/// and more than half of those with an observation, agree on the same process. Zones that
/// contradict each other yield an unknown health.
pub fn combine(
    rules: &AgreementRules,
    unix_ms: i64,
    listed: &[Server],
    reports: &[ZoneObservations],
) -> Vec<ServerObservation> {
    let mut zones: BTreeMap<&str, Vec<&ZoneObservations>> = BTreeMap::new();
    let mut counted_members: BTreeSet<&str> = BTreeSet::new();
    for report in reports {
        if report.report.answers && counted_members.insert(&report.report.member) {
            zones.entry(&report.zone).or_default().push(report);
        }
    }
    // Reports on each server by zone.
    let mut reports_by_server: BTreeMap<&str, BTreeMap<&str, Vec<Aged>>> = BTreeMap::new();
    for (zone, zone_reports) in &zones {
        for report in zone_reports {
            let mut names = BTreeSet::new();
            for server in report
                .report
                .servers
                .iter()
                .filter(|server| names.insert(server.name.as_str()))
            {
                let server_reports = reports_by_server
                    .entry(&server.name)
                    .or_default()
                    .entry(zone)
                    .or_default();
                server_reports.push((server, report.request_age_ms));
            }
        }
    }
    let mut observations = Vec::new();
    for server in listed {
        let Some(reports_by_zone) = reports_by_server.get(server.name.as_str()) else {
            continue;
        };
        let opinions: Vec<ZoneOpinion> = reports_by_zone
            .iter()
            .filter_map(|(zone, zone_reports)| zone_opinion(rules, zone, unix_ms, zone_reports))
            .collect();
        let Some(newest) = opinions.iter().map(|o| o.started).max() else {
            continue;
        };
        let opinions_on_newest = || opinions.iter().filter(|o| o.started == newest);
        let healthy = opinions_on_newest()
            .filter(|o| o.state == State::Healthy)
            .min_by_key(|o| o.age_ms);
        let unhealthy = opinions_on_newest()
            .filter(|o| o.state == State::Unhealthy)
            .min_by_key(|o| o.age_ms);
        let (state, chosen) = match (healthy, unhealthy) {
            (Some(healthy), None) => (Health::Healthy, healthy),
            (None, Some(unhealthy)) => (Health::Unhealthy, unhealthy),
            (Some(healthy), Some(_)) => (Health::Unknown, healthy),
            (None, None) => continue,
        };
        observations.push(ServerObservation {
            server: server.name.clone(),
            state,
            warm: state == Health::Healthy && chosen.warm,
            started: chosen.started,
            age_ms: chosen.age_ms,
            enough: true,
        });
    }
    observations
}

fn zone_opinion(
    rules: &AgreementRules,
    zone: &str,
    unix_ms: i64,
    reports: &[Aged],
) -> Option<ZoneOpinion> {
    let mut groups: BTreeMap<(i64, State), Vec<Aged>> = BTreeMap::new();
    for (report, request_age_ms) in reports
        .iter()
        .filter(|(one, _)| one.state != State::Unknown)
    {
        groups
            .entry((report.started_ms, report.state))
            .or_default()
            .push((report, *request_age_ms));
    }
    let min_agreeing = rules
        .min_agreeing
        .get(zone)
        .copied()
        .unwrap_or(usize::MAX)
        .max(1);
    // A strict majority: of two equally large groups neither counts.
    let total: usize = groups.values().map(Vec::len).sum();
    let ((started_ms, state), group) = groups
        .into_iter()
        .find(|(_, group)| group.len() >= min_agreeing && group.len() > total / 2)?;
    let age = |(report, request_age_ms): &Aged| {
        u64::try_from(report.age_ms)
            .unwrap_or(0)
            .saturating_add(*request_age_ms)
    };
    let mut ages: Vec<u64> = group.iter().map(age).collect();
    ages.sort_unstable();
    let warm_reports: Vec<bool> = group.iter().filter_map(|(report, _)| report.warm).collect();
    let is_old_enough =
        started_ms <= 0 || unix_ms.saturating_sub(started_ms) >= rules.warm_after_ms;
    let warm = is_old_enough
        && (warm_reports.is_empty()
            || warm_reports.iter().filter(|warm| **warm).count() >= min_agreeing);
    Some(ZoneOpinion {
        state,
        started: u64::try_from(started_ms).unwrap_or(0),
        // The age that enough members confirm; fewer members with younger observations do not
        // count.
        age_ms: ages.get(min_agreeing - 1).copied().unwrap_or(u64::MAX),
        warm,
    })
}
