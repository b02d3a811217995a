//! Compares planned waves with the optimum found by an exact solver with full knowledge.

mod world;

use load_balancer_maintenance::{
    Action, DisruptionBudget, Event, Machine, Outcome, Request, State, Step, Target,
};
use world::{World, budget};

const MINUTE_MS: i64 = 60_000;
/// Instances that are compared.
const INSTANCES: u64 = 200;
/// Most servers of an instance, so that the solver can try all orders.
const MAX_SERVERS: usize = 8;

/// One server's work: the requested times, and its actual duration.
struct Job {
    server: usize,
    real_ms: i64,
    earliest_ms: i64,
}

struct Instance {
    world: World,
    budget: DisruptionBudget,
    requests: Vec<Request>,
    jobs: Vec<Job>,
    names: Vec<String>,
}

/// The actual duration of the work on a server: in one of five cases between the length and the end
/// of the overrun, otherwise shorter than the length.
fn real_duration(rng: &mut fastrand::Rng, length_ms: i64, overrun_ms: i64) -> i64 {
    match rng.u8(0..5) {
        0 => length_ms + rng.i64(0..=overrun_ms),
        _ => length_ms * rng.i64(60..=100) / 100,
    }
}

fn random_instance(seed: u64) -> Instance {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut world = World {
        now: 1_800_000_000_000,
        ..World::default()
    };
    let zones = ["a", "b", "c"];
    let count = rng.usize(5..=MAX_SERVERS + 2);
    for index in 0..count {
        world.add(&format!("s{index}"), zones[index % 3], "g", rng.u32(1..5));
    }
    let names: Vec<String> = world.servers.keys().cloned().collect();
    let total: u64 = world
        .servers
        .values()
        .map(|real| u64::from(real.weight))
        .sum();
    let heaviest: u64 = world
        .servers
        .values()
        .map(|real| u64::from(real.weight))
        .max()
        .unwrap_or(1);
    let keep = total - (total * rng.u64(20..60) / 100).max(heaviest);
    let mut budget = budget(keep, &[], rng.u32(1..5));
    for zone in zones.iter().filter(|_| rng.bool()) {
        let of_zone = || {
            world
                .servers
                .values()
                .filter(|real| real.zone == **zone)
                .map(|r| u64::from(r.weight))
        };
        let slack = of_zone().max().unwrap_or(0);
        budget
            .keep_zone
            .insert(zone.to_string(), of_zone().sum::<u64>() - slack);
    }
    budget.evidence_bound_ms = 20_000;
    budget.repair_ms = 10 * MINUTE_MS;
    budget.patience_ms = 30 * 86_400_000;
    let mut servers = names.clone();
    rng.shuffle(&mut servers);
    servers.truncate(MAX_SERVERS);
    let (mut requests, mut jobs) = (Vec::new(), Vec::new());
    while !servers.is_empty() {
        let part = servers.split_off(servers.len() - rng.usize(1..=servers.len().min(4)));
        let length_ms = rng.i64(5..60) * MINUTE_MS;
        let overrun_ms = length_ms * rng.i64(0..=50) / 100;
        let earliest_ms = world.now + rng.i64(0..2) * rng.i64(0..60) * MINUTE_MS;
        for name in &part {
            let server = names
                .iter()
                .position(|other| other == name)
                .expect("a name of the list");
            let real_ms = real_duration(&mut rng, length_ms, overrun_ms);
            jobs.push(Job {
                server,
                real_ms,
                earliest_ms,
            });
        }
        requests.push(Request {
            name: format!("r{}", requests.len()),
            target: Target::Servers(part),
            earliest_ms,
            latest_ms: world.now + 10 * 86_400_000,
            length_ms,
            overrun_ms,
            priority: 0,
            split: true,
        });
    }
    Instance {
        world,
        budget,
        requests,
        jobs,
        names,
    }
}

impl Instance {
    /// Which sets of servers may be away together, indexed by bit mask.
    fn feasible_sets(&self) -> Vec<bool> {
        let is_feasible = |bits: usize| {
            let away = self
                .names
                .iter()
                .enumerate()
                .filter(|(index, _)| bits >> index & 1 == 1);
            let away_names: Vec<String> = away.map(|(_, name)| name.clone()).collect();
            self.world.holds(&self.budget, &away_names, i64::MAX)
        };
        (0..1 << self.names.len()).map(is_feasible).collect()
    }

    /// The shortest total time: tries every order of the jobs, each placed at its earliest start,
    /// and prunes branches that can't be better. One of these orders is optimal (Kolisch, 1996:
    /// serial schedule generation yields active schedules).
    fn shortest_duration(&self) -> i64 {
        let mut bound = i64::MAX;
        let mut left: Vec<usize> = (0..self.jobs.len()).collect();
        self.branch(
            &self.feasible_sets(),
            &mut Vec::new(),
            &mut left,
            self.world.now,
            &mut bound,
        );
        bound - self.world.now
    }

    fn branch(
        &self,
        table: &[bool],
        placed: &mut Vec<(usize, i64, i64)>,
        left: &mut Vec<usize>,
        end: i64,
        bound: &mut i64,
    ) {
        let earliest_end = left
            .iter()
            .map(|job| self.jobs[*job].earliest_ms + self.jobs[*job].real_ms)
            .max();
        if end.max(earliest_end.unwrap_or(end)) >= *bound {
            return;
        }
        if left.is_empty() {
            *bound = end;
            return;
        }
        for index in 0..left.len() {
            let job = left.swap_remove(index);
            let start = self.earliest(table, placed, job);
            placed.push((job, start, start + self.jobs[job].real_ms));
            self.branch(
                table,
                placed,
                left,
                end.max(start + self.jobs[job].real_ms),
                bound,
            );
            placed.pop();
            left.push(job);
            let last = left.len() - 1;
            left.swap(index, last);
        }
    }

    fn earliest(&self, table: &[bool], placed: &[(usize, i64, i64)], job: usize) -> i64 {
        let Job {
            earliest_ms,
            real_ms,
            ..
        } = self.jobs[job];
        let ends = placed
            .iter()
            .map(|(_, _, end)| *end)
            .filter(|end| *end > earliest_ms);
        let mut starts: Vec<i64> = std::iter::once(earliest_ms).chain(ends).collect();
        starts.sort_unstable();
        let fits = |start: &i64| {
            let during = |at: i64| {
                placed
                    .iter()
                    .filter(move |(_, from, end)| *from <= at && at < *end)
            };
            let moments = placed
                .iter()
                .map(|(_, from, _)| *from)
                .filter(|t| t > start && *t < start + real_ms);
            std::iter::once(*start).chain(moments).all(|at| {
                let away = during(at)
                    .map(|(other, _, _)| 1 << self.jobs[*other].server)
                    .sum::<usize>();
                table[away | 1 << self.jobs[job].server]
            })
        };
        starts
            .iter()
            .copied()
            .find(|start| fits(start))
            .expect("after all others it fits")
    }

    /// Whether the work on a taken server is done.
    fn is_done(&self, machine: &Machine, server: &str, now: i64) -> bool {
        let job = self
            .jobs
            .iter()
            .find(|job| self.names[job.server] == server)
            .expect("a job");
        let windows = machine.windows();
        let mut slots = windows.iter().flat_map(|window| &window.slots);
        let began = slots
            .find(|slot| slot.server == server)
            .and_then(|slot| slot.start_ms);
        now - began.expect("away has a start") >= job.real_ms
    }

    /// The total time of the machine's waves, with each due step done at once.
    fn machine_duration(&self) -> i64 {
        const STEP_MS: i64 = 5_000;
        let mut world = self.world.clone();
        let mut machine = Machine::new();
        let start = world.now;
        machine.apply(world.now, Event::DisruptionBudget(self.budget.clone()));
        machine.apply(world.now, world.list());
        let observe_all = |world: &World| {
            Event::Observations(
                world
                    .servers
                    .keys()
                    .map(|name| world.observation(name, 0))
                    .collect(),
            )
        };
        machine.apply(world.now, observe_all(&world));
        for request in &self.requests {
            let outcome = machine.apply(world.now, Event::Ask(request.clone()));
            assert!(matches!(outcome, Outcome::Booked { .. }), "{outcome:?}");
        }
        while machine
            .windows()
            .iter()
            .any(|window| window.state != State::Closed)
        {
            machine.apply(world.now, observe_all(&world));
            // Performs what is due, and what becomes due by that.
            loop {
                let mut acts = machine.due(world.now);
                // A return that is due at the end of the length takes effect only when the work is
                // done.
                acts.retain(|act| {
                    act.step != Step::Return || self.is_done(&machine, &act.server, world.now)
                });
                if acts.is_empty() {
                    break;
                }
                for act in acts {
                    let result = world.perform(&act, 0, true);
                    let Action {
                        window,
                        server,
                        step,
                        token,
                    } = act;
                    assert!(step != Step::CallBack, "nothing fails here");
                    world.cleared.extend((step == Step::Drain).then_some(token));
                    machine.apply(
                        world.now,
                        Event::Acted {
                            window,
                            server: server.clone(),
                            step,
                            token,
                            result,
                        },
                    );
                    machine.apply(
                        world.now,
                        Event::Clear {
                            window,
                            server,
                            epoch: token,
                        },
                    );
                }
                world.advance(0);
                machine.apply(world.now, observe_all(&world));
            }
            world.advance(STEP_MS);
            for view in machine.windows() {
                for slot in view.slots.iter().filter(|slot| slot.state == State::Away) {
                    if self.is_done(&machine, &slot.server, world.now) {
                        let (window, server) = (view.window, slot.server.clone());
                        machine.apply(world.now, Event::Finished { window, server });
                    }
                }
            }
            assert!(world.now - start < 30 * 86_400_000, "without end");
        }
        assert!(world.broken.is_empty(), "{:?}", world.broken);
        world.now - start
    }
}

#[test]
fn our_waves_take_at_most_half_more_than_the_best() {
    let parts: Vec<_> = (0..4)
        .map(|part| {
            std::thread::spawn(move || {
                let seeds = (0..INSTANCES).filter(move |seed| seed % 4 == part);
                seeds
                    .map(random_instance)
                    .map(|i| (i.machine_duration() as f64) / (i.shortest_duration() as f64))
                    .collect::<Vec<_>>()
            })
        })
        .collect();
    let ratios: Vec<f64> = parts
        .into_iter()
        .flat_map(|part| part.join().expect("an instance failed"))
        .collect();
    let worst = ratios.iter().copied().fold(0.0, f64::max);
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    println!(
        "{} instances: mean {mean:.3}, worst {worst:.3}",
        ratios.len()
    );
    // A ratio below 1 would mean that the solver is not exact.
    assert!(ratios.iter().all(|ratio| *ratio >= 1.0));
    assert_eq!(ratios.len(), INSTANCES as usize);
    assert!(worst <= 1.5, "mean {mean:.3}, worst {worst:.3}");
}
