//! Plans of the largest size: fifty windows requested at once for two hundred servers.

mod world;

use load_balancer_maintenance::{Event, Machine, Outcome, Request, State, Target};
use world::{World, budget};

/// A fleet in three zones, an eighth of which may be away, with its observations.
fn fleet(servers: usize) -> (World, Machine) {
    let mut world = World {
        now: 1_800_000_000_000,
        ..World::default()
    };
    let zones = ["a", "b", "c"];
    (0..servers).for_each(|index| world.add(&format!("s{index:04}"), zones[index % 3], "g", 4));
    let total = servers as u64 * 4;
    let mut machine = Machine::new();
    machine.apply(
        world.now,
        Event::DisruptionBudget(budget(
            total - total / 8,
            &[("a", total / 4)],
            servers as u32 / 8,
        )),
    );
    machine.apply(world.now, world.list());
    machine.apply(world.now, observe(&world));
    (world, machine)
}

fn observe(world: &World) -> Event {
    Event::Observations(
        world
            .servers
            .keys()
            .map(|name| world.observation(name, 0))
            .collect(),
    )
}

fn request(number: usize, now: i64, target: Target) -> Request {
    Request {
        name: format!("r{number}"),
        target,
        earliest_ms: now,
        latest_ms: now + 14 * 86_400_000,
        length_ms: 1_800_000,
        overrun_ms: 900_000,
        priority: 0,
        split: true,
    }
}

fn request_fifty(servers: usize, world: &World, machine: &mut Machine) {
    for number in 0..50 {
        let names =
            (0..servers / 50).map(|index| format!("s{:04}", number * (servers / 50) + index));
        let outcome = machine.apply(
            world.now,
            Event::Ask(request(number, world.now, Target::Servers(names.collect()))),
        );
        assert!(matches!(outcome, Outcome::Booked { .. }), "{outcome:?}");
    }
}

#[test]
fn fifty_windows_at_once_alternate_between_zones() {
    let (world, mut machine) = fleet(200);
    request_fifty(200, &world, &mut machine);
    let open: Vec<String> = machine
        .windows()
        .into_iter()
        .flat_map(|window| window.slots)
        .filter(|slot| slot.state == State::Draining)
        .map(|slot| slot.server)
        .collect();
    // As many as may be away drain at once, some of them in every zone.
    assert_eq!(open.len(), 25);
    for zone in ["a", "b", "c"] {
        let of_zone = open
            .iter()
            .filter(|name| world.servers[*name].zone == zone)
            .count();
        assert!((6..=12).contains(&of_zone), "{of_zone} of zone {zone}");
    }
    // A repeated request gets its first answer, and no new window is created.
    let token = machine.last_token();
    let names = (0..4).map(|index| format!("s{index:04}"));
    let again = machine.apply(
        world.now,
        Event::Ask(request(0, world.now, Target::Servers(names.collect()))),
    );
    assert!(
        matches!(again, Outcome::Booked { window: 1, .. }),
        "{again:?}"
    );
    assert_eq!(machine.last_token(), token);
}

#[test]
fn requests_beyond_the_bound_are_refused() {
    let (world, mut machine) = fleet(200);
    request_fifty(200, &world, &mut machine);
    for number in 50..64 {
        let target = Target::Servers(vec!["s0000".into()]);
        assert!(matches!(
            machine.apply(world.now, Event::Ask(request(number, world.now, target))),
            Outcome::Booked { .. }
        ));
    }
    let target = Target::Servers(vec!["s0001".into()]);
    let outcome = machine.apply(world.now, Event::Ask(request(64, world.now, target)));
    assert!(
        matches!(&outcome, Outcome::Refused(refusal) if format!("{refusal:?}").contains("most_open"))
    );
}

#[test]
#[ignore = "times, for docs/maintenance.md"]
fn measure_times() {
    for servers in [200, 1_000] {
        let (mut world, mut machine) = fleet(servers);
        let start = std::time::Instant::now();
        request_fifty(servers, &world, &mut machine);
        println!("{servers} servers: {:?} for an ask", start.elapsed() / 50);
        let start = std::time::Instant::now();
        for _ in 0..10 {
            world.advance(1_000);
            machine.apply(world.now, observe(&world));
        }
        println!(
            "{servers} servers: {:?} for a round of evidence",
            start.elapsed() / 10
        );
        let start = std::time::Instant::now();
        world.kill("s0000");
        machine.apply(world.now, observe(&world));
        println!("{servers} servers: {:?} for a death", start.elapsed());
        println!(
            "snapshot {} bytes",
            serde_json::to_string(&machine).expect("a snapshot").len()
        );
    }
}
