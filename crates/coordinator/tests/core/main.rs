//! Whole coordinators in simulated time: windows are carried out under any faults.
//!
//! The platform checks every accepted action: capacity, drained servers, no second drain with one
//! token. The simulation checks who orders actions, and that each request has one window. The tests
//! inject the faults and check that no window is forgotten.

mod platform;
mod transit;
mod world;

use load_balancer_maintenance::Event;
use world::{NetworkFaults, World};

const NO_FAULTS: NetworkFaults = NetworkFaults { loss: 0, delay: 1 };

fn run_until_over(world: &mut World, windows: u64) {
    for _ in 0..6_000 {
        world.advance();
        for place in 0..world.hosts.len() {
            world.start(place, false);
        }
        if world.now.is_multiple_of(10) && world.is_over() && world.booked.len() as u64 >= windows {
            let known = world.known_windows();
            assert!(
                world.booked.values().all(|window| known.contains(window)),
                "a window was lost"
            );
            return;
        }
    }
    let views = world.hosts.iter().map(|s| {
        s.coordinator
            .as_ref()
            .map(|s| (s.replica_status(), s.machine().windows()))
    });
    panic!(
        "windows are not completed: {:#?} {:#?}",
        views.collect::<Vec<_>>(),
        world.platform.servers
    );
}

/// Sends the request to all coordinators until it is booked, while time passes.
fn run_until_booked(world: &mut World, name: &str, servers: &[usize]) {
    for _ in 0..3_000 {
        if world.booked.contains_key(name) {
            return;
        }
        for place in 0..world.hosts.len() {
            world.request_window(name, servers, place);
        }
        world.advance();
    }
    let replica_status = world
        .hosts
        .iter()
        .map(|s| s.coordinator.as_ref().map(|s| s.replica_status()));
    panic!(
        "the window was never booked: {:#?}",
        replica_status.collect::<Vec<_>>()
    );
}

/// Runs one window over two servers of one zone; the leader is killed at the given step.
fn run_one_window(size: usize, kill_at: Option<u64>) -> World {
    let mut world = World::new(1, size, NO_FAULTS);
    while world.voters() < size {
        world.advance();
    }
    world.kill_leader_at_step = kill_at;
    run_until_booked(&mut world, "w", &[1, 4]);
    run_until_over(&mut world, 1);
    world
}

#[test]
fn the_leader_is_killed_at_every_step_of_a_window() {
    for size in [3, 5] {
        let without_faults = run_one_window(size, None);
        assert_eq!(
            (
                without_faults.platform.taken["a1"],
                without_faults.platform.taken["a4"],
                without_faults.platform.refused
            ),
            (1, 1, 0)
        );
        assert!(without_faults.steps > 20, "{}", without_faults.steps);
        for moment in 1..=without_faults.steps {
            let world = run_one_window(size, Some(moment));
            assert_eq!(world.kills, 1, "at {moment}");
            // A window that was cancelled meanwhile may be repeated; no server may be left out.
            assert!(
                world.platform.taken.len() == 2,
                "{:?} at {moment}",
                world.platform.taken
            );
        }
    }
}

#[test]
fn a_seed_replays_a_history() {
    let results = [11, 11].map(|seed| {
        let world = history(seed);
        (
            world.now,
            world.steps,
            world.kills,
            world.platform.accepted,
            world.platform.refused,
        )
    });
    assert_eq!(results[0], results[1]);
}

#[test]
fn capacity_holds_and_nothing_is_forgotten_under_faults() {
    sweep(0..12);
}

/// The larger sweep whose results are in docs/coordinator.md; `STEWARD_SEEDS` sets the number of
/// seeds.
#[test]
#[ignore = "takes minutes"]
fn capacity_holds_and_nothing_is_forgotten_in_many_histories() {
    let seeds = std::env::var("STEWARD_SEEDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1_000);
    sweep(1_000..1_000 + seeds);
}

fn sweep(seeds: std::ops::Range<u64>) {
    let mut sum = [0; 5];
    for seed in seeds {
        // If a history fails, the last line names its seed.
        eprintln!("seed {seed}");
        let world = history(seed);
        let taken = world.platform.taken.values().sum();
        let counts = [
            world.booked.len() as u64,
            taken,
            world.kills,
            world.platform.accepted,
            world.platform.refused,
        ];
        sum.iter_mut()
            .zip(counts)
            .for_each(|(all, one)| *all += one);
    }
    println!("windows, taken, kills, acts accepted, acts refused: {sum:?}");
    assert!(sum.iter().all(|count| *count > 0), "{sum:?}");
}

/// Six minutes with random faults, followed by a time without faults in which everything completes.
fn history(seed: u64) -> World {
    let size = if seed.is_multiple_of(2) { 3 } else { 5 };
    let mut world = World::new(seed, size, NetworkFaults { loss: 50, delay: 4 });
    while world.voters() < size {
        world.advance();
    }
    let mut requested = 0;
    for _ in 0..3_600 {
        world.advance();
        let place = world.random.usize(0..size);
        match world.random.u64(0..1_000) {
            0..4 => world.crash(place),
            4..8 => world.hosts[place].stopped_until = world.now + world.random.u64(5..80),
            8..10 if world.is_settled() => world.replace_disk(place),
            10..14 => (0..size).for_each(|n| world.hosts[n].partition = world.random.u8(0..2)),
            14..24 => world.hosts.iter_mut().for_each(|slot| slot.partition = 0),
            24..26 => {
                let server = world.random.usize(0..9);
                world.platform.servers[server].dead_since = Some(world.now);
            }
            26..32 => world
                .platform
                .servers
                .iter_mut()
                .for_each(|h| h.dead_since = None),
            32..62 => (0..size).for_each(|n| world.start(n, false)),
            62..72 => {
                requested += 1;
                let servers = [world.random.usize(0..9), world.random.usize(0..9)];
                for place in 0..size {
                    world.request_window(&format!("w{requested}"), &servers, place);
                }
            }
            72..74 => {
                let window = world.random.u64(0..4) + world.booked.len() as u64;
                world.propose(place, Event::Cancel { window });
            }
            74..84 => {
                let (server, window) = (
                    format!("a{}", world.random.u8(0..9)),
                    world.booked.len() as u64,
                );
                world.propose(place, Event::Finished { window, server });
            }
            _ => {}
        }
    }
    world.network = NO_FAULTS;
    world
        .hosts
        .iter_mut()
        .for_each(|slot| (slot.partition, slot.stopped_until) = (0, 0));
    world
        .platform
        .servers
        .iter_mut()
        .for_each(|h| h.dead_since = None);
    (0..size).for_each(|place| world.start(place, false));
    run_until_booked(&mut world, "last", &[0]);
    run_until_over(&mut world, 1);
    world
}
