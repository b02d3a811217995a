//! What a fleet of sidecars, each deciding alone, sends to a server that has just started, compared
//! with the load at which such a server fails: what the settings allow in any window, plus a margin
//! for random variation.

use crate::common::*;
use load_balancer::*;
use std::collections::BTreeMap;

/// The settings of a deployment, and the capacity of a warm server.
#[derive(Clone, Copy)]
struct Site {
    name: &'static str,
    /// Parameters of the rules for warming servers.
    overload_factor: f64,
    overload_window: Micros,
    cold_capacity: f64,
    warmup_time: Micros,
    latency_objective: Micros,
    deadline: Micros,
    effect: Effect,
    /// Work of a request on a standard core, and requests per second that a warm server can serve.
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
    effect: Effect::Idempotent,
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
    effect: Effect::NonIdempotent,
    work: 70 * MS,
    capacity: 1.2 / 0.07,
};

/// Numbers of sidecars and servers: a small, a medium and a large fleet.
const FLEETS: [(u32, usize); 3] = [(5, 10), (30, 20), (300, 200)];
/// Traffic as a fraction of the capacity of all servers.
const LOAD: f64 = 0.6;
/// Time before the restart, and number of windows observed after it.
const BEFORE: Micros = 10_000 * MS;
const WINDOWS: Micros = 6;

/// Traffic after the restart.
#[derive(Clone, Copy, Debug)]
enum Traffic {
    Steady,
    /// Permanently 1.5 times as much.
    Burst,
    /// Three times as much for the second window.
    Flood,
}

impl Traffic {
    /// Returns the traffic relative to that before the restart.
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
        let mut settings = Settings {
            instances,
            index,
            ..default_settings()
        };
        let class = Class {
            latency_objective: self.latency_objective,
            deadline: self.deadline,
            effect: self.effect,
            ..settings.classes[0].clone()
        };
        settings.classes = vec![class];
        settings.limits.may_duplicate = false;
        settings.rules.overload_factor = self.overload_factor;
        settings.rules.overload_window = self.overload_window;
        settings.rules.cold_capacity = self.cold_capacity;
        settings.rules.warmup_time = self.warmup_time;
        settings
    }

    /// Returns the capacity of a server of this age, as a fraction of its full capacity.
    fn warmth(self, age: Micros) -> f64 {
        let age = age as f64 / self.warmup_time as f64;
        (self.cold_capacity + (1.0 - self.cold_capacity) * age).min(1.0)
    }

    /// Returns the number of requests in a window, starting at this age, at which the server fails.
    fn bound(self, age: Micros) -> f64 {
        let allowed =
            self.overload_factor * self.capacity * self.warmth(age) * self.overload_window as f64
                / 1_000_000.0;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Simulates one sidecar. Returns its attempts at restarted servers: server and time since the
    /// restart.
    fn plays(
        self,
        (sidecars, servers): (u32, usize),
        cold: usize,
        traffic: Traffic,
        index: u32,
    ) -> Vec<(usize, Micros)> {
        let seed = u64::from(index) * 2 + 1;
        let mut harness = Harness::new(self.settings(sidecars, index), servers, seed);
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = LOAD * self.capacity * servers as f64 / f64::from(sidecars) / 1_000_000.0;
        let (restart, end) = (
            START + BEFORE,
            START + BEFORE + WINDOWS * self.overload_window,
        );
        let (mut arrival, mut restarted, mut to_cold) = (START, false, Vec::new());
        // When each attempt in flight will be answered.
        let mut answers: BTreeMap<(RequestId, AttemptIndex), Micros> = BTreeMap::new();
        while harness.now < end {
            let answer = answers.iter().map(|(key, at)| (*at, *key)).min();
            let next = arrival.min(answer.map_or(end, |(at, _)| at));
            let next = if restarted { next } else { next.min(restart) };
            harness.advance_to(next.min(end));
            if !restarted && next == restart {
                restarted = true;
                let back = (0..cold)
                    .map(|e| ListedEndpoint {
                        started: Some(restart),
                        ..listing(e)
                    })
                    .collect();
                harness.handle(Event::Endpoints(ListUpdate::Delta(back)));
            } else if let Some((at, key)) = answer.filter(|(at, _)| *at <= next) {
                answers.remove(&key);
                if at <= end && harness.in_flight.contains_key(&key) {
                    harness.finish(key.0, key.1, Outcome::Ok);
                }
            } else if arrival <= next {
                harness.request_with(0, self.deadline, None, Some(self.work));
                let now = traffic.at(harness.now - restart, self.overload_window);
                arrival += (-(1.0 - rng.f64()).ln() / (rate * now)) as Micros + 1;
            }
            // Attempts sent just now.
            for (key, out) in harness
                .in_flight
                .iter()
                .filter(|(_, out)| out.sent_at == harness.now)
            {
                if answers.contains_key(key) {
                    continue;
                }
                let is_cold = restarted && out.endpoint < cold;
                let slower = if is_cold {
                    self.warmth(harness.now - restart)
                } else {
                    1.0
                };
                answers.insert(*key, out.sent_at + (self.work as f64 / slower) as Micros);
                to_cold.extend(is_cold.then_some((out.endpoint, out.sent_at - restart)));
            }
        }
        to_cold
    }

    /// Returns the maximum number of requests to a restarted server in a window, as a fraction of
    /// the bound and as a number.
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

/// Number of servers that restart at the same time.
#[derive(Clone, Copy, PartialEq)]
enum Cold {
    One,
    /// Three in ten, as after the loss of a zone.
    Zone,
}

/// Simulates all fleets of both sites, and fails for each that overloads a server.
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
fn no_fleet_overloads_a_warming_server_under_steady_traffic() {
    stays_under(Cold::One, Traffic::Steady);
    stays_under(Cold::Zone, Traffic::Steady);
}

#[test]
fn no_fleet_overloads_a_warming_server_under_a_burst() {
    stays_under(Cold::One, Traffic::Burst);
    stays_under(Cold::Zone, Traffic::Burst);
}

#[test]
fn no_fleet_overloads_the_only_warming_server_under_a_flood() {
    stays_under(Cold::One, Traffic::Flood);
}
