//! Draws everything about a play ahead, from the experiment and a seed: who is there, every request, every fault.
//! Variants of one play so meet the same. Changes with what is left to chance.

use crate::directory::{Change, Directory, State};
use crate::experiment::{Experiment, Fault, FaultKind, Way};
use crate::site::{self, CLASSES, KINDS};
use crate::{SECOND, Us};
use fastrand::Rng;

/// A server as it truly is.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Its name in the list.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its group.
    pub group: usize,
    /// Its kind, a place in [`KINDS`].
    pub kind: usize,
    /// Its cores.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
    /// Requests that may wait.
    pub queue: usize,
    /// How long it remembers a key, how many, and the part of the work that this saves.
    pub memory: Us,
    /// See `memory`.
    pub keys: usize,
    /// See `memory`.
    pub saves: f64,
    /// How many times slower it turns when overdriven.
    pub slowed: f64,
    /// Crowded for so long, it is overdriven.
    pub crowded_for: Us,
    /// Mostly idle for so long, it is no more.
    pub idle_for: Us,
    /// Work that a new connection costs it, in microseconds on a core of speed 1.
    pub handshake: f64,
    /// Present from the beginning, rather than started in the place of another.
    pub first: bool,
}

/// A sidecar and its application.
#[derive(Clone, Debug, PartialEq)]
pub struct SidecarSpec {
    /// Its zone.
    pub zone: usize,
    /// Its part of the traffic, as a multiple of the mean.
    pub share: f64,
    /// How late the list reaches it.
    pub list_lag: Us,
    /// How far its clock is off, in milliseconds.
    pub clock_offset_ms: i64,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes.
    pub at: Us,
    /// At which sidecar.
    pub sidecar: usize,
    /// Its class, a place in [`CLASSES`].
    pub class: usize,
    /// What it concerns.
    pub key: u64,
    /// Its work, in microseconds on a core of speed 1.
    pub work: f64,
    /// How long its client waits for each try.
    pub patience: Us,
    /// How long its client waits before each further try, unless it is told for how long to stay away.
    pub waits: [Us; site::CLIENT_RETRIES as usize],
}

/// Something that changes in the world.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// A server's process ends: its connections are reset.
    ServerDown(usize),
    /// It starts, cold.
    ServerUp(usize),
    /// It takes requests and answers none, or no longer so.
    ServerSilent(usize, bool),
    /// It is so many times slower.
    ServerSlow(usize, f64),
    /// It answers so many with an error.
    ServerFails(usize, f64),
    /// Nothing passes there that way, or everything again.
    Cut(usize, Way, bool),
    /// Everything takes so much longer.
    Slow(Us),
    /// So many pieces break their connection.
    Resets(f64),
    /// A sidecar is killed.
    SidecarKill(usize),
    /// A sidecar that was killed starts.
    SidecarStart(usize),
    /// A sidecar is told to stop, and starts again once it has ended.
    SidecarRestart(usize),
    /// It is stopped, or continued.
    SidecarPause(usize, bool),
    /// What happens to datagrams between sidecars: that kind of fault, and the share that it concerns.
    Datagrams(FaultKind, f64),
    /// A member that is no sidecar lies, or no longer so.
    Lies(bool),
    /// What discovery's agents do.
    Agents(Mood),
}

/// How discovery's agents answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// As they should.
    #[default]
    Well,
    /// Not at all.
    Silent,
    /// With nonsense.
    Garbled,
    /// With an empty whole list.
    Empty,
}

/// A whole play, as it will be.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Servers, those that come later too.
    pub servers: Vec<ServerSpec>,
    /// Sidecars.
    pub sidecars: Vec<SidecarSpec>,
    /// To which part of its capacity each group is limited; 1 is not at all.
    pub limits: Vec<f64>,
    /// Requests by time.
    pub arrivals: Vec<Arrival>,
    /// Faults by time.
    pub steps: Vec<(Us, Step)>,
    /// What the list tells of, by time.
    pub directory: Directory,
    /// When the last request has come.
    pub lasts: Us,
    /// Requests before this count for nothing.
    pub warmup: Us,
}

fn us(time: linenproxy_common::units::Time) -> Us {
    Us::try_from(time.0.as_micros()).unwrap_or(Us::MAX)
}

/// A stream of chance of its own for each purpose: one more fault must not move the requests.
fn stream(seed: u64, purpose: u64) -> Rng {
    let mut rng = Rng::with_seed(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    rng.u64(..);
    rng
}

fn between(rng: &mut Rng, (least, most): (f64, f64)) -> f64 {
    least + rng.f64() * (most - least)
}

/// Normally distributed (Box and Muller, Annals of Mathematical Statistics 29, 1958, p. 610).
fn normal(rng: &mut Rng) -> f64 {
    let (a, b) = (1.0 - rng.f64(), rng.f64());
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

/// Spread of the sidecars' traffic at `uneven = 1`: the largest of 60 then has about eight times the mean.
const UNEVEN_SPREAD: f64 = 1.2;
/// Longest work as a multiple of its class's mean.
const LONGEST_WORK: f64 = 5.0;
/// Range of a client's wait before a further try.
const CLIENT_WAIT: (f64, f64) = (100e3, 300e3);
/// Range of the requests that wait at a server, per core; and of the keys that it remembers.
const QUEUE: (f64, f64) = (6.0, 12.0);
/// See [`QUEUE`].
const KEYS: (f64, f64) = (40.0, 120.0);
/// Range of a handshake's work in microseconds.
const HANDSHAKE: (f64, f64) = (500.0, 1000.0);

/// Draws a play.
pub fn draw(experiment: &Experiment, seed: u64) -> Plan {
    let (t, l) = (&experiment.topology, &experiment.load);
    let mut rng = stream(seed, 1);
    let groups = t.servers.div_ceil(t.group).max(t.zones);
    let mut servers: Vec<ServerSpec> =
        (0..t.servers).map(|i| server(&mut rng, i % groups % t.zones, i % groups, i % KINDS.len())).collect();
    let limits = (0..groups)
        .map(|_| if rng.f64() < t.limited { between(&mut rng, site::LIMITED) } else { 1.0 })
        .collect();
    let mut rng = stream(seed, 2);
    let weights: Vec<f64> =
        (0..t.sidecars).map(|_| (l.uneven * UNEVEN_SPREAD * normal(&mut rng)).exp()).collect();
    let mean = weights.iter().sum::<f64>() / weights.len() as f64;
    let lag = |rng: &mut Rng| {
        let [least, most] = experiment.network.list_delay.map(us);
        rng.u64(least..=most)
    };
    let mut sidecars: Vec<SidecarSpec> = weights
        .iter()
        .enumerate()
        .map(|(i, w)| SidecarSpec {
            zone: i % t.zones,
            share: w / mean,
            list_lag: lag(&mut rng),
            clock_offset_ms: 0,
        })
        .collect();
    let mut faults = Faults {
        steps: Vec::new(),
        changes: Vec::new(),
        rng: stream(seed, 3),
        servers: &mut servers,
        sidecars: &mut sidecars,
        list_lag: us(experiment.network.list_delay[1]),
    };
    experiment.fault.iter().for_each(|fault| faults.add(fault));
    let (mut steps, mut changes) = (faults.steps, faults.changes);
    steps.sort_by_key(|(at, _)| *at);
    changes.sort_by_key(|change| change.at);
    let known = (0..t.servers).collect();
    Plan {
        seed,
        limits,
        arrivals: arrivals(experiment, &sidecars, seed),
        directory: Directory { known, changes },
        servers,
        sidecars,
        steps,
        lasts: us(l.lasts),
        warmup: us(l.warmup),
    }
}

fn server(rng: &mut Rng, zone: usize, group: usize, kind: usize) -> ServerSpec {
    let of = &KINDS[kind];
    ServerSpec {
        name: format!("s-{:08x}", rng.u32(..)),
        zone,
        group,
        kind,
        cores: of.cores,
        speed: between(rng, of.speed),
        queue: (between(rng, QUEUE) * f64::from(of.cores)) as usize,
        memory: between(rng, site::KEY_MEMORY) as Us,
        keys: between(rng, KEYS) as usize,
        saves: between(rng, site::KEY_SAVES),
        slowed: between(rng, site::SLOWED),
        crowded_for: between(rng, site::CROWDED_FOR) as Us,
        idle_for: between(rng, site::IDLE_FOR) as Us,
        handshake: between(rng, HANDSHAKE),
        first: true,
    }
}

/// Poisson arrivals of each sidecar, whose rate wanders in a wave of its own; thinned from the highest rate (Lewis
/// and Shedler, Naval Research Logistics Quarterly 26, 1979, p. 403).
fn arrivals(experiment: &Experiment, sidecars: &[SidecarSpec], seed: u64) -> Vec<Arrival> {
    let l = &experiment.load;
    let mut rng = stream(seed, 4);
    let works: Vec<f64> = CLASSES.iter().map(|c| between(&mut rng, c.work) * l.work).collect();
    let popularity: Vec<f64> = (0..l.keys)
        .scan(0.0, |sum, rank| {
            *sum += 1.0 / (rank + 1) as f64;
            Some(*sum)
        })
        .collect();
    let lasts = us(l.lasts);
    let mut all = Vec::new();
    for (sidecar, spec) in sidecars.iter().enumerate() {
        let (highest, phase) = (l.rate * spec.share * (1.0 + l.wander), rng.f64());
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.f64()).ln() / highest.max(1e-9) * SECOND as f64;
            if at >= lasts as f64 {
                break;
            }
            let wave = ((at / lasts as f64 + phase) * std::f64::consts::TAU).sin();
            if rng.f64() * (1.0 + l.wander) > 1.0 + l.wander * wave {
                continue;
            }
            let mut drawn = rng.f64();
            let class = CLASSES.iter().position(|c| {
                drawn -= c.share;
                drawn < 0.0
            });
            let class = class.unwrap_or(0);
            let place = rng.f64() * popularity[popularity.len() - 1];
            let spread = (-(1.0 - rng.f64()).ln()).min(LONGEST_WORK);
            all.push(Arrival {
                at: at as Us,
                sidecar,
                class,
                key: popularity.partition_point(|sum| *sum < place) as u64,
                work: (works[class] * spread).max(1000.0),
                patience: (between(&mut rng, site::PATIENCE) * CLASSES[class].deadline as f64) as Us,
                waits: [(); 2].map(|()| between(&mut rng, CLIENT_WAIT) as Us),
            });
        }
    }
    all.sort_by_key(|a| (a.at, a.sidecar));
    all
}

struct Faults<'a> {
    steps: Vec<(Us, Step)>,
    changes: Vec<Change>,
    rng: Rng,
    servers: &'a mut Vec<ServerSpec>,
    sidecars: &'a mut [SidecarSpec],
    list_lag: Us,
}

/// How long a server that has left the list's active ones goes on with what it has: past the last time at which the
/// rules allow it something new, and the longest deadline.
const DRAINS_FOR: Us = 6 * SECOND;

impl Faults<'_> {
    fn add(&mut self, fault: &Fault) {
        let (at, until) = (us(fault.at), us(fault.at).saturating_add(us(fault.lasts)));
        let size = fault.size.unwrap_or(1.0);
        let chosen = self.chosen(fault);
        let count = chosen.len().max(1) as Us;
        // One after the other where they roll, else all together.
        let turn = |n: usize| at + (until - at) * n as Us / count;
        for (n, i) in chosen.into_iter().enumerate() {
            let (from, to) = match fault.kind {
                FaultKind::ServersDie => (Step::ServerDown(i), Step::ServerUp(i)),
                FaultKind::ServersSilent => (Step::ServerSilent(i, true), Step::ServerSilent(i, false)),
                FaultKind::ServersSlow => (Step::ServerSlow(i, size), Step::ServerSlow(i, 1.0)),
                FaultKind::ServersFail => (Step::ServerFails(i, size), Step::ServerFails(i, 0.0)),
                FaultKind::SidecarsKill => (Step::SidecarKill(i), Step::SidecarStart(i)),
                FaultKind::SidecarsPause => (Step::SidecarPause(i, true), Step::SidecarPause(i, false)),
                FaultKind::SidecarsClock => {
                    self.sidecars[i].clock_offset_ms = size as i64;
                    continue;
                }
                FaultKind::SidecarsRoll => {
                    self.steps.push((turn(n), Step::SidecarRestart(i)));
                    continue;
                }
                FaultKind::ServersReplace => {
                    self.replace(i, turn(n));
                    continue;
                }
                _ => break,
            };
            self.steps.extend([(at, from), (until, to)]);
            if fault.kind == FaultKind::ServersDie {
                self.changes.push(Change { at, server: i, state: State::Left });
                self.changes.push(Change {
                    at: until,
                    server: i,
                    state: State::Active { since: Some(until) },
                });
            }
        }
        let (from, to) = match fault.kind {
            FaultKind::ZoneCut => {
                let (zone, way) = (fault.zone.unwrap_or(0), fault.way.unwrap_or(Way::Both));
                (Step::Cut(zone, way, true), Step::Cut(zone, way, false))
            }
            FaultKind::NetworkSlow => (Step::Slow((size * 1000.0) as Us), Step::Slow(0)),
            FaultKind::NetworkResets => (Step::Resets(size), Step::Resets(0.0)),
            kind @ (FaultKind::DatagramsLost | FaultKind::DatagramsRepeated | FaultKind::DatagramsLate) => {
                (Step::Datagrams(kind, size), Step::Datagrams(kind, 0.0))
            }
            FaultKind::MemberLies => (Step::Lies(true), Step::Lies(false)),
            FaultKind::DiscoverySilent => (Step::Agents(Mood::Silent), Step::Agents(Mood::Well)),
            FaultKind::DiscoveryGarbled => (Step::Agents(Mood::Garbled), Step::Agents(Mood::Well)),
            FaultKind::DiscoveryEmpty => (Step::Agents(Mood::Empty), Step::Agents(Mood::Well)),
            _ => return,
        };
        self.steps.extend([(at, from), (until, to)]);
    }

    /// Who is concerned: a part, drawn anew for each fault, of all or of those in the zone.
    fn chosen(&mut self, fault: &Fault) -> Vec<usize> {
        let there = |zone: usize| fault.zone.is_none_or(|z| z == zone);
        let mut all: Vec<usize> = match fault.kind.of_sidecars() {
            true => (0..self.sidecars.len()).filter(|i| there(self.sidecars[*i].zone)).collect(),
            false => {
                let first = self.servers.iter().enumerate().filter(|(_, s)| s.first && there(s.zone));
                first.map(|(i, _)| i).collect()
            }
        };
        self.rng.shuffle(&mut all);
        let part = fault.part.unwrap_or(1.0);
        all.truncate((all.len() as f64 * part).round().max(f64::from(u8::from(part > 0.0))) as usize);
        all
    }

    fn replace(&mut self, old: usize, at: Us) {
        let new = self.servers.len();
        let (zone, group, kind) = (self.servers[old].zone, self.servers[old].group, self.servers[old].kind);
        let spec = ServerSpec { first: false, ..server(&mut self.rng, zone, group, kind) };
        self.servers.push(spec);
        let gone = at + self.list_lag + DRAINS_FOR;
        self.steps.extend([(at, Step::ServerUp(new)), (gone, Step::ServerDown(old))]);
        self.changes.extend([
            Change { at, server: new, state: State::Active { since: Some(at) } },
            Change { at, server: old, state: State::Leaving },
            Change { at: gone, server: old, state: State::Left },
        ]);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use linenproxy_common::units::Time;

    fn experiment() -> Experiment {
        Experiment { name: "a".to_owned(), ..Experiment::default() }
    }

    #[test]
    fn a_seed_draws_the_same_twice_and_faults_do_not_move_requests() {
        let mut with = experiment();
        let plain = draw(&with, 7);
        assert_eq!(plain, draw(&with, 7));
        assert_ne!(plain.arrivals, draw(&with, 8).arrivals);
        let (at, lasts) = (Time::ms(5000), Time::ms(4000));
        with.fault.push(Fault {
            kind: FaultKind::ServersReplace,
            at,
            lasts,
            zone: None,
            part: Some(0.5),
            size: None,
            way: None,
        });
        let faulty = draw(&with, 7);
        assert_eq!(faulty.arrivals, plain.arrivals);
        assert_eq!(faulty.servers[..12], plain.servers[..]);
        assert_eq!((faulty.servers.len(), faulty.steps.len(), faulty.directory.changes.len()), (18, 12, 18));
        assert!(faulty.steps.windows(2).all(|two| two[0].0 <= two[1].0));
    }

    #[test]
    fn the_rate_is_what_was_asked_for() {
        let mut experiment = experiment();
        (experiment.topology.sidecars, experiment.load.uneven) = (60, 1.0);
        let plan = draw(&experiment, 3);
        let expected = 60.0 * 10.0 * 20.0;
        let deviation = plan.arrivals.len() as f64 / expected - 1.0;
        assert!(deviation.abs() < 0.06, "{deviation}");
        let most = plan.sidecars.iter().map(|s| s.share).fold(0.0, f64::max);
        assert!(most > 3.0, "uneven traffic has a sidecar of {most} times the mean");
        for (i, class) in CLASSES.iter().enumerate() {
            let part =
                plan.arrivals.iter().filter(|a| a.class == i).count() as f64 / plan.arrivals.len() as f64;
            assert!((part - class.share).abs() < 0.03, "{}: {part}", class.name);
        }
    }
}
