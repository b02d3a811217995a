//! Random histories of leases: never two holders, never an action with an old token, and released
//! tasks are taken again.

mod world;

use world::{LEASE_MS, World};

/// One history: troubles for 20 leases, then none but losses for six, after which every task has a
/// holder.
fn history(seed: u64, check: bool) -> Result<World, String> {
    let mut world = World::new(seed, check);
    world.play(20 * LEASE_MS, 15)?;
    world.play(6 * LEASE_MS, 0)?;
    let mut held = vec![false; world.tasks()];
    for _ in 0..20 {
        world.play(LEASE_MS / 10, 0)?;
        held.iter_mut()
            .enumerate()
            .for_each(|(task, held)| *held |= !world.holders_of(task).is_empty());
    }
    if let Some(task) = held.iter().position(|held| !held) {
        return Err(format!("nobody holds duty {task} at the end"));
    }
    Ok(world)
}

fn seeds() -> u64 {
    std::env::var("DUTY_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400)
}

#[test]
fn histories_keep_every_rule() {
    let (mut acts, mut refused, mut faults) = (0, 0, 0);
    for seed in 0..seeds() {
        let world = history(seed, true).unwrap_or_else(|broken| panic!("seed {seed}: {broken}"));
        acts += world.seen.acts;
        refused += world.seen.refused;
        faults += world.seen.faults;
    }
    println!("{acts} acts, {refused} refused, {faults} faults");
    assert!(acts > 10_000 && refused > 100, "too little happened");
}

#[test]
fn after_a_kill_another_takes_over_within_one_and_a_half_leases() {
    let mut times = Vec::new();
    for seed in 0..seeds() {
        let mut world = World::new(seed, true);
        world.late = false;
        for _ in 0..4 {
            world.play(4 * LEASE_MS, 0).expect("no rule is broken");
            times.extend(world.take_over(0).expect("no rule is broken"));
        }
    }
    times.sort_unstable();
    let late = times[times.len() * 99 / 100];
    println!(
        "{} kills: half within {} ms, 99 in 100 within {late} ms",
        times.len(),
        times[times.len() / 2]
    );
    assert!(times.len() > 1_000, "{} kills are too few", times.len());
    assert!(late <= 3 * LEASE_MS / 2, "one in a hundred takes {late} ms");
}

#[test]
fn without_the_check_an_old_act_is_seen() {
    let broken = (0..100).find_map(|seed| history(seed, false).err());
    let broken = broken.expect("no history breaks a rule without the check");
    assert!(broken.contains("acts by token"), "{broken}");
}
