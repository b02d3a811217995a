//! What a whole fleet of sidecars, each deciding alone, sends to one server that has just started,
//! against the bound beyond which such a server falls: in any window, what the settings allow it,
//! and what is put down to chance.

use crate::common::*;
use load_balancer::*;
use std::collections::BTreeMap;

/// A deployment as its settings have it, and how much work a warm server does.
#[derive(Clone, Copy)]
struct Site {
    name: &'static str,
    /// The figures of the rules for cold servers.
    overload_factor: f64,
    overload_window: Micros,
    cold_capacity: f64,
    warmup_time: Micros,
    latency_objective: Micros,
    deadline: Micros,
    effect: Effect,
    /// Work of a request on a standard core, and requests a second that a warm server can do.
    work: Micros,
    capacity: f64,
}

const JADRAN: Site = Site {
    name: "jadran-ledger",
    overload_factor: 2.5,
    overload_window: 1000 * MS,
    cold_capacity: 0.31,
    warmup_time: 7400 * MS,
    latency_objective: 1000 * MS,
    deadline: 3000 * MS,
    effect: Effect::Safe,
    work: 90 * MS,
    capacity: 2.0 / 0.09,
};

const ROTA: Site = Site {
    name: "rota-ireland",
    overload_factor: 3.0,
    overload_window: 2000 * MS,
    cold_capacity: 0.12,
    warmup_time: 24_000 * MS,
    latency_objective: 600 * MS,
    deadline: 1200 * MS,
    effect: Effect::Unsafe,
    work: 70 * MS,
    capacity: 1.2 / 0.07,
};

/// Sidecars and servers: a small day, a throng, the whole fleet.
const FLEETS: [(u32, usize); 3] = [(5, 10), (30, 20), (300, 200)];
/// Part of what all servers can do that clients ask for.
const LOAD: f64 = 0.6;
/// Time before the restart, and time that is looked at after it, in windows.
const BEFORE: Micros = 10_000 * MS;
const WINDOWS: Micros = 6;

/// How clients ask after the restart.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Steady,
    /// Half as much again for good.
    Burst,
    /// Three times as much for the second window.
    Flood,
}

impl Traffic {
    /// The traffic against that before, so long after the restart.
    fn at(self, since: Micros, window: Micros) -> f64 {
        match self {
            _ if since < 0 => 1.0,
            Self::Steady => 1.0,
            Self::Burst => 1.5,
            Self::Flood if (window..2 * window).contains(&since) => 3.0,
            Self::Flood => 1.0,
        }
    }
}

impl Site {
    fn settings(self, instances: u32, index: u32) -> Settings {
        let mut set = Settings {
            instances,
            index,
            ..settings()
        };
        let class = Class {
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            effect: self.effect,
            ..set.classes[0].clone()
        };
        set.classes = vec![class];
        set.limits.may_duplicate = false;
        set.rules.overload_factor = self.overload_factor;
        set.rules.overload_window = self.overload_window;
        set.rules.cold_capacity = self.cold_capacity;
        set.rules.warmup_time = self.warmup_time;
        set
    }

    /// Part of its capacity that a server has so long after its start.
    fn warmth(self, age: Micros) -> f64 {
        let age = age as f64 / self.warmup_time as f64;
        (self.cold_capacity + (1.0 - self.cold_capacity) * age).min(1.0)
    }

    /// Requests in a window that begins so long after the start from which on the server falls.
    fn bound(self, age: Micros) -> f64 {
        let allowed =
            self.overload_factor * self.capacity * self.warmth(age) * self.overload_window as f64
                / 1_000_000.0;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// When one sidecar sent something to servers that restarted: server and time since the
    /// restart.
    fn plays(
        self,
        (sidecars, servers): (u32, usize),
        cold: usize,
        traffic: Traffic,
        index: u32,
    ) -> Vec<(usize, Micros)> {
        let seed = u64::from(index) * 2 + 1;
        let mut rig = Rig::new(self.settings(sidecars, index), servers, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = LOAD * self.capacity * servers as f64 / f64::from(sidecars) / 1_000_000.0;
        let (restart, end) = (
            START + BEFORE,
            START + BEFORE + WINDOWS * self.overload_window,
        );
        let (mut arrival, mut restarted, mut to_cold) = (START, false, Vec::new());
        // When each attempt that is out will be answered.
        let mut answers: BTreeMap<(RequestId, AttemptNo), Micros> = BTreeMap::new();
        while rig.now < end {
            let answer = answers.iter().map(|(key, at)| (*at, *key)).min();
            let next = arrival.min(answer.map_or(end, |(at, _)| at));
            let next = if restarted { next } else { next.min(restart) };
            rig.until(next.min(end));
            if !restarted && next == restart {
                restarted = true;
                let back = (0..cold)
                    .map(|e| Listing {
                        started: Some(restart),
                        ..listing(e)
                    })
                    .collect();
                rig.event(Event::Endpoints(ListUpdate::Delta(back)));
            } else if let Some((at, key)) = answer.filter(|(at, _)| *at <= next) {
                answers.remove(&key);
                if at <= end && rig.out.contains_key(&key) {
                    rig.end(key.0, key.1, Outcome::Ok);
                }
            } else if arrival <= next {
                rig.request_for(0, self.deadline, None, Some(self.work));
                let now = traffic.at(rig.now - restart, self.overload_window);
                arrival += (-(1.0 - rng.f64()).ln() / (rate * now)) as Micros + 1;
            }
            // What went out just now.
            for (key, out) in rig.out.iter().filter(|(_, out)| out.sent == rig.now) {
                if answers.contains_key(key) {
                    continue;
                }
                let is_cold = restarted && out.endpoint < cold;
                let slower = if is_cold {
                    self.warmth(rig.now - restart)
                } else {
                    1.0
                };
                answers.insert(*key, out.sent + (self.work as f64 / slower) as Micros);
                to_cold.extend(is_cold.then_some((out.endpoint, out.sent - restart)));
            }
        }
        to_cold
    }

    /// The most that one restarted server got in a window, as a part of what it falls from, and
    /// that number.
    fn worst(self, fleet: (u32, usize), cold: usize, traffic: Traffic) -> (f64, usize) {
        let mut times: BTreeMap<usize, Vec<Micros>> = BTreeMap::new();
        for (server, at) in (0..fleet.0).flat_map(|index| self.plays(fleet, cold, traffic, index)) {
            times.entry(server).or_default().push(at);
        }
        let mut worst = (0.0, 0);
        for times in times.values_mut() {
            times.sort_unstable();
            for (first, at) in times.iter().enumerate() {
                let got = times[first..]
                    .iter()
                    .take_while(|t| **t < at + self.overload_window)
                    .count();
                let part = got as f64 / self.bound(*at);
                if part > worst.0 {
                    worst = (part, got);
                }
            }
        }
        worst
    }
}

/// How many servers start at once.
#[derive(Clone, Copy, PartialEq)]
enum Cold {
    One,
    /// Three in ten, as after the loss of a zone.
    Zone,
}

/// Plays all fleets of both sites; fails with every one that pushes a server over.
fn stays_under(cold: Cold, traffic: Traffic) {
    let mut over = Vec::new();
    for (site, fleet) in [JADRAN, ROTA]
        .into_iter()
        .flat_map(|site| FLEETS.map(|fleet| (site, fleet)))
    {
        let restarted = if cold == Cold::One {
            1
        } else {
            fleet.1 * 3 / 10
        };
        let (part, got) = site.worst(fleet, restarted, traffic);
        let line = format!(
            "{} {fleet:?} {restarted} cold, {traffic:?}: {got} in a window, {part:.2} of the bound",
            site.name
        );
        println!("{line}");
        over.extend((part > 1.0).then_some(line));
    }
    assert!(over.is_empty(), "{over:#?}");
}

#[test]
fn under_steady_traffic_no_fleet_pushes_a_cold_server_over() {
    stays_under(Cold::One, Traffic::Steady);
    stays_under(Cold::Zone, Traffic::Steady);
}

#[test]
fn under_a_burst_no_fleet_pushes_a_cold_server_over() {
    stays_under(Cold::One, Traffic::Burst);
    stays_under(Cold::Zone, Traffic::Burst);
}

#[test]
fn under_a_flood_no_fleet_pushes_the_only_cold_server_over() {
    stays_under(Cold::One, Traffic::Flood);
}
