//! The form of an experiment's file: topology, load, faults, variants, bounds. Changes with what an experiment may
//! ask for; docs/lab.md is its reference.

use crate::outcome::Measure;
use linenproxy_common::config::{Configuration, Contradiction};
use linenproxy_common::units::Time;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// One experiment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it shows, in a sentence.
    pub about: String,
    /// Who is there.
    pub topology: Topology,
    /// What clients ask for.
    pub load: Load,
    /// The network when nothing is wrong.
    pub network: Network,
    /// What goes wrong, and when.
    pub fault: Vec<Fault>,
    /// What is compared; the first is what the others are held against.
    pub variant: Vec<Variant>,
    /// What has to hold.
    pub bounds: Bounds,
}

/// Who is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Topology {
    /// Sidecars, each with an application of its own.
    pub sidecars: usize,
    /// Servers.
    pub servers: usize,
    /// Zones, over which both are spread in turn; 1 to 3.
    pub zones: usize,
    /// Servers in a group; a group lies in one zone.
    pub group: usize,
    /// Part of the groups that share a limit.
    pub limited: f64,
    /// Connections that a server holds.
    pub connections: usize,
}

/// What clients ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests a second of the mean sidecar.
    pub rate: f64,
    /// How unevenly they are spread over sidecars: 0 all alike; 1 a few have several times the mean.
    pub uneven: f64,
    /// How far each sidecar's rate wanders around its own mean, as a part of it.
    pub wander: f64,
    /// How long requests come.
    pub lasts: Time,
    /// Requests in this first time count for nothing.
    pub warmup: Time,
    /// Keys that requests carry, a few far more popular than the rest.
    pub keys: usize,
    /// Work of requests, as a multiple of the site's.
    pub work: f64,
}

/// The network when nothing is wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// One way inside a zone.
    pub inside: Time,
    /// One way between zones.
    pub between: Time,
    /// More, at most, drawn for each piece.
    pub jitter: Time,
    /// How late changes of the list reach a sidecar, at least and at most.
    pub list_delay: [Time; 2],
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins, since the first request.
    pub at: Time,
    /// How long it lasts.
    pub lasts: Time,
    /// The zone that it concerns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<usize>,
    /// The part of all (or of those in the zone) that it concerns, drawn from the seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<f64>,
    /// How strong: times slower, share of errors or of resets, or more delay in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub size: Option<f64>,
    /// Cuts: one way only, and which.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub way: Option<Way>,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers' processes die; they come back cold when it ends.
    ServersDie,
    /// Servers take requests and answer none.
    ServersSilent,
    /// Servers are `size` times slower.
    ServersSlow,
    /// Servers answer a `size` share of requests with an error.
    ServersFail,
    /// Servers are replaced one after the other: each drains and leaves, and a cold one with another name comes.
    ServersReplace,
    /// Nothing passes between the zone and the others.
    ZoneCut,
    /// Everything between sidecars and servers takes `size` milliseconds longer.
    NetworkSlow,
    /// A `size` share of the pieces that pass break their connection.
    NetworkResets,
    /// Sidecars are killed at once; they start again when it ends.
    SidecarsKill,
    /// Sidecars are stopped by SIGTERM one after the other, and each starts again once it has ended.
    SidecarsRoll,
    /// Sidecars are stopped and continued (SIGSTOP, SIGCONT).
    SidecarsPause,
    /// Sidecars' clocks are off by `size` milliseconds, from their start on.
    SidecarsClock,
    /// Datagrams between sidecars: a `size` share is lost.
    DatagramsLost,
    /// Datagrams between sidecars: a `size` share comes twice.
    DatagramsRepeated,
    /// Datagrams between sidecars: a `size` share is held up, so that later ones come before.
    DatagramsLate,
    /// A member of the fleet in that zone, beside the sidecars, says of all servers that they are dead; with real
    /// processes only.
    MemberLies,
    /// Discovery says nothing.
    DiscoverySilent,
    /// Discovery answers nonsense.
    DiscoveryGarbled,
    /// Discovery answers with an empty whole list.
    DiscoveryEmpty,
}

/// Which way a cut lets nothing through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// Out of the zone.
    Out,
    /// Into the zone.
    In,
    /// Both.
    Both,
}

/// A build or a configuration that is compared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// The program of its sidecars; the one on the command line where this is left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub program: Option<PathBuf>,
    /// Its product configuration, as the text of a file.
    pub config: String,
}

/// What has to hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// A play whose requests came later than this, one in a hundred, is void: the machine was too slow.
    pub lateness: Time,
    /// Bounds on single measures.
    pub measure: Vec<MeasureBound>,
}

/// A bound on a measure's mean over the plays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasureBound {
    /// The measure.
    pub measure: Measure,
    /// The variant; every one where this is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub variant: Option<String>,
    /// Held against that variant: the bounds are then on the quotient of the two means.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub against: Option<String>,
    /// At least this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub least: Option<f64>,
    /// At most this.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub most: Option<f64>,
}

impl Default for Topology {
    fn default() -> Self {
        Self { sidecars: 6, servers: 12, zones: 3, group: 4, limited: 0.4, connections: 512 }
    }
}

impl Default for Load {
    fn default() -> Self {
        let (lasts, warmup) = (Time::ms(20_000), Time::ms(2000));
        Self { rate: 10.0, uneven: 0.5, wander: 0.2, lasts, warmup, keys: 500, work: 1.0 }
    }
}

impl Default for Network {
    fn default() -> Self {
        let [inside, between, jitter] = [200, 2000, 200].map(|us| Time(std::time::Duration::from_micros(us)));
        Self { inside, between, jitter, list_delay: [Time::ms(1000), Time::ms(3000)] }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self { lateness: Time::ms(30), measure: Vec::new() }
    }
}

/// Most sidecars and servers of one experiment: what the ways of simulated time are sized for.
const MOST_SIDECARS: usize = 10_000;
const MOST_SERVERS: usize = 1000;
/// Most requests of one play.
const MOST_REQUESTS: f64 = 5e6;

impl FaultKind {
    /// Whether it concerns sidecars rather than servers.
    pub fn of_sidecars(self) -> bool {
        matches!(self, Self::SidecarsKill | Self::SidecarsRoll | Self::SidecarsPause | Self::SidecarsClock)
    }
}

impl Configuration for Experiment {
    fn check(&self) -> Result<(), Contradiction> {
        let wrong = |key: &str, what: &str| Err(Contradiction::new(key, what));
        let (t, l) = (&self.topology, &self.load);
        let part = |x: f64| (0.0..=1.0).contains(&x);
        if self.name.is_empty() || !self.name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
            return wrong("name", "letters, digits and hyphens, at least one");
        }
        if !(1..=MOST_SIDECARS).contains(&t.sidecars) {
            return wrong("topology.sidecars", "1 to 10000");
        }
        if !(1..=MOST_SERVERS).contains(&t.servers) {
            return wrong("topology.servers", "1 to 1000");
        }
        if !(1..=3).contains(&t.zones) || t.zones > t.servers {
            return wrong("topology.zones", "1 to 3, and no more than servers");
        }
        if t.group == 0 || t.connections == 0 || !part(t.limited) {
            return wrong("topology", "group and connections above 0, limited from 0 to 1");
        }
        if !(0.01..=1000.0).contains(&l.rate)
            || l.rate * t.sidecars as f64 * l.lasts.0.as_secs_f64() > MOST_REQUESTS
        {
            return wrong("load.rate", "0.01 to 1000 a second, and no more than 5 million requests in all");
        }
        if !part(l.uneven) || !part(l.wander) || l.keys == 0 || !(0.01..=100.0).contains(&l.work) {
            return wrong("load", "uneven and wander from 0 to 1, keys above 0, work from 0.01 to 100");
        }
        if l.warmup >= l.lasts {
            return wrong("load.warmup", "it must end before load.lasts does");
        }
        if self.network.list_delay[0] > self.network.list_delay[1] {
            return wrong("network.list_delay", "the least comes first");
        }
        for fault in &self.fault {
            if fault.at >= l.lasts {
                return wrong("fault", "at must lie before load.lasts");
            }
            if fault.zone.is_some_and(|z| z >= t.zones) || fault.part.is_some_and(|p| !part(p)) {
                return wrong("fault", "zone must be one of topology.zones, part from 0 to 1");
            }
            let sized = matches!(
                fault.kind,
                FaultKind::ServersSlow
                    | FaultKind::ServersFail
                    | FaultKind::NetworkSlow
                    | FaultKind::NetworkResets
                    | FaultKind::SidecarsClock
                    | FaultKind::DatagramsLost
                    | FaultKind::DatagramsRepeated
                    | FaultKind::DatagramsLate
            );
            if sized != fault.size.is_some() || fault.size.is_some_and(|s| !(0.0..=1e4).contains(&s)) {
                return wrong(
                    "fault",
                    "size belongs to servers-slow, servers-fail, network-slow, network-resets, sidecars-clock and datagrams-*",
                );
            }
            if (fault.kind == FaultKind::ZoneCut) != fault.way.is_some() {
                return wrong("fault", "way belongs to zone-cut");
            }
        }
        let mut names: Vec<&str> = self.variant.iter().map(|v| v.name.as_str()).collect();
        if names.is_empty() || names.iter().any(|n| n.is_empty()) {
            return wrong("variant", "at least one, each with a name");
        }
        for bound in &self.bounds.measure {
            let known = |name: &Option<String>| name.as_deref().is_none_or(|n| names.contains(&n));
            if !known(&bound.variant) || !known(&bound.against) {
                return wrong("bounds.measure", "variant and against must name a variant");
            }
            if bound.least.is_none() && bound.most.is_none() {
                return wrong("bounds.measure", "least or most is needed");
            }
        }
        names.sort_unstable();
        if names.windows(2).any(|two| two[0] == two[1]) {
            return wrong("variant", "two have the same name");
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use linenproxy_common::config::parse;
    use std::path::Path;

    #[test]
    fn bad_files_get_one_plain_line_with_the_place() {
        let good = "name = \"a\"\n[[variant]]\nname = \"today\"\n";
        let read = |text: &str| parse::<Experiment>(Path::new("a.toml"), text).map_err(|p| p.to_string());
        assert_eq!(read(good).map(|e| e.variant.len()), Ok(1));
        for (more, place) in [
            ("[topology]\nzones = 9\n", "a.toml:5: topology.zones: "),
            ("[topology]\nsidecrs = 9\n", "a.toml:5: topology.sidecrs: unknown field"),
            ("[load]\nlasts = \"5 parsecs\"\n", "a.toml:5: load.lasts: "),
            ("[load]\nwarmup = \"20s\"\n", "a.toml:5: load.warmup: "),
            ("[[fault]]\nkind = \"servers-die\"\nat = \"99s\"\nlasts = \"1s\"\n", "a.toml:4: fault: "),
            (
                "[[fault]]\nkind = \"servers-vanish\"\nat = \"1s\"\nlasts = \"1s\"\n",
                "a.toml:5: fault[0].kind: ",
            ),
            ("[[variant]]\nname = \"today\"\n", "a.toml:2: variant: two have the same name"),
            ("[[bounds.measure]]\nmeasure = \"served\"\n", "a.toml:4: bounds.measure: "),
        ] {
            let said = read(&format!("{good}{more}")).expect_err(more);
            assert!(said.starts_with(place) && !said.contains('\n'), "{said}");
        }
    }
}
